package entry

import (
	"context"
	"time"

	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// Orders to runners. Each one is sent on a goroutine of Process.calls, and its result
// goes back to the loop as an event.

func (p *Process) startTask(ctx context.Context, shard int, c schedule.Start) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent, sentAt := time.Now(), p.clock.now()
	a := p.runners.Start(ctx, c)
	p.recordCall("start", sent, a)
	clock := p.clock.reading(sentAt, a)
	p.post(func(now Time) {
		p.node.Started(now, shard, schedule.StartResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: a.Outcome, Connection: a.Connection, Clock: clock})
	})
}

func (p *Process) stopTask(ctx context.Context, shard int, c schedule.Stop) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent, sentAt := time.Now(), p.clock.now()
	a := p.runners.Stop(ctx, c)
	p.recordCall("stop", sent, a)
	clock := p.clock.reading(sentAt, a)
	p.post(func(now Time) {
		p.node.Stopped(now, shard, schedule.StopResult{Runner: c.Runner, Address: c.Address, Token: c.Token, Run: c.Run, Outcome: a.Outcome, Connection: a.Connection, Clock: clock})
	})
}

func (p *Process) holdRunner(ctx context.Context, shard int, c schedule.Hold) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent, sentAt := time.Now(), p.clock.now()
	a := p.runners.Hold(ctx, c)
	p.recordCall("hold", sent, a.CallAnswer)
	clock := p.clock.reading(sentAt, a.CallAnswer)
	p.post(func(now Time) {
		p.node.Held(now, shard, schedule.HoldResult{
			Runner:           c.Runner,
			Address:          c.Address,
			Token:            c.Token,
			ListOnly:         c.ListOnly,
			ReachabilityOnly: c.ReachabilityOnly,
			Outcome:          a.Outcome,
			Connection:       a.Connection,
			Running:          a.Running,
			Checkpoints:      a.Checkpoints,
			Ends:             a.Ends,
			Clock:            clock,
		})
	})
}

// recordCall counts an order by kind and outcome, and logs why there is no usable answer.
// The durations of holds, which include schedule.Hold.Wait, aren't recorded.
func (p *Process) recordCall(kind string, sent time.Time, a CallAnswer) {
	p.metrics.calls.WithLabelValues(kind, a.Outcome.String()).Inc()
	if kind != "hold" {
		p.metrics.callSeconds.WithLabelValues(kind).Observe(time.Since(sent).Seconds())
	}
	if a.Cause != nil {
		p.log.Debug().Str("order", kind).Err(a.Cause).Msg("order-failed")
	}
}
