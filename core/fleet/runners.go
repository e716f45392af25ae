package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// staleAfter is the age of the list at which the process that reads it for the cell
	// reports that it can't, and so requests the lists of other processes: two failed reads.
	staleAfter = 1500 * time.Millisecond
	// removedRetention is how long runners are remembered after they left the list: as
	// long as runs may be alive on them that must be reported to another scheduler; see
	// reportPossibleRuns.
	removedRetention = 3 * time.Second
	// membersTimeout is how long a process that has just started leaves the list of runners
	// unread until it knows the members, and by them whether its VM has a seat.
	membersTimeout = time.Second
)

// storeSource is the source, in log lines, of what was read from the store.
const storeSource = "store"

// removedRunner is a runner that has left the list.
type removedRunner struct {
	info workload.Runner
	at   Time
}

// RunnersRead handles a list that this process has read from the store.
func (n *Node) RunnersRead(now Time, list RunnerList) {
	n.listReadAt = now
	n.setListKnown()
	list.Runners = n.runnersOfCell(list.Runners)
	n.takeRunners(now, n.retainExpired(now, list), storeSource)
	for _, id := range n.peers() {
		if n.staleLeaders[id] {
			n.emit(Send{To: id, Message: n.runners})
		}
	}
}

// inCell reports whether a process belongs to the own cell.
func (n *Node) inCell(id leader.ID) bool { return n.view.Report(id).Cell == n.cell }

// One process of a cell reads the list frequently, and sends it to the others when its
// content changes: the leader of the cell's first shard. The rows change with every heartbeat
// of a runner; if all leaders read them, that would be most of their load on the store.

// readsForCell reports whether this process reads the list for its cell.
func (n *Node) readsForCell() bool { return len(n.own) > 0 && n.own[0].leading() }

// ShouldPollRunners reports whether this process should read the list frequently: for its
// cell, or in place of a process that reads it for the cell and can't at present.
func (n *Node) ShouldPollRunners() bool { return n.readsForCell() || len(n.staleLeaders) > 0 }

// ReceivesRunnerList reports whether this process needn't read the list, because it gets the list
// from another process or doesn't need it yet:
//
//	a VM without a seat   | never reads it; it doesn't schedule
//	a VM with a seat      | reads it unless the process that reads it for the cell is reachable
//	seats not known yet   | waits for the members, for membersTimeout at most
//	layout not known yet  | each large VM reads it, since it may get a seat
//
// If all processes of a fleet read the list as power returns, it would go over the link of each VM
// while connections are made, and the store would send it as often as there are VMs.
func (n *Node) ReceivesRunnerList() bool {
	switch {
	case n.fleet == nil:
		return n.lastTick-n.startedAt < membersTimeout
	case len(n.staleLeaders) > 0:
		return false
	case !n.LayoutKnown():
		return !n.fleet.IsLarge(n.member)
	case !n.seated:
		return !n.Leads()
	}
	c := n.own[0].choice
	return len(n.own) > 1 && c.Reachable && c.Leader != n.Self()
}

func (n *Node) askForRunners() { n.emit(ReadRunners{}) }

// requestFirstList requests the list as soon as it is clear that this process has to read it.
func (n *Node) requestFirstList() {
	if n.listKnown || n.firstListRequested || n.ReceivesRunnerList() {
		return
	}
	n.firstListRequested = true
	n.askForRunners()
}

// checkRunners updates whether the list is stale, i.e. can't be read at present.
func (n *Node) checkRunners(now Time) {
	n.listStale = n.readsForCell() && now-n.listReadAt > staleAfter
}

// setListKnown records that a list of runners is known, which scheduling requires.
func (n *Node) setListKnown() {
	if !n.listKnown {
		n.listKnown = true
		n.updateAble()
	}
}

// runnersOfCell selects the runners of the own cell. It returns all runners if they are pooled,
// and until the layout is known, since each may belong to the cell.
func (n *Node) runnersOfCell(list []workload.Runner) []workload.Runner {
	if !n.layout.HasCells() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(r workload.Runner) bool { return n.layout.Cell(r.Domain) != n.cell })
}

