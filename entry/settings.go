package entry

import (
	"context"
	"sync"
	"time"

	"sapphirepoint.example/sapphirepoint/core/routing"
)

// settingsMonitor knows how current the operator's settings in force are. The goroutine of
// watchOperatorSettings, the loop and callers' requests share it.
type settingsMonitor struct {
	mu        sync.Mutex
	freshness routing.Freshness
}

// age returns how long ago the settings were last confirmed; false if they never were.
func (m *settingsMonitor) age(now Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshness.Age(now)
}

// confirm records that the settings in force have all changes up to a time.
func (m *settingsMonitor) confirm(asOf Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.Confirm(asOf)
}

// watchOperatorSettings puts in force what the operator has written to the store: it waits for
// changes, and asks the store for a confirmation when a wait has failed.
func (p *Process) watchOperatorSettings(ctx context.Context) {
	var known routing.Freshness
	for ctx.Err() == nil {
		wait := known.NextWait(p.clock.now())
		if wait == 0 {
			p.retry(ctx, "configuration", func() error { return p.readOperatorSettings(ctx, 0, &known) })
			continue
		}
		if err := p.readOperatorSettings(ctx, wait, &known); err != nil && ctx.Err() == nil {
			p.log.Info().Dur("wait", wait).Err(err).Msg("settings-wait-failed")
			p.retry(ctx, "configuration", func() error { return p.readOperatorSettings(ctx, 0, &known) })
		}
	}
}

// readOperatorSettings reads what the operator has written, and waits for a change for at most
// the given time. If there is one, it is put in force.
//
// The answer is evidence of the store's state as the call began. If it says that nothing has changed, the
// store has waited for the whole time, so the answer is evidence of the state at the end of the wait.
func (p *Process) readOperatorSettings(ctx context.Context, wait time.Duration, known *routing.Freshness) error {
	asOf := p.clock.now()
	o, err := p.store.OperatorSettings(ctx, wait)
	if err != nil {
		return err
	}
	if !o.Changed {
		asOf += wait
	}
	known.Confirm(asOf)
	answeredAt := p.clock.now()
	p.post(func(now Time) {
		if o.Changed {
			p.applyOperatorSettings(now, o, now-answeredAt)
		}
		p.publishConfiguration()
		p.settings.confirm(asOf)
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
