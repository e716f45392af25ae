// Package layout divides the runners of a deployment into shards. A shard is the part of the runners
// that one scheduler is in charge of.
//
// If each failure domain has enough runners for jobs on its own, the runners of a domain form
// shards of their own. The domain is then a cell: its schedulers, runners and callers are close to
// each other, and a network partition between domains changes no leader. Smaller domains are
// pooled: their runners are divided into shards regardless of the domain, because a job of many
// tasks doesn't fit on a few runners.
package layout

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/rendezvous"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// maxRunnersPerShard is the maximum number of runners of one scheduler. With a lower limit, a
	// shard would have too little room for jobs of 32 tasks. With a higher one, more runners would
	// be out of use whenever their scheduler is lost.
	maxRunnersPerShard = 60
	// runnersPerCore and runnersPerMbps are the runners that a VM can schedule for at full load,
	// per core and per Mbit/s of its link. They leave half of the CPU and of the link free for work
	// other than runner lists, lease renewals and starts. A VM that sends more than its link
	// carries appears lost. Its successor takes over the same load and appears lost in turn.
	runnersPerCore = 180
	runnersPerMbps = 10
	// minRunnersPerShard is the number of runners that a scheduler is in charge of however small its
	// VM is.
	minRunnersPerShard = 12
	// minCellRunners is the number of runners of each service that every failure domain must have
	// for the domains to be cells. Each cell then has two shards, so that the loss of a scheduler
	// leaves half of the domain's runners in use. A cell then has four times the usable room of a job
	// of 32 tasks that take half a runner each; jobs beyond the room of a cell are lent to other cells.
	minCellRunners = 80
)

// MaxShards is the maximum number of shards of a layout. Every process has a state for each of them.
const MaxShards = 4096

// Layout has the cell of each shard, by the shard's index: the name of a failure domain, or "" if
// the runners are pooled. It is set once for a deployment.
type Layout []string

// Pooled returns a layout with the given number of shards and without cells.
func Pooled(shards int) Layout { return make(Layout, shards) }

// VM is the capacity of each VM that schedules. A field that is 0 is unknown.
type VM struct {
	// MilliCPU is the CPU capacity, in thousandths of a core.
	MilliCPU int
	// LinkMbps is the bandwidth of the link, in Mbit/s.
	LinkMbps float64
}

// maxRunners is the number of runners that a scheduler on such a VM can be in charge of.
func (v VM) maxRunners() int {
	limit := maxRunnersPerShard
	if v.MilliCPU > 0 {
		limit = min(limit, v.MilliCPU*runnersPerCore/1000)
	}
	if v.LinkMbps > 0 {
		limit = min(limit, int(v.LinkMbps*runnersPerMbps))
	}
	return max(limit, minRunnersPerShard)
}

// For returns the layout for a list of runners and the VMs that schedule.
func For(runners []workload.Runner, vm VM) Layout {
	domains := make(map[string]int)
	services := make(map[string]map[string]int)
	for _, r := range runners {
		domains[r.Domain]++
		if services[r.Service] == nil {
			services[r.Service] = make(map[string]int)
		}
		services[r.Service][r.Domain]++
	}
	if len(domains) < 2 || domains[""] > 0 || !selfSufficient(domains, services) {
		return Pooled(shardCount(len(runners), vm))
	}
	var l Layout
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for range shardCount(domains[d], vm) {
			l = append(l, d)
		}
	}
	return l
}

// selfSufficient reports whether each failure domain has at least minCellRunners of each service.
// If a domain without runners of a service were a cell, it would refuse the callers of that
// service.
func selfSufficient(domains map[string]int, services map[string]map[string]int) bool {
	for d := range domains {
		for _, counts := range services {
			if counts[d] < minCellRunners {
				return false
			}
		}
	}
	return true
}

// shardCount is the number of shards for a number of runners.
func shardCount(runners int, vm VM) int {
	perShard := vm.maxRunners()
	return max(1, (runners+perShard-1)/perShard)
}

// HasCells reports whether the layout has cells. Without them all runners are pooled.
func (l Layout) HasCells() bool { return len(l) > 0 && l[0] != "" }

// Cells lists the cells, ordered by name.
func (l Layout) Cells() []string { return slices.Compact(slices.Sorted(slices.Values(l))) }

// Cell is the cell of a failure domain; "" if the layout has no cells. A domain without runners has
// no cell of its own and is assigned to that of another domain by its name.
func (l Layout) Cell(domain string) string {
	if !l.HasCells() {
		return ""
	}
	if slices.Contains(l, domain) {
		return domain
	}
	return rendezvous.Owner(l.Cells(), domain, 0)
}

// Shards lists the shards of a cell.
func (l Layout) Shards(cell string) []int {
	var list []int
	for i, c := range l {
		if c == cell {
			list = append(list, i)
		}
	}
	return list
}

// RunnerShard is the shard of a runner.
func (l Layout) RunnerShard(id workload.RunnerID, domain string) int {
	return l.shardByHash(string(id), l.Cell(domain))
}

// JobShard is the shard of a job that is submitted in a cell. It depends only on the job's ID and
// the cell, so that a copy of the job at another entry VM of the cell reaches the same scheduler.
func (l Layout) JobShard(id workload.JobID, cell string) int { return l.shardByHash(string(id), cell) }

// StoredJobShard is the shard of a stored job. It is the same wherever the job is submitted,
// since only the process that owns the shard's rows in the store has the job's state.
func (l Layout) StoredJobShard(id workload.JobID) int { return int(hash(string(id)) % uint64(len(l))) }

// shardByHash chooses a shard of a cell by the hash of a name.
func (l Layout) shardByHash(name, cell string) int {
	shards := l.Shards(cell)
	return shards[hash(name)%uint64(len(shards))]
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }
