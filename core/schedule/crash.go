package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Tasks that crash their runners. A run that crashes its runner lists no end: the runner falls silent, and some seconds
// later it answers as a new incarnation. Only that answer is evidence of a crash. A runner that was silent and answers as
// the same incarnation was out of reach.
//
// Runners also crash for other reasons, all those of a failure domain at once if it loses power. So a task with which two
// runners were lost is a suspect, which is started where nothing else runs (suspect.go), and its job fails only after
// the next crash.

const (
	// maxCrashes is the number of runners that may crash under a task; its job fails with the last one.
	maxCrashes = 3
	// maxLosses is the same for lost runners, whether they have crashed or not.
	maxLosses = 5
	// suspectLosses is the number of lost runners that makes a task a suspect.
	suspectLosses = 2
	// lossSilence is how long a runner must have been silent to count as lost until it answers.
	lossSilence = 400 * time.Millisecond
	// crashEvidenceTimeout is how long a task waits for the answer of a lost runner. Crashed ones are back some
	// seconds later.
	crashEvidenceTimeout = 6 * time.Second
)

// loss is a runner's incarnation that was lost with a run of a task.
type loss struct {
	runner workload.RunnerID
	// incarnation is its start, in milliseconds since 1970; 0 if unknown.
	incarnation int64
	// number is that of the run; 0 if it is from the record.
	number int
	// assumed: it is from a record that was saved before the runner restarted, and perhaps before the run began.
	assumed bool
	// at is when it was found lost.
	at Time
	// begun: the runner had confirmed the run. Otherwise it may have crashed before the order to start it arrived.
	begun bool
	// restarted: a later incarnation has answered.
	restarted bool
}

// crash reports whether the runner has crashed while the run was there.
func (l loss) crash() bool { return l.begun && l.restarted }

// noteLoss records that a runner is lost with a run, and saves that for the next owner of the shard. judgeLosses
// removes the loss if the runner turns out to be alive. A runner that drained has left as planned and isn't lost.
func (s *Scheduler) noteLoss(u *run, restarted bool) {
	if u.task == nil || u.runner.leaving {
		return
	}
	t := u.task
	t.assumedLoss = nil
	l := loss{
		runner: u.runner.info.ID, incarnation: u.runner.incarnationStart, number: u.key.Number,
		at: s.now, begun: u.confirmed, restarted: restarted,
	}
	if i := slices.IndexFunc(t.losses, l.sameRunner); i < 0 {
		t.addLoss(l)
	} else if !t.losses[i].update(l, u.runner.clockAt) {
		return
	}
	s.emitForRun(u, Decision{Event: "runner-lost-with-task", Reason: t.describeLosses(), Age: s.now - u.started})
	if t.job.stored != nil && !t.job.ended {
		s.save(t.job)
	}
}

// update merges a later observation of the same loss, and reports whether it shows anything new. answeredAt is when
// the runner last answered: if that was after the loss, the runner is lost a second time.
func (l *loss) update(later loss, answeredAt Time) bool {
	before := *l
	if answeredAt > l.at {
		l.at = later.at
	}
	l.begun = l.begun || later.begun
	l.restarted = l.restarted || later.restarted
	return l.begun != before.begun || l.restarted != before.restarted
}

// noteSilentLosses records that a silent runner may be lost with its runs.
func (s *Scheduler) noteSilentLosses(r *runner) {
	if !r.unresponsive || s.now-max(r.clockAt, r.lastAskedAt) < lossSilence {
		return
	}
	for _, u := range r.sortedRuns() {
		s.noteLoss(u, false)
	}
}

// forgetLoss removes the loss of a runner with a run that it shows now: an order to start the run has reached a later
// incarnation only, so nothing of it was lost with the one before. If another scheduler has started the run, that is the one
// of which the record assumed a loss.
func (s *Scheduler) forgetLoss(r *runner, k workload.RunKey, startedElsewhere bool) {
	t := s.taskOf(r.runs[k], k)
	if t == nil {
		return
	}
	earlier := func(l loss) bool { return l.runner == r.info.ID && l.incarnation < r.incarnationStart }
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool {
		return earlier(l) && (l.assumed && startedElsewhere || l.number == k.Number && !l.begun)
	})
	if t.assumedLoss != nil && earlier(*t.assumedLoss) {
		t.assumedLoss = nil
	}
}

// sameRunner reports whether two losses are of the same incarnation of a runner.
func (l loss) sameRunner(o loss) bool { return l.runner == o.runner && l.incarnation == o.incarnation }

func (t *taskState) addLoss(l loss) {
	if len(t.losses) == 0 {
		t.job.tasksWithLosses = append(t.job.tasksWithLosses, t)
	}
	t.losses = append(t.losses, l)
}

// crashes returns the number of runners that have crashed under the task.
func (t *taskState) crashes() int {
	n := 0
	for _, l := range t.losses {
		if l.crash() {
			n++
		}
	}
	return n
}

