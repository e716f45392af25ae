package entry

import (
	"context"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

const (
	// storeRetryInterval is the pause after a failed call to the store. It is short
	// compared to the two seconds within which a change in the store, such as a new
	// configuration, must be in force, and long enough not to add load to a failing
	// store.
	storeRetryInterval = 300 * time.Millisecond
	// runnersPollInterval is how often the list of runners is read by a process that
	// must see its changes soon, see fleet.Node.ShouldPollRunners: a draining runner must
	// get no new tasks from 2 s after the list shows its state. All other processes check
	// at the same interval whether they now have to read the list.
	runnersPollInterval = 600 * time.Millisecond
	// runnersRefreshInterval is how often the list is read by a process that neither
	// polls it nor receives it from another process. It needs the list if it becomes a
	// leader.
	runnersRefreshInterval = 6 * time.Second
	// layoutReadInterval is how often a process reads the layout until it is known.
	layoutReadInterval = 600 * time.Millisecond
	// pausePerMember, times the number of members, is the pause after a change of the
	// members. While a fleet starts, every registration is a change that all processes
	// read. With this pause the processes of a fleet of any size together begin at most
	// one read per pausePerMember, so a large fleet makes as many calls a second as a
	// small one.
	pausePerMember = 2 * time.Millisecond
	// minMembersPause and urgentPausePerMember give the shorter pause of a process to which one
	// that it doesn't know tries to connect, such as one that has restarted: until it has read the
	// members again, it refuses the other, which may be the scheduler of its jobs.
	minMembersPause      = 50 * time.Millisecond
	urgentPausePerMember = 250 * time.Microsecond
)

// register publishes this process in the store and retries until that succeeds. The store
// assigns the process number: the version of the process's row, which is higher than the
// numbers of all earlier registrations. Each write of the row, also a repeated one, gives
// it a new number.
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
	p.setRegistration(m, number)
}

// setRegistration sets this process's number and the id derived from it, also in the node.
func (p *Process) setRegistration(m peer.Member, number uint64) {
	m.Number = number
	m.ID = MemberID(m.VM, number)
	p.self = m
	p.post(func(now Time) { p.node.Registered(now, leader.ID(m.ID), number) })
}

// retry calls f until it succeeds or the context ends, and reports each failure to the
// node. It logs the first failure, and the success after failures. call names the
// operation in the log and in the metrics.
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

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchMembers passes the list of registered processes to the mesh and the node, once at
// the start and after each change. Store.Members blocks until there is a change.
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
			p.pauseMembers(ctx, len(list))
			return nil
		})
	}
}

// pauseMembers pauses between two reads of the members.
func (p *Process) pauseMembers(ctx context.Context, members int) {
	usual := time.Duration(members) * pausePerMember
	urgent := max(minMembersPause, time.Duration(members)*urgentPausePerMember)
	pause(ctx, min(usual, urgent))
	select {
	case <-ctx.Done():
	case <-p.unknownPeer:
	case <-time.After(usual - urgent):
	}
}

// setMembers passes the members to the node, without their addresses and fingerprints.
func (p *Process) setMembers(list []peer.Member) {
	members := make([]topology.Member, len(list))
	for i, m := range list {
		members[i] = m.Member
	}
	p.post(func(now Time) { p.node.SetMembers(now, members) })
}

// checkOwnRow compares this process's row in the store with its registration.
//
// Without a row that the list shows, all others would close their connections with this process: another
// writer has removed the row or made it unreadable. The process registers again, after a pause since that
// may happen again at once.
//
// A row with a higher number has been written since, in one of two ways:
//
// A write of this process whose answer was lost was repeated, and the store has applied
// both. The row has this process's fingerprint, and the process takes over its number.
//
// A late write of an earlier incarnation on this VM has replaced the row. Neither the id nor
// the fingerprint of this process is in the list any more, and the other processes would
// close their connections to it, so it registers again.
func (p *Process) checkOwnRow(ctx context.Context, list []peer.Member) {
	if !slices.ContainsFunc(list, func(m peer.Member) bool { return m.VM == p.cfg.Node }) {
		p.log.Warn().Uint64("number", p.self.Number).Int("members", len(list)).Msg("registration-lost")
		pause(ctx, storeRetryInterval)
		p.register(ctx)
		return
	}
	for _, m := range list {
		if m.VM != p.cfg.Node || m.Number <= p.self.Number {
			continue
		}
		if m.Fingerprint == p.identity.Fingerprint() {
			p.setRegistration(m, m.Number)
			continue
		}
		p.log.Warn().Uint64("number", m.Number).Msg("registration-replaced")
		p.register(ctx)
	}
}

// watchLayout reads the layout, i.e. how the runners are divided into shards, until it is
// known. A process connects to no others before it knows the layout; watchLayout
// therefore waits neither for the registration nor for the list of runners.
func (p *Process) watchLayout(ctx context.Context) {
	for ctx.Err() == nil && !p.layoutKnown.Load() {
		p.retry(ctx, "layout", func() error { return p.readLayout(ctx, nil) })
		pause(ctx, layoutReadInterval)
	}
}

// watchRunners reads the list of runners: at runnersPollInterval if this process polls it,
// and otherwise at runnersRefreshInterval. While another process sends the list to this
// one, it is read only on request.
func (p *Process) watchRunners(ctx context.Context) {
	for ctx.Err() == nil {
		if p.receivesRunnerList.Load() && !p.awaitReadRequest(ctx, runnersPollInterval) {
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

// proposeLayout proposes a layout for the runners while none is known, as when a
// deployment first starts, and the list of runners is complete.
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
// It passes the layout to the node, and also whether the deployment has stored jobs, i.e.
// whether any shard has records in the store.
func (p *Process) readLayout(ctx context.Context, proposal layout.Layout) error {
	l, err := p.store.Layout(ctx, proposal)
	if err != nil || len(l) == 0 {
		return err
	}
	stored, err := p.readStoredJobs(ctx)
	if err != nil {
		return err
	}
	p.post(func(now Time) {
		p.node.StoredJobsRead(now, stored)
		p.node.ApplyLayout(now, l)
	})
	return nil
}

// awaitReadRequest waits for at most the given time for a request to read the list of
// runners at once, and reports whether there was one.
func (p *Process) awaitReadRequest(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-p.readNow:
		return true
	case <-time.After(wait):
	}
	return false
}

// awaitNextRead waits until the list of runners is due to be read: after
// runnersRefreshInterval; after one runnersPollInterval if this process polls the list or
// the layout isn't known yet; or at once on request.
func (p *Process) awaitNextRead(ctx context.Context) {
	for waited := time.Duration(0); waited < runnersRefreshInterval; waited += runnersPollInterval {
		if p.awaitReadRequest(ctx, runnersPollInterval) || ctx.Err() != nil || p.shouldPollRunners.Load() || !p.layoutKnown.Load() {
			return
		}
	}
}

// requestRunnersRead makes watchRunners read the list at once. It also sets
// shouldPollRunners, which publish overwrites at the next tick.
func (p *Process) requestRunnersRead() {
	p.shouldPollRunners.Store(true)
	select {
	case p.readNow <- struct{}{}:
	default:
	}
}
