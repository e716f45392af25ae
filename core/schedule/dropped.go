package schedule

import (
	"fmt"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A dropped run is one that the scheduler has ceased to count though its runner hasn't listed its
// end. The scheduler remembers it for a while, and warns if the runner shows later that the run was
// alive and the task had another run.

const (
	// dropRetention is how long a dropped run is remembered; runs take a few seconds at most.
	dropRetention = resultRetention
	// maxDropsRemembered bounds the memory when all runners are lost at once.
	maxDropsRemembered = 4096
)

// DropReason is the evidence on which a run was dropped.
type DropReason uint8

// The reasons.
const (
	// StartRejected: the runner rejected the last order to start the run.
	StartRejected DropReason = iota
	// StartOutdated: the runner rejected it since the run, or a later run of the task, had ended there
	// or was stopped.
	StartOutdated
	// StoppedUnlisted: the runner answered an order to stop the run, and its list of a later time
	// has neither the run nor its end.
	StoppedUnlisted
	// NeverBegun: orders to start the run stayed unanswered or were rejected, and the runner's list of a
	// time at which it accepts none of them any more has neither the run nor its end.
	NeverBegun
	// StopTimedOut: the runner rejected the start of the run as outdated, so the run was over or being
	// stopped, the longest time that it may live is over, and a list of a later time doesn't have it as running. It has
	// listed no end.
	StopTimedOut
	// LeaseOver: the runner was silent for longer than the run's lease can last.
	LeaseOver
	// RunnerFenced: the runner has accepted another scheduler's higher token.
	RunnerFenced
	// RunnerReplaced: another incarnation answers at the runner's address.
	RunnerReplaced
	// RunnerRestarted: a later incarnation answers under the runner's id.
	RunnerRestarted
	dropReasons
)

var dropReasonNames = [dropReasons]string{
	"start-rejected", "start-outdated", "stopped-unlisted", "never-begun", "stop-timed-out", "lease-over", "runner-fenced", "runner-replaced", "runner-restarted",
}

// String returns the reason's name in logs.
func (d DropReason) String() string { return dropReasonNames[d] }

// rejection returns the reason for dropping a run whose start was rejected with an outcome.
func rejection(o CallOutcome) DropReason {
	if o == Outdated {
		return StartOutdated
	}
	return StartRejected
}

// allowsEnd reports whether a run that was dropped for this reason may have ended by itself before
// that, so that an end which is listed later is no sign of a fault.
func (d DropReason) allowsEnd() bool {
	switch d {
	case StartOutdated, StopTimedOut, LeaseOver, RunnerFenced:
		return true
	case RunnerRestarted:
		// A start that was on its way may have reached the new incarnation.
		return true
	}
	return false
}

// mayOverlap reports whether a run that was dropped for this reason, and is listed as done later, may have
// run beside the task's next run. Where the runner itself has shown that the run was over, it hasn't.
func (d DropReason) mayOverlap() bool {
	return d == LeaseOver || d == RunnerFenced || d == RunnerRestarted
}

// DropCounts are numbers of dropped runs by DropReason.
type DropCounts [dropReasons]uint64

// Plus returns the sum.
func (c DropCounts) Plus(o DropCounts) DropCounts {
	for i := range c {
		c[i] += o[i]
	}
	return c
}

// droppedRun is a dropped run as it is remembered.
type droppedRun struct {
	key    workload.RunKey
	runner workload.RunnerID
	// evidence is what the log said when it was dropped.
	evidence string
	// allowsEnd: see DropReason.allowsEnd.
	allowsEnd bool
	// mayOverlap: see DropReason.mayOverlap.
	mayOverlap bool
	// lacksEvidence: see dropLacksEvidence.
	lacksEvidence bool
	// endListed: its runner has listed its end since it was dropped.
	endListed bool
	// restarted: it was dropped as its runner had restarted.
	restarted bool
	// unreached: its runner's host was out of reach when it was dropped, so that an end by its lease, listed later, doesn't
	// show that it ended late.
	unreached bool
	// unlisted: a list had neither the run nor its end.
	unlisted bool
	at       Time
	origin   runOrigin
	// incarnationStart is that of its runner.
	incarnationStart int64
	// next is the task's next run; its number is 0 if there is none.
	next       workload.RunKey
	nextRunner workload.RunnerID
	nextOrigin runOrigin
	// reported: the run was found alive and logged.
	reported bool
	// over: its runner has shown that it is over, and what has its key there now is another scheduler's run.
	over bool
}

func newDroppedRun(u *run, at Time, evidence string) *droppedRun {
	return &droppedRun{
		key: u.key, runner: u.runner.info.ID, evidence: evidence, at: at,
		origin: originOf(u), incarnationStart: u.runner.incarnationStart, unreached: u.runner.host.outOfReach(),
	}
}

// dropMemory holds the dropped runs.
type dropMemory struct {
	byTask map[workload.TaskName][]*droppedRun
	// order has the same runs, oldest first.
	order []*droppedRun
}

func newDropMemory() dropMemory {
	return dropMemory{byTask: make(map[workload.TaskName][]*droppedRun)}
}

func (m *dropMemory) add(d *droppedRun) {
	if len(m.order) >= maxDropsRemembered {
		m.removeOldest()
	}
	m.byTask[d.key.Task] = append(m.byTask[d.key.Task], d)
	m.order = append(m.order, d)
}

func (m *dropMemory) removeOldest() {
	d := m.order[0]
	m.order = m.order[1:]
	rest := slices.DeleteFunc(m.byTask[d.key.Task], func(o *droppedRun) bool { return o == d })
	if len(rest) == 0 {
		delete(m.byTask, d.key.Task)
		return
	}
	m.byTask[d.key.Task] = rest
}

// expire removes the runs that were dropped before a time.
func (m *dropMemory) expire(oldest Time) {
	for len(m.order) > 0 && m.order[0].at < oldest {
		m.removeOldest()
	}
}

// find returns the latest drop of a run on a runner that may still be what the runner lists; nil if none is remembered.
func (m *dropMemory) find(k workload.RunKey, r *runner) *droppedRun {
	drops := m.byTask[k.Task]
	for _, d := range slices.Backward(drops) {
		if d.key == k && d.runner == r.info.ID && !d.over {
			return d
		}
	}
	return nil
}

// noteOtherStart records which dropped runs can't be the one that a runner lists for the first time: the runner's list
// of a time after the drop was without the run, and another scheduler may have started one of that number since. Runs of
// a job that was sent again are numbered from one again.
func (s *Scheduler) noteOtherStart(r *runner, k workload.RunKey) {
	for _, d := range s.drops.byTask[k.Task] {
		if d.key != k || d.runner != r.info.ID {
			continue
		}
		shownOver := r.settledListAsOf >= d.at+s.longestStop()
		takenSince := r.acquiredAt > r.settledListAsOf
		d.over = d.over || shownOver && takenSince
	}
}

// dropRun ceases to count a run whose end its runner hasn't listed, and logs it.
func (s *Scheduler) dropRun(u *run, why DropReason) {
	s.dropRunAs(u, why, Decision{Event: "run-dropped", Reason: why.String(), Age: s.now - u.started})
}

// dropRunAs is dropRun with another event, reason and age in the log.
func (s *Scheduler) dropRunAs(u *run, why DropReason, d Decision) {
	u.runner.drop(u)
	s.ctr.Dropped[why]++
	s.emitForRun(u, d)
	dropped := newDroppedRun(u, s.now, d.Event+" "+d.Reason)
	s.noteEarlierRun(u, d.evidence(), dropped)
	dropped.lacksEvidence, dropped.restarted = dropLacksEvidence(u, why), why == RunnerRestarted
	dropped.allowsEnd, dropped.mayOverlap = why.allowsEnd(), why.mayOverlap()
	dropped.unlisted = why == StoppedUnlisted || why == NeverBegun
	if other := s.otherRun(u); other != nil {
		dropped.setNext(other)
	}
	s.drops.add(dropped)
}

// evidence returns the event with its reason and detail.
func (d Decision) evidence() string {
	text := d.Event + " " + d.Reason
	if d.Detail != "" {
		text += " (" + d.Detail + ")"
	}
	return text
}

// emitForRun logs a decision about a run.
func (s *Scheduler) emitForRun(u *run, d Decision) {
	d.Job, d.Run, d.Runner = u.key.Task.Job, u.key, u.runner.info.ID
	s.emit(d)
}

// dropRuns drops all runs of a runner and gives up its ownership.
func (s *Scheduler) dropRuns(r *runner, why DropReason) {
	for _, u := range r.sortedRuns() {
		s.dropRun(u, why)
	}
	r.release()
}

func (d *droppedRun) setNext(u *run) {
	d.next, d.nextRunner, d.nextOrigin = u.key, u.runner.info.ID, originOf(u)
}

// otherRun returns the present run of a run's task if it is another one, and nil otherwise.
func (s *Scheduler) otherRun(u *run) *run {
	t := s.taskOf(u, u.key)
	if t == nil || t.run == u {
		return nil
	}
	return t.run
}

// isOf reports whether it is the record of a run, or of one of the same number on the same runner.
func (d *droppedRun) isOf(u *run) bool { return d.key == u.key && d.runner == u.runner.info.ID }

// closeDrops closes the records of dropped runs that had the number of a run which is about to be started on their
// runner: the job was sent again, and the runner's lists show the new run from now on.
func (s *Scheduler) closeDrops(u *run) {
	for _, d := range s.drops.byTask[u.key.Task] {
		d.reported = d.reported || d.isOf(u)
	}
}

// noteNextRun records with a task's dropped runs that it has another run now.
func (s *Scheduler) noteNextRun(u *run) {
	for _, d := range s.drops.byTask[u.key.Task] {
		if d.next.Number == 0 && !d.isOf(u) {
			d.setNext(u)
		}
	}
}

// checkListedOrphan warns if an orphan runs beside another run of its task. A list that was requested
// before the other run's start may be older than that start, so it is no evidence.
func (s *Scheduler) checkListedOrphan(u *run, requestedAt Time) {
	d := s.drops.find(u.key, u.runner)
	if d == nil {
		d = s.uncountedRun(u)
	}
	if d == nil || d.reported || d.next.Number == 0 || requestedAt < d.nextOrigin.startedAt {
		return
	}
	s.reportAlive(d, "running")
}

// uncountedRun returns a record of an orphan that was never dropped and whose task has another run; nil
// if it has none.
func (s *Scheduler) uncountedRun(u *run) *droppedRun {
	other := s.otherRun(u)
	if other == nil {
		return nil
	}
	d := newDroppedRun(u, u.started, "not known when the other run was started")
	d.allowsEnd, d.mayOverlap = true, true
	d.setNext(other)
	s.drops.add(d)
	return d
}

// uncountedEnd is uncountedRun for a run that is listed as done. u is nil if the run was never listed as running.
func (s *Scheduler) uncountedEnd(r *runner, u *run, e workload.End) *droppedRun {
	if !showsLife(e.Kind) {
		return nil
	}
	if u == nil {
		u = &run{key: e.Run, runner: r, started: s.now, startedElsewhere: true}
	}
	return s.uncountedRun(u)
}

// checkListedEnd warns if the end of a dropped run shows that the run was alive when it was dropped and
// its task started again, or doesn't show that it wasn't. Other ends of dropped runs are logged without a
// warning. u is the run, if it is known.
func (s *Scheduler) checkListedEnd(r *runner, u *run, e workload.End) {
	if u == nil {
		s.noteOtherStart(r, e.Run)
	}
	d := s.drops.find(e.Run, r)
	if d != nil {
		d.endListed = true
	}
	if d == nil && (u == nil || u.task == nil) {
		d = s.uncountedEnd(r, u, e)
	}
	if d == nil || d.reported || d.next.Number == 0 {
		return
	}
	switch {
	case !showsLife(e.Kind):
		s.checkOtherEnd(d, e.Kind)
	case e.Kind == workload.LeaseExpired:
		d.reported = true
		s.emitLateSign("dropped-run-expired", d, e.Kind.String(), !d.unreached)
	case d.allowsEnd:
		d.reported = true
		s.ctr.DoneAfterDrop++
		s.emitLateSign("dropped-run-done", d, "done", d.mayOverlap)
	default:
		s.reportAlive(d, "done")
	}
}

// checkOtherEnd handles the end of a dropped run that neither was done nor had its lease expire. A run that
// was dropped since it wasn't on a list had not ended by then.
func (s *Scheduler) checkOtherEnd(d *droppedRun, kind workload.EndKind) {
	if d.unlisted {
		s.reportAlive(d, kind.String())
	}
}

// showsLife reports whether a run that ended so went on until it was done, or until its runner found that
// its lease was over.
func showsLife(k workload.EndKind) bool { return k == workload.Done || k == workload.LeaseExpired }

func (s *Scheduler) reportAlive(d *droppedRun, state string) {
	d.reported = true
	s.ctr.RanTwice++
	s.emitLateSign("task-ran-twice", d, state, true)
}

// emitLateSign logs a sign of a dropped run; the age is the time since it was dropped.
func (s *Scheduler) emitLateSign(event string, d *droppedRun, state string, warning bool) {
	reason := fmt.Sprintf("%s, other run %s on %s; %s", state, d.next, d.nextRunner, d.evidence)
	s.emit(Decision{
		Event: event, Job: d.key.Task.Job, Run: d.key, Runner: d.runner, Entry: d.nextOrigin.entry, Token: d.nextOrigin.token,
		Reason: reason, Detail: s.describeOrigins(d), Age: s.now - d.at, Warning: warning,
	})
}
