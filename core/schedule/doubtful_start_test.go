package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Starts whose outcome is in doubt: the first order stayed unanswered, and the second was rejected.

// rejections are the outcomes with which a runner rejects a start.
var rejections = []CallOutcome{Unhealthy, NoRoom, TooLate, Outdated, Invalid}

// unansweredOnce submits a job, leaves its start unanswered and returns the order that repeats it.
func (b *harness) unansweredOnce(j *workload.Job) Start {
	b.t.Helper()
	b.submit(j, 2*time.Second)
	b.started(one[Start](b), Unanswered)
	return one[Start](b)
}

// Guards against a second run beside one whose first order was carried out without an answer.
func TestRejectionOfASecondStartSaysNothingOfTheFirst(t *testing.T) {
	for _, o := range rejections {
		t.Run(o.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j := testJob(1, 300*ms)
			again := b.unansweredOnce(j)
			b.started(again, o)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the first order may have been carried out")
			b.g.Expect(take[Answer](b)).To(BeEmpty())
			b.end(again.Runner, 1, again.Run, workload.Done)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
		})
	}
}

// Guards against a task that starts again while its doubtful run may still be stopping, or that waits longer.
func TestATaskStartsAgainOnceItsDoubtfulRunIsStopped(t *testing.T) {
	for _, o := range []CallOutcome{Unhealthy, NoRoom, Invalid} {
		t.Run(o.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			again := b.unansweredOnce(testJob(1, 300*ms))
			b.started(again, o)
			stop := one[Stop](b)
			b.g.Expect(stop.Run).To(Equal(again.Run))
			take[Hold](b)
			b.now += 2 * ms
			b.stopped(stop, Accepted)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.now += 2 * ms
			b.held(b.listOf(again.Runner))
			b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that is being stopped need not be listed")
			next := b.expectStartAfter(b.longestStop() - 2*ms)
			b.g.Expect(next.Run.Number).To(BeNumerically(">", again.Run.Number))
			if o == Unhealthy {
				b.g.Expect(next.Runner).NotTo(Equal(again.Runner))
			}
		})
	}
}

// listOf returns the only Hold to a runner that reads its list.
func (b *harness) listOf(id workload.RunnerID) Hold {
	b.t.Helper()
	var found []Hold
	for _, h := range take[Hold](b) {
		if h.Runner == id && h.ListOnly {
			found = append(found, h)
		}
	}
	b.g.Expect(found).To(HaveLen(1))
	return found[0]
}

// Guards against the loss of a run that its runner has listed, when the second order for it is
// rejected out of hand.
func TestAListedRunSurvivesTheRejectionOfItsSecondStart(t *testing.T) {
	for _, o := range []CallOutcome{Unhealthy, NoRoom, TooLate, Invalid} {
		t.Run(o.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			again := b.unansweredOnce(testJob(1, 300*ms))
			for _, h := range take[Hold](b) {
				if h.Runner == again.Runner {
					b.answerHold(h, Accepted, again.Run)
				}
			}
			b.started(again, o)
			b.g.Expect(take[Start](b)).To(BeEmpty())
			b.g.Expect(take[Stop](b)).To(BeEmpty())
			b.end(again.Runner, 1, again.Run, workload.Done)
			b.g.Expect(one[Answer](b).Outcome).To(Equal(workload.Completed))
		})
	}
}

// Guards against a second run of a job that its caller has left and sent again while its first
// start was in doubt.
func TestAJobSentAgainDoesntRunBesideItsDoubtfulRun(t *testing.T) {
	for _, o := range rejections {
		t.Run(o.String(), func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			j := testJob(1, 300*ms)
			again := b.unansweredOnce(j)
			b.s.Abandon(b.now, entryA, j.ID)
			stop := one[Stop](b)
			b.started(again, o)
			b.submit(j, 2*time.Second)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the first order may have been carried out, and the stop isn't answered")
			b.stopped(stop, Accepted)
			b.tick(b.s.cfg.StopTimeout + lateEndMargin + 20*ms)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the runner hasn't listed its runs since")
			b.lists(again.Runner, b.now)
			b.g.Expect(one[Start](b).Run.Number).To(BeNumerically(">", again.Run.Number))
		})
	}
}

// Guards against a job that waits until its run is overdue, since it was dropped and sent again while
// neither its starts nor their stop were answered.
func TestADoubtfulRunIsStoppedAfterItsJobIsSentAgain(t *testing.T) {
	b := leading(t, testRunner("r1"))
	j := testJob(1, 500*ms)
	again := b.unansweredOnce(j)
	b.started(again, Unanswered)
	b.s.Abandon(b.now, entryA, j.ID)
	b.stopped(one[Stop](b), Unanswered)
	b.submit(j, 2*time.Second)
	b.tick(20 * ms)
	b.g.Expect(one[Stop](b).Run).To(Equal(again.Run))
}

