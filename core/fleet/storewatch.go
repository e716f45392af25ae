package fleet

import "time"

// A leader that needs the store and is turned away by it can't accept jobs, nor
// acknowledge what has ended, while another process may reach it. So it asks the
// others, and gives up the lead if one does. If none does, the lead stays where
// the jobs are known: another one couldn't even read them.

const (
	// storeLostAfter is how long all calls of a leader to the store must have
	// failed until it asks: a few tries, and more than a slow answer takes.
	storeLostAfter = 500 * time.Millisecond
	// probeInterval is how often a process tries to reach the store while it is
	// asked to, and probeFresh how old the last success may be.
	probeInterval = 300 * time.Millisecond
	probeFresh    = time.Second
)

// storeWatch is what a process knows of its own way to the store.
type storeWatch struct {
	probing   bool
	probedAt  Time
	reachedAt Time
	// failed: the last probe has failed.
	failed bool
	// lost: this process says that another one should lead.
	lost bool
}

// ProbeStore asks for a call to the store. Its result is given to StoreProbed.
type ProbeStore struct{}

func (ProbeStore) command() {}

// StoreProbed takes what came of a ProbeStore.
func (n *Node) StoreProbed(now Time, reached bool) {
	n.store.probing = false
	n.store.failed = !reached
	if reached {
		n.store.reachedAt = now
	}
}

// watchStore asks, probes, and gives up the lead to a process that reaches the
// store.
func (n *Node) watchStore(now Time) {
	trouble := n.storeTrouble(now)
	asked := trouble
	helper := false
	for id := range n.linked {
		r := n.view.Report(id)
		if r.Cell != n.cell {
			continue
		}
		asked = asked || r.StoreTrouble
		helper = helper || r.StoreReached && r.Able && !r.Stopping
	}
	if asked && !n.store.probing && now-n.store.probedAt >= probeInterval {
		n.store.probing, n.store.probedAt = true, now
		n.emit(ProbeStore{})
	}
	n.view.SetStoreStatus(trouble, asked && n.store.reachedAt > 0 && now-n.store.reachedAt <= probeFresh)
	switch {
	case !n.store.failed:
		n.store.lost = false
	case trouble && helper && !n.store.lost:
		n.warn("lead-given-up", Field{"reason", "another process reaches the store"})
		n.view.Demote()
		n.store.lost = true
	case asked && !trouble:
		n.store.lost = true
	}
	n.view.SetStoreLost(n.store.lost)
}

// storeTrouble reports whether this process leads a shard whose stored jobs wait
// for the store.
func (n *Node) storeTrouble(now Time) bool {
	for _, s := range n.own {
		if s.schedule.Leading() && s.schedule.NeedsStore() && s.ledger.FailingFor(now) > storeLostAfter {
			return true
		}
	}
	return false
}
