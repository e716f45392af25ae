package leader

import (
	"slices"
	"time"
)

// Report is the state that a process reports of itself in a heartbeat.
type Report struct {
	// Number is assigned in the order of registration, so that a lower one means an older
	// process; 0 if not registered. A process without a number can't lead.
	Number uint64
	// Able: the process may lead.
	Able bool
	// Standby: it could lead, but leaves that to better placed VMs.
	Standby bool
	// Stopping: it is about to end.
	Stopping bool
	// Cell is the part of the deployment whose shards it may lead; "" if the
	// runners are pooled.
	Cell string
	// Demotions counts the times that the process was frozen while it led, or gave up the
	// lead to a process that reaches the store.
	Demotions uint32
	// Starvations counts the times that it gave up the lead because of CPU starvation.
	Starvations uint32
	// StoreTrouble, StoreReached and StoreLost are explained at View.SetStoreStatus and
	// View.SetStoreLost.
	StoreTrouble bool
	StoreReached bool
	StoreLost    bool
	// Term is the highest scheduler term that it knows.
	Term uint64
	// MilliCPU is the CPU capacity of its VM, in thousandths of a core.
	MilliCPU int
	// Shards is the number of shards in its layout; 0 if it knows none.
	Shards int
	// Follows is the leader that it follows in each shard: itself in the shards that it
	// leads, and "" in shards of other cells.
	Follows []Follow
}

// Follow is the leader of a shard, and the time since the reporting process last received a
// message from it.
type Follow struct {
	Leader ID
	Age    time.Duration
}

// Leader is the leader that the process follows in a shard; "" if none.
func (r *Report) Leader(shard int) ID {
	if shard >= len(r.Follows) {
		return ""
	}
	return r.Follows[shard].Leader
}

// leads reports whether the process, whose ID is id, reports that it leads any shard.
func (r *Report) leads(id ID) bool {
	return slices.ContainsFunc(r.Follows, func(f Follow) bool { return f.Leader == id })
}

// compareClass compares two processes by the criteria that precede age; it is negative if a
// precedes b. In order of weight: not about to end, reaches the store, fewer demotions, at
// least twice the CPU, fewer CPU starvations. A large VM that starved is still preferred to
// a small one.
func compareClass(a, b *Report) int {
	switch {
	case a.Stopping != b.Stopping:
		return firstIf(b.Stopping)
	case a.StoreLost != b.StoreLost:
		return firstIf(b.StoreLost)
	case a.Demotions != b.Demotions:
		return firstIf(a.Demotions < b.Demotions)
	case a.MilliCPU >= 2*b.MilliCPU && b.MilliCPU > 0:
		return -1
	case b.MilliCPU >= 2*a.MilliCPU && a.MilliCPU > 0:
		return 1
	case a.Starvations != b.Starvations:
		return firstIf(a.Starvations < b.Starvations)
	}
	return 0
}

// firstIf is -1 if the first of two compared values precedes, else 1.
func firstIf(x bool) int {
	if x {
		return -1
	}
	return 1
}
