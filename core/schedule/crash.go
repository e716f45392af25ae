package schedule

import (
	"fmt"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A task may crash each runner that starts it. Such a run lists no end: its runner falls silent, and a later
// incarnation answers some seconds later. Only that answer shows that the runner has crashed; one that was
// silent and answers again as the same incarnation was out of reach.
//
// When a failure domain loses power, hundreds of tasks lose their runners that have nothing to do with it. So a
// task under which two were lost is started where nothing else runs, and its job fails only after the next crash.

const (
	// maxCrashes is the number of crashes under one task with which its job fails.
	maxCrashes = 3
	// maxLosses is the same for runners that were lost, whether they have crashed or not.
	maxLosses = 5
	// lossesUntilAlone is the number of lost runners from which on a task is started where nothing else runs.
	lossesUntilAlone = 2
	// lossSilence is the silence after which a runner counts as lost for now. The record says so then, in case
	// this process is lost before the runner answers again.
	lossSilence = 400 * time.Millisecond
	// crashEvidenceTimeout is how long a task waits for the answer of a lost runner. Crashed ones are back some
	// seconds later.
	crashEvidenceTimeout = 6 * time.Second
)

// loss is a runner's incarnation that was lost with a run of a task.
type loss struct {
	runner workload.RunnerID
	// incarnation is its start; 0 if unknown.
	incarnation int64
	at          Time
	// begun: the runner had confirmed the run. Otherwise it may have crashed before the run's start arrived.
	begun bool
	// restarted: a later incarnation has answered.
	restarted bool
}

// crash reports whether the runner has crashed while the run was there.
func (l loss) crash() bool { return l.begun && l.restarted }

// noteLoss records that a runner is lost with a run, for now at least: a runner that answers again as the same
// incarnation is none. A runner that was about to leave ends its runs.
func (s *Scheduler) noteLoss(u *run, restarted bool) {
	if u.task == nil || u.runner.leaving {
		return
	}
	t := u.task
	t.atRisk = nil
	l := loss{runner: u.runner.info.ID, incarnation: u.runner.incarnationStart, at: s.now, begun: u.confirmed, restarted: restarted}
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

// update applies what is known now of a loss that was noted before, and reports whether that is new. answeredAt is
// when its runner last answered: if it has since, it is lost anew.
func (l *loss) update(now loss, answeredAt Time) bool {
	before := *l
	if answeredAt > l.at {
		l.at = now.at
	}
	l.begun = l.begun || now.begun
	l.restarted = l.restarted || now.restarted
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

// sameRunner reports whether two losses are of the same incarnation of a runner.
func (l loss) sameRunner(o loss) bool { return l.runner == o.runner && l.incarnation == o.incarnation }

func (t *taskState) addLoss(l loss) {
	if len(t.losses) == 0 {
		t.job.losing = append(t.job.losing, t)
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

// judgeLosses updates what is known of the runners that were lost with a task: those that answer as the same
// incarnation are no losses.
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
	s.emit(Decision{Event: "lost-runners-judged", Job: t.name.Job, Run: workload.RunKey{Task: t.name, Number: t.lastNumber}, Reason: t.describeLosses(), Detail: "before: " + before})
	if t.job.stored != nil {
		s.save(t.job)
	}
}

// judgeAllLosses does so for all tasks, as new incarnations of runners are known.
func (s *Scheduler) judgeAllLosses() {
	for _, j := range s.sortedJobs() {
		for _, t := range j.losing {
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

// crashesRunners judges the runners that were lost with a job's waiting tasks, and reports whether the job
// fails for them.
func (s *Scheduler) crashesRunners(j *job) bool {
	for _, t := range j.losing {
		if t.phase != waiting {
			continue
		}
		s.judgeLosses(t)
		if t.crashes() >= maxCrashes || len(t.losses) >= maxLosses {
			s.finish(j, workload.JobFailed, fmt.Sprintf("runners crash under task %s: %s", t.name, t.describeLosses()))
			return true
		}
	}
	j.losing = slices.DeleteFunc(j.losing, func(t *taskState) bool { return len(t.losses) == 0 })
	return false
}

// awaitsCrashEvidence reports whether a task waits until it is known whether the runners that were lost with it
// have crashed.
func (s *Scheduler) awaitsCrashEvidence(t *taskState) bool {
	if len(t.losses) < maxCrashes {
		return false
	}
	return slices.ContainsFunc(t.losses, func(l loss) bool { return !l.restarted && s.now-l.at < crashEvidenceTimeout })
}

// allLosses returns the losses of a task, and the one that the next owner of the shard has to assume.
func (t *taskState) allLosses() []loss {
	if t.atRisk == nil || slices.ContainsFunc(t.losses, t.atRisk.sameRunner) {
		return t.losses
	}
	return append(slices.Clone(t.losses), *t.atRisk)
}

// recordedLosses returns the losses that the job's record has, at most ledger.MaxLosses of them: those of the
// tasks with the most come first.
func (j *job) recordedLosses() []ledger.Loss {
	tasks := slices.Clone(j.losing)
	slices.SortStableFunc(tasks, func(a, b *taskState) int { return len(b.losses) - len(a.losses) })
	var list []ledger.Loss
	for _, t := range tasks {
		for _, l := range t.allLosses() {
			if t.phase == done || len(list) == ledger.MaxLosses {
				continue
			}
			list = append(list, ledger.Loss{Step: j.stepIndex(t.name), Index: t.name.Index, Runner: l.runner, Incarnation: l.incarnation, Begun: l.begun, Restarted: l.restarted})
		}
	}
	return list
}

// restoreLosses adds the losses of a job's record.
func (s *Scheduler) restoreLosses(j *job, list []ledger.Loss) {
	for _, l := range list {
		if l.Step < len(j.steps) && l.Index < len(j.steps[l.Step]) {
			j.steps[l.Step][l.Index].addLoss(loss{runner: l.Runner, incarnation: l.Incarnation, at: s.now, begun: l.Begun, restarted: l.Restarted})
			j.begun = true
			j.ran = j.ran || l.Begun
		}
	}
}
