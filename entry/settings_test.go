package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// settingsStore answers calls without a wait with its version. Calls that wait get no answer.
type settingsStore struct {
	Store
	version uint64
	// err, if set, is the answer to calls without a wait, and unanswered leaves them without one.
	err        error
	unanswered bool
	calls      int
}

const answerTime = 5 * time.Millisecond

func (s *settingsStore) OperatorSettings(ctx context.Context, wait time.Duration) (OperatorSettings, error) {
	if wait > 0 || s.unanswered {
		<-ctx.Done()
		return OperatorSettings{}, ctx.Err()
	}
	s.calls++
	time.Sleep(answerTime)
	return OperatorSettings{Changed: true, Declaration: &routing.Declaration{Version: s.version}}, s.err
}

// startSettingsWatch runs the parts of a process that follow the operator's settings.
func startSettingsWatch(t *testing.T, s Store) *Process {
	c := newClock()
	p := &Process{
		store: s, log: zerolog.Nop(), clock: c, metrics: newMetrics(), events: make(chan func(), eventQueueSize),
		ended: make(chan struct{}), configured: make(chan struct{}), settings: newSettingsMonitor(),
		node: fleet.New(schedule.DefaultConfig(), time.Second, 400, 0),
	}
	p.configuration.Store(&routing.Table{})
	go func() {
		ticker := time.NewTicker(fleet.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.settings.tick()
			case f := <-p.events:
				f()
			case <-t.Context().Done():
				return
			}
		}
	}()
	go p.watchOperatorSettings(t.Context())
	return p
}

// timedConfiguration returns the version by which a request is routed, and how long it waits for that.
func timedConfiguration(p *Process) (uint64, time.Duration) {
	begin := time.Now()
	table := p.AwaitConfiguration(context.Background())
	return table.Version(), time.Since(begin)
}

// Guards against requests that are routed by an outdated configuration when a process goes on after a
// pause: a dropped route would still be served.
func TestRequestsAwaitTheConfigurationAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &settingsStore{version: 3}
		p := startSettingsWatch(t, s)
		version, _ := timedConfiguration(p)
		g.Expect(version).To(BeEquivalentTo(3))
		s.version = 6
		version, waited := timedConfiguration(p)
		g.Expect(version).To(BeEquivalentTo(3))
		g.Expect(waited).To(BeZero(), "what was confirmed just now is current")

		time.Sleep(5 * time.Second)
		calls := s.calls
		versions := make(chan uint64)
		for range 10 {
			go func() { v, _ := timedConfiguration(p); versions <- v }()
		}
		version, waited = timedConfiguration(p)
		g.Expect(version).To(BeEquivalentTo(6))
		g.Expect(waited).To(Equal(answerTime))
		for range 10 {
			g.Expect(<-versions).To(BeEquivalentTo(6))
		}
		g.Expect(s.calls-calls).To(Equal(1), "one call serves all requests")
	})
}

// Guards against callers who wait though the store rejects calls or leaves them unanswered: the process goes on
// with the configuration that it has.
func TestRequestsDontAwaitALostStore(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*settingsStore)
		// wait is how long the first request may wait.
		wait time.Duration
	}{
		"rejects":    {func(s *settingsStore) { s.err = errors.WithStack(ErrRejected) }, answerTime},
		"unanswered": {func(s *settingsStore) { s.unanswered = true }, answerTime + 350*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &settingsStore{version: 3}
				p := startSettingsWatch(t, s)
				version, _ := timedConfiguration(p)
				g.Expect(version).To(BeEquivalentTo(3))
				s.version = 6
				c.lose(s)
				time.Sleep(5 * time.Second)
				_, first := timedConfiguration(p)
				g.Expect(first).To(BeNumerically("<=", c.wait))
				time.Sleep(time.Second)
				version, waited := timedConfiguration(p)
				g.Expect(version).To(BeEquivalentTo(3))
				g.Expect(waited).To(BeZero())
			})
		})
	}
}
