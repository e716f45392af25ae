// Package layout divides the runners of a deployment among schedulers.
//
// A shard is the part of the runners that one scheduler takes care of. Where each
// failure domain has room for jobs by itself, its runners have shards of their
// own: the domain is a cell, whose schedulers, runners and callers are near each
// other, and a cut between domains changes no leader. Smaller domains are pooled,
// since a wide job finds no room in a few runners.
package layout

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/rendezvous"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// runnersPerShard is the most runners that one scheduler takes care of. Fewer would
	// leave too little room for jobs of 32 tasks, and more would be lost with it.
	runnersPerShard = 60
	// runnersPerCore and runnersPerMbps are what a VM can take care of at full load, by
	// its processor and its link, half of which must stay free for other things than
	// lists, renewals and starts. A VM that sends more than its link carries falls
	// silent, its successor takes over the same load and falls silent as well.
	runnersPerCore = 180
	runnersPerMbps = 10
	// runnersLeast is the least number in a shard, however small the VMs.
	runnersLeast = 12
	// cellRunners is the least number of a service's runners that a failure domain
	// needs to be a cell: three shards, so that the loss of a scheduler leaves two
	// thirds of the domain's room in use, and ten times the room of a job of 32
	// tasks.
	cellRunners = 3 * runnersPerShard
)

// Layout is how the runners are divided: the cell of each shard, by the shard's
// index. "" is the cell of pooled runners. It is set once for a deployment.
type Layout []string

// Pooled is a layout without cells.
func Pooled(shards int) Layout { return make(Layout, shards) }

// VM is what a VM that schedules has; 0 is unknown.
type VM struct {
	// MilliCPU is its processor, in thousandths of a core.
	MilliCPU int
	// LinkMbps is the bandwidth of its link, in Mbit a second.
	LinkMbps float64
}

// runnersMost is the number of runners that such a VM can take care of.
func (v VM) runnersMost() int {
	most := runnersPerShard
	if v.MilliCPU > 0 {
		most = min(most, v.MilliCPU*runnersPerCore/1000)
	}
	if v.LinkMbps > 0 {
		most = min(most, int(v.LinkMbps*runnersPerMbps))
	}
	return max(most, runnersLeast)
}

// For is the layout that suits a list of runners and the VMs that schedule.
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
	if len(domains) < 2 || domains[""] > 0 || !eachServes(domains, services) {
		return Pooled(shardsFor(len(runners), vm))
	}
	var l Layout
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for range shardsFor(domains[d], vm) {
			l = append(l, d)
		}
	}
	return l
}

// eachServes reports whether each failure domain has enough runners of each
// service. One that lacked a service would refuse the callers of that service.
func eachServes(domains map[string]int, services map[string]map[string]int) bool {
	for d := range domains {
		for _, counts := range services {
			if counts[d] < cellRunners {
				return false
			}
		}
	}
	return true
}

func shardsFor(runners int, vm VM) int {
	each := vm.runnersMost()
	return max(1, (runners+each-1)/each)
}

// HasCells reports whether there are cells.
func (l Layout) HasCells() bool { return len(l) > 0 && l[0] != "" }

// Cells lists the cells in the order of their names.
func (l Layout) Cells() []string { return slices.Compact(slices.Sorted(slices.Values(l))) }

// Cell is the cell of a failure domain. A domain without one, as it has no
// runners, belongs to that of another domain.
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
	return l.pick(string(id), l.Cell(domain))
}

// JobShard is the shard of a job that is handed in from a cell. It follows from the
// job's id, so that a copy of the job that another entry VM of the cell takes
// comes to the same scheduler.
func (l Layout) JobShard(id workload.JobID, cell string) int { return l.pick(string(id), cell) }

// StoredJobShard is the shard of a stored job. It is the same wherever the job comes
// from, since only the owner of the shard's rows may say what became of it.
func (l Layout) StoredJobShard(id workload.JobID) int { return int(hash(string(id)) % uint64(len(l))) }

func (l Layout) pick(name, cell string) int {
	shards := l.Shards(cell)
	return shards[hash(name)%uint64(len(shards))]
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }
