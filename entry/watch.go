package entry

import (
	"context"
	"time"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

const (
	// storeRetryInterval is the pause after a failed call to the store: short against
	// the two seconds in which a change must be in force, long enough not to
	// press a store in trouble.
	storeRetryInterval = 300 * time.Millisecond
	// leaderReadInterval is how often the leader reads the list of runners: a runner
	// that drains must get nothing new 2 s after the list says so. runnersSlow
	// is for the others, which need the list when they come to lead.
	leaderReadInterval   = 600 * time.Millisecond
	followerReadInterval = 6 * time.Second
	// layoutReadInterval is how often a process asks how the runners are divided, until it
	// knows.
	layoutReadInterval = 600 * time.Millisecond
	// pausePerMember, for each member, is the pause after a change of the members.
	// When a fleet starts each registration is a change for all; so as many calls
	// a second come to the store from a large fleet as from a small one.
	pausePerMember = 2 * time.Millisecond
)

// register publishes this process in the store until that has succeeded.
func (p *Process) register(ctx context.Context) {
	m := peer.Member{
		Member:      topology.Member{VM: p.cfg.Node, Domain: p.cfg.Domain, MilliCPU: p.cfg.MilliCPU},
		Address:     p.mesh.Address(),
		Fingerprint: p.identity.Fingerprint(),
	}
	var number uint64
	p.retry(ctx, "register", func() (err error) {
		number, err = p.store.Register(ctx, m)
		return err
	})
	if ctx.Err() != nil {
		return
	}
	p.registered(m, number)
}

// registered takes the identity that the store has given to this process.
func (p *Process) registered(m peer.Member, number uint64) {
	m.Number = number
	m.ID = MemberID(m.VM, number)
	p.self = m
	p.post(func(now Time) { p.node.Registered(now, leader.ID(m.ID), number) })
}

// retry calls f until it succeeds or the context ends, and logs when the store
// is lost and regained.
func (p *Process) retry(ctx context.Context, what string, f func() error) {
	failed := time.Time{}
	for ctx.Err() == nil {
		err := f()
		if err == nil {
			if !failed.IsZero() {
				p.log.Info().Str("dependency", "store").Str("call", what).Dur("lost-for", time.Since(failed)).Msg("dependency-regained")
			}
			return
		}
		p.metrics.storeFailures.WithLabelValues(what).Inc()
		p.post(func(now Time) { p.node.StoreFailed(now) })
		if failed.IsZero() && ctx.Err() == nil {
			failed = time.Now()
			p.log.Warn().Str("dependency", "store").Str("call", what).Err(err).Msg("dependency-lost")
		}
		pause(ctx, storeRetryInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (p *Process) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		p.retry(ctx, "members", func() error {
			list, err := p.store.Members(ctx)
			if err != nil {
				return err
			}
			p.checkOwnRow(ctx, list)
			p.mesh.SetMembers(p.self, list)
			p.setMembers(list)
			pause(ctx, time.Duration(len(list))*pausePerMember)
			return nil
		})
	}
}

func (p *Process) setMembers(list []peer.Member) {
	members := make([]topology.Member, len(list))
	for i, m := range list {
		members[i] = m.Member
	}
	p.post(func(now Time) { p.node.SetMembers(now, members) })
}

// checkOwnRow compares this process's row with what it knows of itself.
//
// A write whose answer was lost may have been repeated, and then be carried out
// again: the row has a newer number than the process knows. Or the late write
// of an earlier lifetime on this VM has replaced the row: the others would
// close their connections with this process as with one that isn't registered.
func (p *Process) checkOwnRow(ctx context.Context, list []peer.Member) {
	for _, m := range list {
		if m.VM != p.cfg.Node || m.Number <= p.self.Number {
			continue
		}
		if m.Fingerprint == p.identity.Fingerprint() {
			p.registered(m, m.Number)
			continue
		}
		p.log.Warn().Uint64("number", m.Number).Msg("registration-replaced")
		p.register(ctx)
	}
}

func (p *Process) watchOperatorSettings(ctx context.Context) {
	for ctx.Err() == nil {
		p.retry(ctx, "configuration", func() error {
			o, err := p.store.OperatorSettings(ctx)
			if err != nil {
				return err
			}
			p.applyOperatorSettings(o)
			return nil
		})
	}
}

func (p *Process) applyOperatorSettings(o OperatorSettings) {
	if o.Declaration == nil {
		p.log.Warn().Msg("configuration-unreadable")
	}
	p.post(func(now Time) {
		p.node.Evacuated(now, o.Evacuations, "store")
		if o.Declaration != nil {
			p.node.Declared(now, o.Declaration, "store")
		}
	})
}

// watchLayout reads how the runners are divided, until that is known. Nobody connects
// before, so it doesn't wait for the registration or the list of runners.
func (p *Process) watchLayout(ctx context.Context) {
	for ctx.Err() == nil && !p.layoutKnown.Load() {
		p.retry(ctx, "layout", func() error { return p.readLayout(ctx, nil) })
		pause(ctx, layoutReadInterval)
	}
}

// watchRunners reads the list of runners, often while this process does so for others.
func (p *Process) watchRunners(ctx context.Context) {
	for ctx.Err() == nil {
		if p.receivesRunners.Load() && !p.awaitReadRequest(ctx, leaderReadInterval) {
			continue
		}
		p.retry(ctx, "runners", func() error {
			list, err := p.store.Runners(ctx)
			if err != nil {
				return err
			}
			p.post(func(now Time) { p.node.RunnersRead(now, list) })
			return p.proposeLayout(ctx, list.Runners)
		})
		p.awaitNextRead(ctx)
	}
}

// runnersSettleTime is how long no runner must have come to the list until it counts
// as whole: when a deployment first starts, its runners register one by one.
const runnersSettleTime = 2 * time.Second

// proposeLayout proposes how the runners are divided, when a deployment first starts and
// its list of runners is whole.
func (p *Process) proposeLayout(ctx context.Context, runners []workload.Runner) error {
	if p.layoutKnown.Load() {
		return nil
	}
	if len(runners) > p.maxRunnersSeen {
		p.maxRunnersSeen = len(runners)
		p.maxRunnersSeenAt = time.Now()
	}
	if len(runners) == 0 || time.Since(p.maxRunnersSeenAt) < runnersSettleTime {
		return nil
	}
	return p.readLayout(ctx, layout.For(runners, layout.VM{MilliCPU: p.cfg.MilliCPU, LinkMbps: p.cfg.LinkMbps}))
}

// readLayout reads the layout, and with a proposal sets it if nobody has.
func (p *Process) readLayout(ctx context.Context, proposal layout.Layout) error {
	l, err := p.store.Layout(ctx, proposal)
	if err != nil || len(l) == 0 {
		return err
	}
	recordsExist, err := p.store.HasRecords(ctx)
	if err != nil {
		return err
	}
	p.post(func(now Time) {
		p.node.StoreRead(now, recordsExist)
		p.node.Layout(now, l)
	})
	return nil
}

// awaitReadRequest waits, and reports whether the list is to be read at once.
func (p *Process) awaitReadRequest(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-p.readNow:
		return true
	case <-time.After(wait):
	}
	return false
}

// awaitNextRead waits for the next time to read the list of runners.
func (p *Process) awaitNextRead(ctx context.Context) {
	for waited := time.Duration(0); waited < followerReadInterval; waited += leaderReadInterval {
		if p.awaitReadRequest(ctx, leaderReadInterval) || ctx.Err() != nil || p.readRunnersOften.Load() || !p.layoutKnown.Load() {
			return
		}
	}
}

// requestRunnersRead has the list read now.
func (p *Process) requestRunnersRead() {
	p.readRunnersOften.Store(true)
	select {
	case p.readNow <- struct{}{}:
	default:
	}
}