func (t *taskState) describeLosses() string {
	return fmt.Sprintf("%d crashed of %d lost", t.crashes(), len(t.losses))
}

// judgeLosses updates a task's losses by what its lost runners have shown since: one that has answered as the same
// incarnation is removed, and one that has answered as a later incarnation has restarted.
func (s *Scheduler) judgeLosses(t *taskState) {
	before := t.describeLosses()
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return !l.restarted && s.survived(l) })
	for i := range t.losses {
		l := &t.losses[i]
		l.restarted = l.restarted || s.restartedSince(*l)
	}
	if t.describeLosses() == before {
		return
	}
	s.emit(Decision{
		Event: "lost-runners-judged", Job: t.name.Job, Run: workload.RunKey{Task: t.name, Number: t.lastNumber},
		Reason: t.describeLosses(), Detail: "before: " + before,
	})
	if t.job.stored != nil {
		s.save(t.job)
	}
}

// judgeAllLosses judges the losses of all open tasks. It is called when new incarnations of runners become known, whose
// entries may be gone again before the task is to be started.
func (s *Scheduler) judgeAllLosses() {
	for _, j := range s.sortedJobs() {
		for _, t := range j.tasksWithLosses {
			if t.phase != done && !j.ended {
				s.judgeLosses(t)
			}
		}
	}
}

// survived reports whether a lost runner has answered as the same incarnation.
func (s *Scheduler) survived(l loss) bool {
	r := s.runners[l.runner]
	return r != nil && !r.gone && r.incarnationStart == l.incarnation && r.clockAt > l.at
}

// restartedSince reports whether a later incarnation of a lost runner is known.
func (s *Scheduler) restartedSince(l loss) bool {
	r := s.runners[l.runner]
	return r != nil && l.incarnation > 0 && r.incarnationStart > l.incarnation
}

// failIfCrashing judges the losses of a job's waiting tasks of which no run may be alive. If there are too many under one of
// them it fails the job, and reports that.
func (s *Scheduler) failIfCrashing(j *job) bool {
	for _, t := range j.tasksWithLosses {
		if t.phase != waiting || s.lostRunAlive(t) {
			continue
		}
		s.judgeLosses(t)
		if t.crashes() >= maxCrashes || len(t.losses) >= maxLosses {
			s.finish(j, workload.JobFailed, fmt.Sprintf("runners crash under task %s: %s", t.name, t.describeLosses()))
			return true
		}
	}
	j.tasksWithLosses = slices.DeleteFunc(j.tasksWithLosses, func(t *taskState) bool { return len(t.losses) == 0 })
	return false
}

// awaitsCrashEvidence reports whether a task waits until it is known whether the runners that were lost with it
// have crashed.
func (s *Scheduler) awaitsCrashEvidence(t *taskState) bool {
	if len(t.losses) < maxCrashes {
		return false
	}
	return slices.ContainsFunc(t.losses, func(l loss) bool {
		return !l.restarted && s.now-l.at < crashEvidenceTimeout
	})
}

// allLosses returns the losses of a task, with the assumed one. A job that moves has none: no start of its tasks is under way.
func (t *taskState) allLosses() []loss {
	if t.assumedLoss == nil || t.job.moving() || slices.ContainsFunc(t.losses, t.assumedLoss.sameRunner) {
		return t.losses
	}
	return append(slices.Clone(t.losses), *t.assumedLoss)
}

// recordedLosses returns the losses that the job's record has, at most ledger.MaxLosses of them: those of the
// tasks with the most come first.
func (j *job) recordedLosses() []ledger.Loss {
	tasks := slices.Clone(j.tasksWithLosses)
	slices.SortStableFunc(tasks, func(a, b *taskState) int { return len(b.losses) - len(a.losses) })
	var list []ledger.Loss
	for _, t := range tasks {
		for _, l := range t.allLosses() {
			if t.phase == done || len(list) == ledger.MaxLosses {
				continue
			}
			list = append(list, ledger.Loss{
				Step: j.stepIndex(t.name), Index: t.name.Index,
				Runner: l.runner, Incarnation: l.incarnation, Begun: l.begun, Restarted: l.restarted,
			})
		}
	}
	return list
}

// restoreLosses adds the losses of a job's record.
func (s *Scheduler) restoreLosses(j *job, list []ledger.Loss) {
	for _, l := range list {
		if l.Step >= len(j.steps) || l.Index >= len(j.steps[l.Step]) {
			continue
		}
		j.steps[l.Step][l.Index].addLoss(loss{
			runner: l.Runner, incarnation: l.Incarnation, at: s.now, begun: l.Begun, restarted: l.Restarted, assumed: !l.Restarted,
		})
		j.begun = true
		j.ran = j.ran || l.Begun
	}
}
