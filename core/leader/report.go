package leader

import (
	"slices"
	"time"
)

// Report is what a process says of itself in a heartbeat.
type Report struct {
	// Number is given out in the order of registration; 0 if not registered.
	Number uint64
	// Able: it may lead.
	Able bool
	// Standby: it could lead, and leaves that to VMs that are better placed.
	Standby  bool
	Stopping bool
	// Cell is the part of the deployment whose shards it may lead; "" if the
	// runners are pooled.
	Cell string
	// Demotions counts the times that the process was frozen while it led.
	Demotions uint32
	// Starvations counts the times that it gave up the lead since its VM was slow.
	Starvations uint32
	// StoreTrouble: it leads, and needs the store and can't reach it.
	StoreTrouble bool
	// StoreReached: it was asked whether it reaches the store, and does.
	StoreReached bool
	// StoreLost: it was asked, and doesn't.
	StoreLost bool
	// Term is the highest term of a scheduler that it knows.
	Term uint64
	// MilliCPU is the processor that it has, in thousandths of a core.
	MilliCPU int
	// Shards is the number of shards that it knows of; 0 if it doesn't.
	Shards int
	// Follows is whom it follows, by shard.
	Follows []Follow
}

// Follow is the leader of a shard, as a process has heard it Age before.
type Follow struct {
	Leader ID
	Age    time.Duration
}

// Leader is whom the process follows in a shard; "" if nobody.
func (r *Report) Leader(shard int) ID {
	if shard >= len(r.Follows) {
		return ""
	}
	return r.Follows[shard].Leader
}

// leads reports whether a process says that it leads a shard.
func (r *Report) leads(id ID) bool {
	return slices.ContainsFunc(r.Follows, func(f Follow) bool { return f.Leader == id })
}

// compareClass compares two processes by what counts before age; less than 0 if a
// comes first: those that aren't about to end, then those that reach the store,
// then those that were never frozen, then those with twice the processor or more,
// then those that were never slow: a large VM that was is still better than a small
// one.
func compareClass(a, b *Report) int {
	switch {
	case a.Stopping != b.Stopping:
		return ahead(b.Stopping)
	case a.StoreLost != b.StoreLost:
		return ahead(b.StoreLost)
	case a.Demotions != b.Demotions:
		return ahead(a.Demotions < b.Demotions)
	case a.MilliCPU >= 2*b.MilliCPU && b.MilliCPU > 0:
		return -1
	case b.MilliCPU >= 2*a.MilliCPU && a.MilliCPU > 0:
		return 1
	case a.Starvations != b.Starvations:
		return ahead(a.Starvations < b.Starvations)
	}
	return 0
}

// ahead is -1 if it is true that x comes first, else 1.
func ahead(x bool) int {
	if x {
		return -1
	}
	return 1
}
