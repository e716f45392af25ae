package fleet_test

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

func (w *world) call(n *fakeNode, id workload.RunnerID, timeout time.Duration, order func(*fakeRunner, func(schedule.CallOutcome, *schedule.HoldResult)), done func(schedule.CallOutcome, schedule.ClockReading, *schedule.HoldResult)) {
	sent, incarnation := w.now, n.incarnation
	var finished bool
	finish := func(o schedule.CallOutcome, clock, incarnationStart int64, h *schedule.HoldResult) {
		if finished || n.incarnation != incarnation {
			return
		}
		finished = true
		reading := schedule.ClockReading{Milliseconds: clock, ReceivedAt: w.now, SentAt: sent, IncarnationStart: incarnationStart}
		w.do(n, func() { done(o, reading, h) })
	}
	held, timeoutAt := w.pauseBeforeSending(n), w.now+timeout
	w.after(timeout, func() { finish(schedule.Unanswered, 0, 0, nil) })
	r := w.runner(id)
	if r == nil {
		return
	}
	late := w.rng.Float64() < r.lateShare
	travel := messageDelay
	if late {
		travel = 2*time.Second + time.Duration(w.rng.IntN(10000))*time.Millisecond
	}
	travel += w.slowed(r) + held
	replaced := func() {
		if !r.down || r.successor == nil || !w.accepts(n, r.successor) {
			return
		}
		w.after(messageDelay, func() { finish(schedule.Replaced, 0, 0, nil) })
	}
	sentTo := r.incarnationStart
	w.after(travel, func() {
		replaced()
		if r.incarnationStart != sentTo && (late || !w.outlivesRestart()) || !w.accepts(n, r) {
			return
		}
		answer := func(o schedule.CallOutcome, h *schedule.HoldResult) {
			clock, incarnationStart := r.readings(o, h)
			if late || w.rng.Float64() < r.unansweredShare || r.refuses() {
				return
			}
			w.after(messageDelay+w.slowed(r), func() {
				if w.reaches(n, r) && !r.refuses() && !w.answerMissed(n, timeoutAt) {
					finish(o, clock, incarnationStart, h)
				}
			})
		}
		r.whenAnswering(func() { order(r, answer) })
	})
}

// outlivesRestart draws whether an order that is under way as its runner restarts is carried out by the next incarnation.
// Otherwise it is lost with its connection. Orders that a runner carries out late are held by the runner, and end with it.
func (w *world) outlivesRestart() bool { return w.restartDraws.IntN(2) == 0 }

func (w *world) order(n *fakeNode, o fleet.Order) {
	shard := o.Shard
	switch c := o.Order.(type) {
	case schedule.Start:
		w.noteRun(c.Run, string(n.id), "orders start on "+string(c.Runner))
		w.call(n, c.Runner, c.Timeout, func(r *fakeRunner, answer func(schedule.CallOutcome, *schedule.HoldResult)) {
			answer(r.unlessRejected(r.rejects.starts, func() schedule.CallOutcome { return r.start(c) }), nil)
		}, func(o schedule.CallOutcome, clock schedule.ClockReading, _ *schedule.HoldResult) {
			w.noteRun(c.Run, string(n.id), "start is "+o.String())
			w.checker.startOutcome(c.Run, o)
			n.node.Started(w.now, shard, schedule.StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: clock})
		})
	case schedule.Stop:
		w.noteRun(c.Run, string(n.id), "orders stop on "+string(c.Runner))
		w.call(n, c.Runner, c.Timeout, func(r *fakeRunner, answer func(schedule.CallOutcome, *schedule.HoldResult)) {
			answer(r.unlessRejected(r.rejects.stops, func() schedule.CallOutcome { return r.stop(c) }), nil)
		}, func(o schedule.CallOutcome, clock schedule.ClockReading, _ *schedule.HoldResult) {
			n.node.Stopped(w.now, shard, schedule.StopResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: o, Clock: clock})
		})
	case schedule.Hold:
		accepted := w.accepts(n, w.runner(c.Runner))
		w.call(n, c.Runner, c.Timeout, func(r *fakeRunner, answer func(schedule.CallOutcome, *schedule.HoldResult)) {
			if w.chance(r.rejects.holds) {
				answer(schedule.Unhealthy, nil)
				return
			}
			r.hold(c, func(h schedule.HoldResult) { answer(h.Outcome, &h) })
		}, func(o schedule.CallOutcome, clock schedule.ClockReading, h *schedule.HoldResult) {
			res := schedule.HoldResult{}
			if h != nil {
				res = *h
			}
			if o == schedule.Unanswered {
				w.noteUnanswered(accepted)
				res.Connection = w.connection(n, w.runner(c.Runner), c, accepted)
			}
			res.Runner, res.Address, res.Token, res.ListOnly, res.ReachabilityOnly, res.Outcome, res.Clock = c.Runner, c.Address, c.Token, c.ListOnly, c.ReachabilityOnly, o, clock
			n.node.Held(w.now, shard, res)
		})
	}
}
