package schedule

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Progress is what a scheduler that retires tells the next one. Runners list an
// end only until it is acknowledged, so what had ended before would be run again.
type Progress struct {
	// Epoch is the ownership of the shard's rows, 0 if the scheduler had none;
	// and PriorRunsTTL how much longer runs may be alive that owners before it have
	// started and that it didn't see.
	Epoch        uint64
	PriorRunsTTL time.Duration
	// Done are the tasks that have ended well of jobs that haven't ended.
	Done []workload.TaskName
	// Ended are jobs that have ended of late.
	Ended []EndedJob
}

// EndedJob is the outcome of a job.
type EndedJob struct {
	Job     workload.JobID
	Outcome workload.Outcome
}

const (
	// progressWait bounds how long a new leader holds back jobs that another one
	// had for that one's word on them. The word mostly takes a millisecond or
	// two, but a busy process may need some hundred, and what the new leader
	// then starts may have ended already. A process that is about to stop lives
	// for two and a half seconds more; one that is lost is noticed, and nobody
	// waits for it. Callers of the shortest jobs wait for a second and a half.
	progressWait = time.Second
	// progressAge is how long ago a job may have ended of which the next
	// scheduler is told: callers wait up to 2.7 s.
	progressAge = 4 * time.Second
)

// Progress returns what the next scheduler should know.
func (s *Scheduler) Progress(now Time) Progress {
	p := Progress{Epoch: s.custody.epoch, PriorRunsTTL: max(0, s.custody.knownFrom-now)}
	for _, j := range s.jobsInOrder() {
		j.each(func(t *taskState) {
			if t.phase == done {
				p.Done = append(p.Done, t.name)
			}
		})
	}
	for i := len(s.resultOrder) - 1; i >= 0; i-- {
		id := s.resultOrder[i]
		r := s.results[id]
		if now-r.at > progressAge {
			break
		}
		p.Ended = append(p.Ended, EndedJob{Job: id, Outcome: r.outcome})
	}
	return p
}

// AwaitProgress holds back jobs that another scheduler had until its Progress comes, or the
// process is lost.
func (s *Scheduler) AwaitProgress(now Time, from EntryID) {
	s.awaited = from
	s.awaitUntil = now + progressWait
}

func (s *Scheduler) awaitNoLonger() { s.awaited, s.awaitUntil = "", 0 }

// ApplyProgress takes the Progress of the scheduler before.
func (s *Scheduler) ApplyProgress(now Time, p Progress) {
	s.now = now
	s.awaitNoLonger()
	s.handedOver(p)
	for _, e := range p.Ended {
		if j := s.jobs[e.Job]; j != nil {
			s.finish(j, e.Outcome, "ended under another scheduler")
			continue
		}
		if _, known := s.results[e.Job]; !known {
			s.keepResult(e.Job, e.Outcome)
		}
	}
	for _, name := range p.Done {
		s.learnDone(name)
	}
	s.dispatch()
}

// handedOver notes that the owner before has retired: it starts nothing more, and
// has told where it may have started something.
func (s *Scheduler) handedOver(p Progress) {
	s.custody.before = &p
	if !s.custody.loaded || p.Epoch == 0 || p.Epoch+1 != s.custody.epoch {
		return
	}
	s.custody.knownFrom = min(s.custody.knownFrom, s.now+p.PriorRunsTTL)
	for _, j := range s.jobs {
		if j.stored != nil {
			j.knownFrom = min(j.knownFrom, s.custody.knownFrom)
		}
	}
}

func (s *Scheduler) learnDone(name workload.TaskName) {
	s.ran[name.Job] = s.now
	j := s.jobs[name.Job]
	if j == nil {
		s.found[name] = s.now
		return
	}
	if t := j.task(name); t != nil && t.phase != done {
		j.started = true
		s.taskDone(t, nil, nil)
	}
}
