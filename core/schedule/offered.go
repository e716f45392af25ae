package schedule

import (
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A late job (see job.late) waits for all jobs that aren't late, and for those that arrive
// meanwhile. In a burst more work arrives than the runners can do, so the turn of the late job
// doesn't come while its answer has any value. The job is refused as soon as that is known, without
// waiting for its deadline.

const (
	// offeredWindow is the time constant of the average of arriving work.
	offeredWindow = 500 * time.Millisecond
	// minSpareShare is the share of the runners that late jobs are assumed to get, however much
	// work arrives: load fluctuates, and late answers are better than none.
	minSpareShare = 0.2
)

// offeredLoad is the arriving work of a service in thousandths of a core, as an exponentially
// weighted average.
type offeredLoad struct {
	average float64
	at      Time
}

// add records arriving work, in time x thousandths of a core.
func (o *offeredLoad) add(now Time, work time.Duration) {
	o.average = o.now(now) + float64(work)/float64(offeredWindow)
	o.at = now
}

// now returns the average at the present time, by which it has decayed since the last arrival.
func (o *offeredLoad) now(now Time) float64 {
	return o.average * math.Exp(-float64(now-o.at)/float64(offeredWindow))
}

// noteOffered records a job that has arrived.
func (s *Scheduler) noteOffered(j *job) {
	o := s.offered[j.work.Service]
	if o == nil {
		o = &offeredLoad{}
		s.offered[j.work.Service] = o
	}
	o.add(s.now, s.waitingWork(j))
}

// refuseLate refuses the late jobs whose turn won't come in time. It does nothing for some time
// after a takeover, when the runners' capacity isn't known.
func (s *Scheduler) refuseLate() {
	if len(s.queue) == 0 || s.now-s.leadingSince < warmUpTime {
		return
	}
	for _, service := range s.queuedServices() {
		s.refuseLateOf(service)
	}
}

// refuseLateOf refuses those of one service. Ahead of a late job are the jobs that aren't late or
// can't be refused any more, and the earlier late jobs whose turn comes in time.
func (s *Scheduler) refuseLateOf(service string) {
	capacity := float64(s.capacity(service))
	if capacity == 0 {
		return
	}
	spare := capacity
	if o := s.offered[service]; o != nil {
		spare = max(capacity-o.now(s.now), minSpareShare*capacity)
	}
	var late []*job
	ahead := time.Duration(0)
	for _, j := range s.queue {
		switch {
		case j.work.Service != service || s.heldBack(j):
		case j.stored == nil && !j.started && !j.granted && j.late(s.now):
			late = append(late, j)
		default:
			ahead += s.waitingWork(j)
		}
	}
	for _, j := range late {
		if s.comesInTime(j, ahead, spare) {
			ahead += s.waitingWork(j)
			continue
		}
		if s.mayBorrow(j) {
			// Another shard may still begin it in time.
			continue
		}
		j.noRoom = true
		s.finishRefused(j, workload.NotRun, workload.LackOfRoom, "more comes than can be done before its turn")
	}
}

// comesInTime reports whether a late job may complete while its answer has value, with the work
// ahead of it and the spare processors (in thousandths of a core) that do that work.
func (s *Scheduler) comesInTime(j *job, ahead time.Duration, spare float64) bool {
	if ahead == 0 {
		return true
	}
	left := j.worthlessAt - j.remaining - s.now
	return float64(ahead)/spare <= float64(left)
}
