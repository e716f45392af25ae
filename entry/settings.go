package entry

import (
	"context"
	"sync"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/routing"
)

// settingsMonitor knows how current the operator's settings in force are. The goroutine of
// watchOperatorSettings, the loop and callers' requests share it.
type settingsMonitor struct {
	// askNow interrupts the call that waits for a change, since a request awaits a confirmation.
	askNow chan struct{}

	mu        sync.Mutex
	freshness routing.Freshness
	// changed is closed, and replaced, when a call to the store has succeeded or failed.
	changed chan struct{}
	// outdated: a request was routed by settings that the store hasn't confirmed in time, and it
	// hasn't since. Only the first of these requests is logged.
	outdated bool
}

func newSettingsMonitor() *settingsMonitor {
	return &settingsMonitor{askNow: make(chan struct{}, 1), changed: make(chan struct{})}
}

// age returns how long ago the settings were last confirmed; false if they never were.
func (m *settingsMonitor) age(now Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshness.Age(now)
}

// tick is called at each tick of the loop.
func (m *settingsMonitor) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.Tick()
}

// asking records that the store is being asked for a confirmation.
func (m *settingsMonitor) asking(now Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.Ask(now)
	select {
	case <-m.askNow:
	default:
	}
}

// fail records that the store hasn't confirmed the settings when it was asked.
func (m *settingsMonitor) fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.Fail()
	m.notify()
}

// confirm records that the settings in force have all changes up to a time. It reports
// whether requests were routed by settings that had not been confirmed in time.
func (m *settingsMonitor) confirm(asOf Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.Confirm(asOf)
	m.notify()
	regained := m.outdated && m.freshness.Current(asOf)
	m.outdated = m.outdated && !regained
	return regained
}

func (m *settingsMonitor) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// check returns how long a request has to await a confirmation, and a channel that is closed when
// to check again. If need be, it has the store asked.
func (m *settingsMonitor) check(now Time) (time.Duration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := m.freshness.Await(now)
	if wait > 0 && m.freshness.Ask(now) {
		select {
		case m.askNow <- struct{}{}:
		default:
		}
	}
	return wait, m.changed
}

// routed reports whether the settings are current as a request is routed by them, and if not,
// whether it is the first such request.
func (m *settingsMonitor) routed(now Time) (current, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshness.Current(now) {
		return true, false
	}
	first = !m.outdated
	m.outdated = true
	return false, first
}

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

// awaitOperatorSettings waits for a change for at most the given time. It fails if a request
// awaits a confirmation.
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
