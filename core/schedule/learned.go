package schedule

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/pace"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A scheduler learns from finished runs how long the runs of a queue take compared with their
// estimates, and how fast each runner is. The processes that would lead the shard next have copies
// of what it has learned. Nothing of that decides whether a task may be started again.

// Learned is an export of what a scheduler has learned.
type Learned = pace.Learned

// Learned returns what the scheduler has learned.
func (s *Scheduler) Learned(now Time) Learned { return s.learned.Export(now) }

// LearnedRevision grows with each run from which the scheduler has learned.
func (s *Scheduler) LearnedRevision() uint64 { return s.learned.Revision() }

// ApplyLearned takes over what another scheduler of the shard had learned, except where more recent
// runs are known here.
func (s *Scheduler) ApplyLearned(now Time, l Learned) pace.Merged {
	s.now = now
	m := s.learned.Merge(now, l, func(id string) (pace.Kind, bool) {
		r := s.runners[workload.RunnerID(id)]
		if r == nil {
			return pace.Kind{}, false
		}
		return r.kind(), true
	})
	for _, r := range s.runnerList {
		s.updatePace(r)
	}
	return m
}

// updatePace sets a runner's usual ratio to what is learned. That changes as runs end, and as they
// grow old.
func (s *Scheduler) updatePace(r *runner) {
	usual := s.learned.Runner(s.now, string(r.info.ID), r.kind())
	r.health.setUsual(usual)
}

// kind returns the kind of a runner: its capacity and its labels but for the rack.
func (r *runner) kind() pace.Kind {
	if r.kindName == "" || r.kindRevision != r.info.Revision {
		r.kindName, r.kindRevision = kindName(r.info), r.info.Revision
	}
	return pace.Kind{Service: r.info.Service, Name: r.kindName}
}

// kindName returns a name for the capacity and the labels of a runner but for its rack. Labels are
// given as a hash, so that the name is short.
func kindName(info workload.Runner) string {
	labels := slices.Sorted(slices.Values(info.Labels))
	h := fnv.New32a()
	for _, l := range labels {
		if l != info.Rack {
			_, _ = h.Write([]byte(l + "\n"))
		}
	}
	return fmt.Sprintf("%dm-%dMB-%dgpu-%08x", info.Capacity.MilliCPU, info.Capacity.MemoryMB, info.Capacity.GPU, h.Sum32())
}

// queueRatio returns the factor by which the runs of a job's queue take longer than estimated,
// compared with those of other queues, as known when the job arrived.
func (s *Scheduler) queueRatio(j *job) float64 {
	if j.queueRatio == 0 {
		j.queueRatio = s.learned.Queue(s.now, j.work.Queue)
	}
	return j.queueRatio
}

// expected returns how long a task's run would take on a runner of pace 1.
func (s *Scheduler) expected(t *taskState, r *runner) time.Duration {
	return time.Duration(float64(t.step().Estimate) * s.queueRatio(t.job) * s.remoteFactor(t, r))
}

// learnRun learns from the successful run of a task. It learns nothing of pace from runs that another
// scheduler has started, since the time of their start isn't known.
func (s *Scheduler) learnRun(t *taskState, u *run) {
	r, elapsed, expected := u.runner, s.now-u.started, s.expected(t, u.runner)
	r.health.succeeded(s.now, elapsed, expected)
	if expected <= 0 || elapsed <= 0 || u.startedElsewhere {
		return
	}
	s.noteRatio(r, t, float64(elapsed)/float64(expected))
	if r.health.usualApplies() {
		estimate := float64(t.step().Estimate) * s.remoteFactor(t, r)
		s.learned.Observe(s.now, string(r.info.ID), r.kind(), t.job.work.Queue, float64(elapsed)/estimate)
		s.updatePace(r)
	}
}

// noteRatio records the ratio of a run's time to the expected one in the runner's recent pace.
func (s *Scheduler) noteRatio(r *runner, t *taskState, ratio float64) {
	if r.health.noteRatio(s.now, t.name.Job, ratio) {
		s.reportTurn(r)
	}
}

// tickPace brings a runner's pace up to date with the age of its runs.
func (s *Scheduler) tickPace(r *runner) {
	s.updatePace(r)
	if r.health.decayTurn(s.now) {
		s.reportTurn(r)
	}
}

// reportTurn reports that a runner's pace has turned or recovered.
func (s *Scheduler) reportTurn(r *runner) {
	event := "runner-pace-recovered"
	if r.health.turned {
		event = "runner-pace-turned"
	}
	s.emit(Decision{
		Event: event, Runner: r.info.ID, Token: r.token, Age: s.now - r.health.recentAt,
		Reason: fmt.Sprintf("recent ratio %.2f, usual ratio %.2f", r.health.recent, r.health.usual),
	})
}

// speed returns the runner's processors divided by its pace, in thousandths of a core: a runner of
// pace 2 does half of the work of one of pace 1 in the same time.
func (r *runner) speed() float64 { return float64(r.info.Capacity.MilliCPU) / r.health.pace() }

// setExpected corrects a job's estimated run time by what is learned of its queue. The order of
// service goes by the estimate without that, as callers' objectives do.
func (s *Scheduler) setExpected(j *job) {
	j.expected = time.Duration(float64(j.work.CriticalPath()) * s.queueRatio(j))
}

// expectedRun returns how long a job is expected to run on the usual runners of its service.
func (s *Scheduler) expectedRun(j *job) time.Duration {
	return time.Duration(float64(j.expected) * s.meanPace(j.work.Service))
}

// meanPace returns the mean pace of a service's runners, weighted by the work that they do.
func (s *Scheduler) meanPace(service string) float64 {
	capacity, speed := 0.0, 0.0
	for _, r := range s.runnerList {
		if r.info.Service == service && r.owned {
			capacity += float64(r.info.Capacity.MilliCPU)
			speed += r.speed()
		}
	}
	if speed == 0 {
		return 1
	}
	return capacity / speed
}
