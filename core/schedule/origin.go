package schedule

import "fmt"

// runOrigin is how a run came to be, for the log. Of a run that another scheduler has started, startedAt is
// when it was first listed here.
type runOrigin struct {
	startedAt Time
	listed    bool
	// token is the fencing token that this scheduler had for the runner.
	token uint64
	// entry handed the job in, which arrived at arrivedAt, after priorSchedulers others had had it. All
	// are zero if the job wasn't known.
	entry           EntryID
	arrivedAt       Time
	priorSchedulers int
}

func originOf(u *run) runOrigin {
	o := runOrigin{startedAt: u.started, listed: u.startedElsewhere, token: u.runner.token}
	if u.task != nil {
		j := u.task.job
		o.entry, o.arrivedAt, o.priorSchedulers = j.entry, j.arrived, j.priorSchedulers
	}
	return o
}

// describe says how the run came to be.
func (o runOrigin) describe(now Time) string {
	verb := "started"
	if o.listed {
		verb = "first listed"
	}
	job := "its job unknown"
	if o.entry != "" {
		job = fmt.Sprintf("for %s, %d schedulers before", o.entry, o.priorSchedulers)
	}
	return fmt.Sprintf("%s %v ago under token %d, %s", verb, round(now-o.startedAt), o.token, job)
}

// describeOrigins says how a dropped run and the task's next run came to be, and what happened between
// their starts.
func (s *Scheduler) describeOrigins(d *droppedRun) string {
	text := fmt.Sprintf("%s; other run %s", d.origin.describe(s.now), d.nextOrigin.describe(s.now))
	if d.origin.entry != "" && d.nextOrigin.entry != "" && d.origin.arrivedAt != d.nextOrigin.arrivedAt {
		text += "; the job was handed in again between them"
	}
	if r := s.runners[d.runner]; r != nil && r.incarnationStart != d.incarnationStart {
		text += "; the runner has restarted since"
	}
	return text
}
