package entry

import (
	"context"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

const (
	// storeRetry is the pause after a failed call to the store: short against
	// the two seconds in which a change must be in force, long enough not to
	// press a store in trouble.
	storeRetry = 300 * time.Millisecond
	// runnersFast is how often the leader reads the list of runners: a runner
	// that drains must get nothing new 2 s after the list says so. runnersSlow
	// is for the others, which need the list when they come to lead.
	runnersFast = 600 * time.Millisecond
	runnersSlow = 6 * time.Second
	// runnersStaleAfter is the age at which the leader asks the others for
	// their list: two failed reads.
	runnersStaleAfter = 1500 * time.Millisecond
)

// register publishes this process in the store until that has succeeded.
func (p *Process) register(ctx context.Context) {
	m := peer.Member{Node: p.cfg.Node, Address: p.mesh.Address(), Fingerprint: p.identity.Fingerprint()}
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
	m.ID = MemberID(m.Node, number)
	done := make(chan struct{})
	p.post(func() {
		p.self = m
		p.log.Info().Str("id", m.ID).Uint64("number", number).Msg("process-registered")
		p.view.Register(p.clock.now(), leader.ID(m.ID), number)
		p.view.SetAble(p.table.Current() != nil)
		p.schedule.SetNumber(number)
		close(done)
	})
	<-done
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
		if failed.IsZero() && ctx.Err() == nil {
			failed = time.Now()
			p.log.Warn().Str("dependency", "store").Str("call", what).Err(err).Msg("dependency-lost")
		}
		pause(ctx, storeRetry)
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
			return nil
		})
	}
}

// checkOwnRow compares this process's row with what it knows of itself.
//
// A write whose answer was lost may have been repeated, and then be carried out
// again: the row has a newer number than the process knows. Or the late write
// of an earlier lifetime on this VM has replaced the row: the others would
// close their connections with this process as with one that isn't registered.
func (p *Process) checkOwnRow(ctx context.Context, list []peer.Member) {
	for _, m := range list {
		if m.Node != p.cfg.Node || m.Number <= p.self.Number {
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

func (p *Process) watchDeclarations(ctx context.Context) {
	for ctx.Err() == nil {
		p.retry(ctx, "configuration", func() error {
			d, err := p.store.Declaration(ctx)
			if err != nil {
				return err
			}
			p.declareRead(d)
			return nil
		})
	}
}

func (p *Process) declareRead(d *routing.Declaration) {
	if d == nil {
		p.log.Warn().Msg("configuration-unreadable")
		return
	}
	p.post(func() { p.declare(d, "store") })
}

// watchRunners reads the list of runners, often while this process leads.
func (p *Process) watchRunners(ctx context.Context) {
	for ctx.Err() == nil {
		p.retry(ctx, "runners", func() error {
			list, err := p.store.Runners(ctx)
			if err != nil {
				return err
			}
			p.post(func() { p.readRunners(list) })
			return nil
		})
		p.awaitRead(ctx)
	}
}

// awaitRead waits for the next time to read the list of runners.
func (p *Process) awaitRead(ctx context.Context) {
	for waited := time.Duration(0); waited < runnersSlow; waited += runnersFast {
		select {
		case <-ctx.Done():
			return
		case <-p.readNow:
			return
		case <-time.After(runnersFast):
			if p.readFast.Load() {
				return
			}
		}
	}
}

// askForRunners has the list read now.
func (p *Process) askForRunners() {
	p.readFast.Store(true)
	select {
	case p.readNow <- struct{}{}:
	default:
	}
}

func (p *Process) readRunners(list RunnerList) {
	now := p.clock.now()
	p.runnersAt = now
	p.takeRunners(now, list, "store")
	if p.peerStale && p.choice.Leader != p.view.Self() {
		p.send(p.choice.Leader, runnersMessage(p.runnerList, false))
	}
}

// takeRunners takes a list if it is newer than the one known.
func (p *Process) takeRunners(now Time, list RunnerList, source string) {
	if list.Revision <= p.runnerList.Revision {
		return
	}
	changed := !sameRunners(list.Runners, p.runnerList.Runners)
	if changed {
		p.log.Info().Int("runners", len(list.Runners)).Int("before", len(p.runnerList.Runners)).
			Uint64("revision", list.Revision).Str("source", source).Msg("runners-listed")
	}
	p.keepDropped(now, list)
	p.runnerList = list
	p.schedule.SetRunners(now, list.Runners)
	if changed && p.schedule.Leading() {
		// The others need it when they come to lead, and when they hand jobs
		// to another scheduler.
		for id := range p.linked {
			p.send(id, runnersMessage(list, false))
		}
	}
}

// droppedRunner is a runner that has left the list.
type droppedRunner struct {
	info workload.Runner
	at   Time
}

// droppedKeep is how long runners are remembered that have left the list: as
// long as runs may be alive on them that another scheduler has to know of.
const droppedKeep = 3 * time.Second

func (p *Process) keepDropped(now Time, list RunnerList) {
	listed := make(map[workload.RunnerID]bool, len(list.Runners))
	for _, r := range list.Runners {
		listed[r.ID] = true
	}
	kept := p.dropped[:0]
	for _, d := range p.dropped {
		if now-d.at < droppedKeep && !listed[d.info.ID] {
			kept = append(kept, d)
		}
	}
	for _, r := range p.runnerList.Runners {
		if !listed[r.ID] {
			kept = append(kept, droppedRunner{info: r, at: now})
		}
	}
	p.dropped = kept
}

// sameRunners reports whether two lists, both in the order of ids, have the
// same runners in the same states.
func sameRunners(a, b []workload.Runner) bool {
	return slices.EqualFunc(a, b, func(x, y workload.Runner) bool {
		return x.ID == y.ID && x.Draining == y.Draining && x.Service == y.Service
	})
}

// checkRunners notes whether the list can't be read at present.
func (p *Process) checkRunners(now Time) {
	p.runnersStale = p.schedule.Leading() && now-p.runnersAt > runnersStaleAfter
	if p.schedule.Leading() {
		p.readFast.Store(true)
	} else {
		p.readFast.Store(p.peerStale)
	}
}