// Guards against a doubtful run that is stopped though it can't begin any more: its runner's list
// shows whether it has begun. The runner may have another lease under which it would carry the start out,
// so the list counts once the runner refuses the start for its token.
func TestAStartThatCameTooLateIsDecidedByTheList(t *testing.T) {
	for name, listed := range map[string]bool{"begun": true, "not begun": false} {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"), testRunner("r2"))
			again := b.unansweredOnce(testJob(1, 300*ms))
			take[Hold](b)
			b.now += b.s.cfg.Lease
			b.s.EntryAlive(b.now, entryA)
			b.started(again, TooLate)
			b.g.Expect(take[Stop](b)).To(BeEmpty())
			b.now += 2 * ms
			list := b.listOf(again.Runner)
			if listed {
				b.answerHold(list, Accepted, again.Run)
				b.g.Expect(take[Start](b)).To(BeEmpty())
				return
			}
			b.answerHold(list, Accepted)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "the runner may still carry out the first order")
			list = b.listOf(again.Runner)
			b.g.Expect(list.Token).To(BeNumerically(">", again.Token))
			b.answerHold(list, Accepted)
			b.g.Expect(take[Start](b)).To(BeEmpty(), "a run that has begun just before may be listed a moment later")
			next := b.expectStartAfter(b.longestStop())
			b.g.Expect(next.Run.Number).To(BeNumerically(">", again.Run.Number))
			b.g.Expect(take[Stop](b)).To(BeEmpty())
		})
	}
}

// Guards against a task that waits until its caller has left, on a runner that rejects stops but
// answers for its list: once the lease in the orders has expired, the list decides.
func TestARunnerThatRejectsStopsDoesntHoldATask(t *testing.T) {
	b := leading(t, testRunner("r1"), testRunner("r2"))
	again := b.unansweredOnce(testJob(1, 300*ms))
	b.started(again, Unhealthy)
	begin := b.now
	for b.now-begin < 2*b.s.cfg.Lease {
		b.tick(20 * ms)
		for _, stop := range take[Stop](b) {
			b.stopped(stop, Unhealthy)
		}
		for _, h := range take[Hold](b) {
			b.held(h)
		}
		if list := take[Start](b); len(list) > 0 {
			b.g.Expect(list[0].Runner).NotTo(Equal(again.Runner))
			b.g.Expect(b.now - begin).To(BeNumerically(">=", b.s.cfg.Lease))
			return
		}
	}
	t.Fatal("the task was never started elsewhere")
}

// longList answers for a runner that has more ends than one list holds: it lists those after the
// acknowledged ones.
func (b *harness) longList(id workload.RunnerID, ends []workload.End) {
	for _, s := range take[Stop](b) {
		b.stopped(s, Accepted)
	}
	for _, h := range take[Hold](b) {
		if h.Runner != id {
			b.held(h)
			continue
		}
		from := int(h.Acknowledged)
		b.held(h, ends[from:min(from+maxEndsPerList, len(ends))]...)
	}
}

// manyEnds returns as many ends as a list holds, of jobs that nobody knows, and behind them that of a run.
func manyEnds(last workload.RunKey) []workload.End {
	var ends []workload.End
	for i := range maxEndsPerList {
		k := workload.RunKey{Task: workload.TaskName{Job: workload.JobID(fmt.Sprintf("unknown%d", i))}, Number: 1}
		ends = append(ends, workload.End{Sequence: uint64(i + 1), Run: k, Kind: workload.Failed})
	}
	return append(ends, workload.End{Sequence: maxEndsPerList + 1, Run: last, Kind: workload.Done})
}

// Guards against a runner that gets no end acknowledged any more: the end of a doubtful run is behind
// more ends than a list holds, and the run holds back their acknowledgement.
func TestADoubtfulRunDoesntHoldEndsBackForEver(t *testing.T) {
	for _, o := range []CallOutcome{Outdated, TooLate, Unhealthy} {
		for name, stored := range map[string]bool{"best effort": false, "stored": true} {
			t.Run(o.String()+" "+name, func(t *testing.T) {
				b := leading(t, testRunner("r1"))
				if stored {
					b.accepted(storedJob(1, 300*ms))
					b.started(one[Start](b), Unanswered)
				} else {
					b.unansweredOnce(testJob(1, 300*ms))
				}
				again := b.s.runners["r1"].sortedRuns()[0]
				ends := manyEnds(again.key)
				b.now += 10 * ms
				b.longList("r1", ends)
				b.s.Started(b.now, StartResult{Runner: "r1", Token: b.s.runners["r1"].token, Run: again.key, Outcome: o, Clock: b.clock()})
				for range 200 {
					b.tick(20 * ms)
					b.s.RowOwnershipVerified(b.now, b.now)
					b.saved(take[Save](b)...)
					b.longList("r1", ends)
				}
				b.g.Expect(b.s.runners["r1"].acknowledged).To(BeNumerically(">=", maxEndsPerList))
				b.g.Expect(b.s.runners["r1"].runs).NotTo(HaveKey(again.key))
			})
		}
	}
}
