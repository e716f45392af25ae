package entry

import (
	"context"
	"sync"
	"time"
)

// confirmation records how current this process's copy of the operator's settings is. It is
// shared by the loop, which puts settings in force, and by callers' requests.
type confirmation struct {
	mu sync.Mutex
	// asOf is the time up to which the settings in force include all changes that the store had
	// acknowledged; known is false before the first.
	asOf  Time
	known bool
}

// advance records that the settings in force include all changes up to a time.
func (c *confirmation) advance(asOf Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || asOf > c.asOf {
		c.asOf, c.known = asOf, true
	}
}

// age returns how long ago the settings were last confirmed; false if they never were.
func (c *confirmation) age(now Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.asOf, c.known
}

// readOperatorSettings reads what the operator has written, and waits for a change for at most
// the given time. If there is one, it is put in force.
//
// The answer is evidence of the store's state as the call began. If it says that nothing has changed, the
// store has waited for the whole time, so the answer is evidence of the state at the end of the wait.
func (p *Process) readOperatorSettings(ctx context.Context, wait time.Duration) error {
	asOf := p.clock.now()
	o, err := p.store.OperatorSettings(ctx, wait)
	if err != nil {
		return err
	}
	if !o.Changed {
		asOf += wait
	}
	answeredAt := p.clock.now()
	p.post(func(now Time) {
		if o.Changed {
			p.applyOperatorSettings(now, o, now-answeredAt)
		}
		p.confirmed.advance(asOf)
	})
	return nil
}

// applyOperatorSettings puts the operator's settings in force. If the configuration is missing or
// invalid, the one in force stays in force. The evacuations are in rows of their own and
// apply in any case. The argument "store" is the source that the node logs, since it may receive both
// from other processes too. queued is how long the settings have waited for the loop.
func (p *Process) applyOperatorSettings(now Time, o OperatorSettings, queued time.Duration) {
	event := p.log.Info().Dur("queued", queued)
	if age, known := p.confirmed.age(now); known {
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
