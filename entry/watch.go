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
	// storeRetryInterval is the pause after a failed call to the store. It is short
	// compared to the two seconds within which a change must be in force, and long
	// enough not to add load to a failing store.
	storeRetryInterval = 300 * time.Millisecond
	// leaderReadInterval is how often a leader reads the list of runners: a draining
	// runner must get no new tasks from 2 s after the list shows its state.
	// followerReadInterval is for other processes, which need the list if they become
	// leaders.
	leaderReadInterval   = 600 * time.Millisecond
	followerReadInterval = 6 * time.Second
	// layoutReadInterval is how often a process reads the layout until it is known.
	layoutReadInterval = 600 * time.Millisecond
	// pausePerMember, times the number of members, is the pause after a change of the
	// members. While a fleet starts, every registration is a change for all processes;
	// with this pause a large fleet makes as many calls a second as a small one.
	pausePerMember = 2 * time.Millisecond
)

// register publishes this process in the store and retries until that succeeds.
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

// registered adopts the id and number that the store has assigned to this process.
func (p *Process) registered(m peer.Member, number uint64) {
	m.Number = number
	m.ID = MemberID(m.VM, number)
	p.self = m
	p.post(func(now Time) { p.node.Registered(now, leader.ID(m.ID), number) })
}

// retry calls f until it succeeds or the context ends. It logs when the store becomes
// unavailable and when it is available again.
func (p *Process) retry(ctx context.Context, call string, f func() error) {
	failed := time.Time{}
	for ctx.Err() == nil {
		err := f()
		if err == nil {
			if !failed.IsZero() {
				p.log.Info().Str("dependency", "store").Str("call", call).Dur("lost-for", time.Since(failed)).Msg("dependency-regained")
			}
			return
		}
		p.metrics.storeFailures.WithLabelValues(call).Inc()
		p.post(func(now Time) { p.node.StoreFailed(now) })
		if failed.IsZero() && ctx.Err() == nil {
			failed = time.Now()
			p.log.Warn().Str("dependency", "store").Str("call", call).Err(err).Msg("dependency-lost")
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

// checkOwnRow compares this process's row in the store with its registration.
//
// A write whose answer was lost may have been repeated and applied twice; the row then
// has a higher number than this process knows. Or a late write of an earlier lifetime
// on this VM has replaced the row; the other processes would then close their
// connections to this one, as it isn't registered any more.
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
		p.node.ApplyEvacuations(now, o.Evacuations, "store")
		if o.Declaration != nil {
			p.node.ApplyDeclaration(now, o.Declaration, "store")
		}
	})
}

// watchLayout reads how the runners are divided into shards until that is known. No
// process connects to others before, so this waits neither for the registration nor
// for the list of runners.
func (p *Process) watchLayout(ctx context.Context) {
	for ctx.Err() == nil && !p.layoutKnown.Load() {
		p.retry(ctx, "layout", func() error { return p.readLayout(ctx, nil) })
		pause(ctx, layoutReadInterval)
	}
}

// watchRunners reads the list of runners, and often if this process reads it for others.
func (p *Process) watchRunners(ctx context.Context) {
	for ctx.Err() == nil {
		if p.receivesRunnerList.Load() && !p.awaitReadRequest(ctx, leaderReadInterval) {
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

// runnersSettleTime is how long the list of runners must not have grown until it counts
// as complete: when a deployment first starts, its runners register one by one.
const runnersSettleTime = 2 * time.Second

// proposeLayout proposes how to divide the runners into shards, when a deployment first
// starts and its list of runners is complete.
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

// readLayout reads the layout. If none is stored and there is a proposal, it stores that.
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
		p.node.StoredJobsRead(now, recordsExist)
		p.node.ApplyLayout(now, l)
	})
	return nil
}

// awaitReadRequest waits for at most the given time, and reports whether the list of
// runners is to be read at once.
func (p *Process) awaitReadRequest(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-p.readNow:
		return true
	case <-time.After(wait):
	}
	return false
}

// awaitNextRead waits until the list of runners is due to be read.
func (p *Process) awaitNextRead(ctx context.Context) {
	for waited := time.Duration(0); waited < followerReadInterval; waited += leaderReadInterval {
		if p.awaitReadRequest(ctx, leaderReadInterval) || ctx.Err() != nil || p.shouldPollRunners.Load() || !p.layoutKnown.Load() {
			return
		}
	}
}

// requestRunnersRead makes watchRunners read the list at once.
func (p *Process) requestRunnersRead() {
	p.shouldPollRunners.Store(true)
	select {
	case p.readNow <- struct{}{}:
	default:
	}
}
