package entry

import (
	"sync"
	"time"

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
