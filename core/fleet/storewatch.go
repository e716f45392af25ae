package fleet

import "time"

// A leader that needs the store and can't reach it can neither accept stored jobs nor
// acknowledge their ends, while another process may reach the store. It asks the others to
// probe the store, and gives up the lead if one of them succeeds. If none does, it stays the
// leader because it holds the jobs in memory, and a successor couldn't even read them.

const (
	// storeLostAfter is how long all calls of a leader to the store must have failed until
	// it asks the others: a few attempts, and longer than a slow answer takes.
	storeLostAfter = 500 * time.Millisecond
	// probeInterval is how often a process probes the store while it is asked to, and
	// probeFresh the age up to which its last success counts as reaching the store.
	probeInterval = 300 * time.Millisecond
	probeFresh    = time.Second
)

// storeWatch is the state of this process's probes of the store.
type storeWatch struct {
	// probing: a probe is in flight. probedAt is when the last one began, and reachedAt when
	// one last succeeded.
	probing   bool
	probedAt  Time
	reachedAt Time
	// failed: the last probe failed.
	failed bool
	// lost: this process reports that it can't reach the store and that another one
	// should lead.
	lost bool
}

// ProbeStore requests a call to the store. Its result is passed to StoreProbed.
type ProbeStore struct{}

func (ProbeStore) command() {}

// StoreProbed handles the result of a ProbeStore.
func (n *Node) StoreProbed(now Time, reached bool) {
	n.store.probing = false
	n.store.failed = !reached
	if reached {
		n.store.reachedAt = now
	}
}

// watchStore asks other processes for probes of the store, by the field StoreTrouble of its
// reports, probes it when asked, and gives up the lead to a process that reaches the store.
func (n *Node) watchStore(now Time) {
	trouble := n.storeTrouble(now)
	asked := trouble
	helper := false
	for id := range n.connected {
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

// storeTrouble reports whether this process leads a shard whose stored jobs are blocked
// because the store is unreachable.
func (n *Node) storeTrouble(now Time) bool {
	for _, s := range n.own {
		if s.schedule.Leading() && s.schedule.NeedsStore() && s.ledger.FailingFor(now) > storeLostAfter {
			return true
		}
	}
	return false
}
