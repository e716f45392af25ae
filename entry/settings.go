package entry

import (
	"context"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/routing"
)

// watchOperatorSettings puts in force what the operator has written to the store: it waits for
// changes, and asks the store for a confirmation when a wait has failed.
func (p *Process) watchOperatorSettings(ctx context.Context) {
	var known routing.Freshness
	for ctx.Err() == nil {
		wait := known.NextWait(p.clock.now())
		if wait == 0 {
			p.retry(ctx, "configuration", func() error { return p.askOperatorSettings(ctx, &known) })
			continue
		}
		if err := p.awaitOperatorSettings(ctx, wait, &known); err != nil && ctx.Err() == nil {
			p.log.Info().Dur("wait", wait).Err(err).Msg("settings-wait-failed")
			p.retry(ctx, "configuration", func() error { return p.askOperatorSettings(ctx, &known) })
		}
	}
}

// askOperatorSettings reads the settings without a wait.
func (p *Process) askOperatorSettings(ctx context.Context, known *routing.Freshness) error {
	p.settings.asking(p.clock.now())
	err := p.readOperatorSettings(ctx, 0, known)
	if err != nil {
		p.settings.fail()
	}
	return err
}

// awaitOperatorSettings waits for a change for at most the given time. It returns an error at once if a
// request awaits a confirmation, for which the store has to be asked without a wait.
func (p *Process) awaitOperatorSettings(ctx context.Context, wait time.Duration, known *routing.Freshness) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.settings.askNow:
			cancel()
		case <-ctx.Done():
		}
	}()
	return p.readOperatorSettings(ctx, wait, known)
}

// waitTolerance is the part of a wait, one in so many, by which the store's clock may make it shorter.
const waitTolerance = 20

// readOperatorSettings reads what the operator has written, and waits for a change for at most
// the given time. If there is one, it is put in force.
//
// The answer is evidence of the store's state as the call began. If it says that nothing has changed, and the
// store has waited for the whole time, it is evidence of the state at the end of the wait.
func (p *Process) readOperatorSettings(ctx context.Context, wait time.Duration, known *routing.Freshness) error {
	asOf := p.clock.now()
	o, err := p.store.OperatorSettings(ctx, wait)
	if err != nil {
		return err
	}
	answeredAt := p.clock.now()
	if !o.Changed && answeredAt-asOf >= wait-wait/waitTolerance {
		asOf = min(asOf+wait, answeredAt)
	}
	known.Confirm(asOf)
	p.post(func(now Time) {
		if o.Changed {
			p.applyOperatorSettings(now, o, now-answeredAt)
		}
		p.publishConfiguration()
		if p.settings.confirm(asOf) {
			p.log.Info().Uint64("version", p.node.ConfigVersion()).Msg("settings-confirmed")
		}
	})
	return nil
}

// applyOperatorSettings puts the operator's settings in force. If the configuration is missing or
// invalid, the one in force stays in force. The evacuations are in rows of their own and
// apply in any case. The argument "store" is the source that the node logs, since it may receive both
// from other processes too. queued is how long the settings have waited for the loop.
func (p *Process) applyOperatorSettings(now Time, o OperatorSettings, queued time.Duration) {
	event := p.log.Info().Dur("queued", queued)
	if age, known := p.settings.age(now); known {
		event = event.Dur("age", age)
	}
	if o.Declaration != nil {
		event = event.Uint64("version", o.Declaration.Version)
	} else {
		p.log.Warn().Msg("configuration-unreadable")
	}
	event.Msg("operator-settings-read")
	p.node.ApplyEvacuations(now, o.Evacuations, "store")
	if o.Declaration != nil {
		p.node.ApplyDeclaration(now, o.Declaration, "store")
	}
}

// awaitCurrentSettings returns once the settings in force are recent enough to route a request
// that has just arrived, or the store can't be asked in time: a process that is cut off from it
// goes on with what it knows. A process that was paused may have missed a change.
func (p *Process) awaitCurrentSettings(ctx context.Context) {
	p.clock.adjust()
	arrivedAt := p.clock.now()
	for ctx.Err() == nil {
		wait, changed := p.settings.check(p.clock.now())
		if wait == 0 {
			break
		}
		select {
		case <-changed:
		case <-time.After(min(wait, fleet.TickInterval)):
		case <-ctx.Done():
		}
	}
	p.recordSettingsAge(p.clock.now(), arrivedAt)
}

// recordSettingsAge counts and logs by how old settings a request is routed.
func (p *Process) recordSettingsAge(now, arrivedAt Time) {
	age, known := p.settings.age(now)
	if !known {
		return
	}
	p.metrics.requestAge.Observe(age.Seconds())
	current, first := p.settings.routed(now)
	if first {
		p.log.Warn().Dur("age", age).Dur("waited", now-arrivedAt).Uint64("version", p.Configuration().Version()).Msg("settings-unconfirmed")
	}
	if waited := now - arrivedAt; waited >= settingsWaitThreshold {
		p.metrics.settingsWaits.WithLabelValues(settingsOutcome(current)).Inc()
	}
}

// settingsWaitThreshold is the wait from which on a request counts as delayed by its wait for
// current settings.
const settingsWaitThreshold = time.Millisecond

func settingsOutcome(current bool) string {
	if current {
		return "confirmed"
	}
	return "unconfirmed"
}