// takeRunners applies a list if it is newer than the known one. The process that has read it from
// the store sends it on. Other leaders don't, except to a process whose heartbeat shows that it
// lacks the list (updateRunners). Otherwise each process would receive it once from every leader.
func (n *Node) takeRunners(now Time, list RunnerList, source string) {
	if list.Revision <= n.runners.Revision {
		return
	}
	n.setListKnown()
	digest := digestOf(list.Runners)
	changed := digest != n.digest
	if changed {
		n.notice("runners-listed", Field{"runners", len(list.Runners)}, Field{"lapsed", len(n.expiredSince)}, Field{"before", len(n.runners.Runners)},
			Field{"revision", list.Revision}, Field{"source", source})
	}
	n.recordRemoved(now, list)
	n.runners = list
	n.digest = digest
	n.setRunners(now)
	if changed && n.Leads() && source == storeSource {
		for _, id := range n.peers() {
			if n.inCell(id) {
				n.sendRunners(id)
			}
		}
	}
}

// updateRunners sends the list to a process whose own list, as its heartbeat reports, is older
// and has other content. That process needs it when it becomes the leader, and when it passes
// jobs to another scheduler.
//
// Sending each change when it is read isn't enough: a process that reads of a new runner
// and becomes the leader only a moment later has sent it to nobody. If that process is then
// lost, its successor doesn't query the new runner, and starts tasks again that run there.
func (n *Node) updateRunners(id leader.ID, h Heartbeat) {
	if n.Leads() && n.inCell(id) && h.RunnersDigest != n.digest && h.RunnersRevision < n.runners.Revision {
		n.sendRunners(id)
	}
}

// sendRunners sends the list to a process, unless a list of the same content was the last that
// was sent to it on the current connection.
func (n *Node) sendRunners(id leader.ID) {
	if n.sentDigest[id] == n.digest {
		return
	}
	n.sentDigest[id] = n.digest
	n.emit(Send{To: id, Message: n.runners})
}

// digestOf is equal for lists with the same runners in the same states, with the same capacities and labels and at the same
// addresses.
func digestOf(list []workload.Runner) uint64 {
	h := xxhash.New()
	for _, r := range list {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(h, "%s %s %s %q %t %t %d %v\n", r.ID, r.Service, r.Address, r.Labels, r.Draining, r.EntryExpired, r.IncarnationStart, r.Capacity)
	}
	return h.Sum64()
}

// recordRemoved records which of the present runners a new list lacks; see removedRetention.
func (n *Node) recordRemoved(now Time, list RunnerList) {
	listed := make(map[workload.RunnerID]bool, len(list.Runners))
	for _, r := range list.Runners {
		listed[r.ID] = true
	}
	n.removedRunners = slices.DeleteFunc(n.removedRunners, func(d removedRunner) bool {
		return now-d.at >= removedRetention || listed[d.info.ID]
	})
	for _, r := range n.runners.Runners {
		if !listed[r.ID] {
			n.removedRunners = append(n.removedRunners, removedRunner{info: r, at: now})
		}
	}
}

// reportPossibleRuns reports to the new leader of a shard, which may be this process, on which
// runners the previous one may have started the jobs that this process is about to hand in
// again.
func (n *Node) reportPossibleRuns(now Time, s *shard) {
	if s.choice.Leader == n.Self() {
		s.schedule.AddUnlistedRunners(now, n.recentRunners(s))
		return
	}
	n.sendPossibleRunners(s)
}

// sendPossibleRunners sends to a shard's leader the runners on which the shard's jobs may run.
func (n *Node) sendPossibleRunners(s *shard) {
	n.sendHandover(s.choice.Leader, n.recentRunners(s), false)
}

// recentRunners lists a shard's runners, including those that left the list recently.
func (n *Node) recentRunners(s *shard) []workload.Runner {
	all := slices.Clone(n.runners.Runners)
	for _, d := range n.removedRunners {
		all = append(all, d.info)
	}
	return n.runnersOfShard(s, all)
}

// addUnlistedRunners passes the runners of a handover to the schedulers of their shards.
func (n *Node) addUnlistedRunners(now Time, list []workload.Runner) {
	for _, s := range n.own {
		if own := n.runnersOfShard(s, list); len(own) > 0 {
			s.schedule.AddUnlistedRunners(now, own)
		}
	}
}
