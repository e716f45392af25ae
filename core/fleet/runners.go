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
	// staleAfter is the age of the list at which the leader asks the others for
	// theirs: two failed reads.
	staleAfter = 1500 * time.Millisecond
	// droppedKeep is how long runners are remembered that have left the list:
	// as long as runs may be alive on them that another scheduler has to know.
	droppedKeep = 3 * time.Second
)

// droppedRunner is a runner that has left the list.
type droppedRunner struct {
	info workload.Runner
	at   Time
}

// RunnersRead takes the list as this process has read it.
func (n *Node) RunnersRead(now Time, list RunnerList) {
	n.readAt = now
	n.knowList()
	list.Runners = n.ofCell(list.Runners)
	n.takeRunners(now, n.keepLapsed(now, list), "store")
	for _, id := range n.peers() {
		if n.askedFor[id] {
			n.emit(Send{To: id, Message: n.runners})
		}
	}
}

// inCell reports whether a process belongs to the own cell.
func (n *Node) inCell(id leader.ID) bool { return n.view.Report(id).Cell == n.cell }

// One process of a cell reads the list often, and tells the others when it says
// something else: the rows change with each sign of life of a runner, and if all
// leaders read them, that would be most of what they take from the store.

// reads reports whether this process is that one: it leads the cell's first shard.
func (n *Node) reads() bool { return len(n.own) > 0 && n.own[0].leading() }

// ShouldPollRunners reports whether the list should be read often here: for the cell, or for
// a process that should and can't.
func (n *Node) ShouldPollRunners() bool { return n.reads() || len(n.askedFor) > 0 }

// ReceivesRunnerList reports whether this process needn't read the list, since the one that
// reads it for the cell is in reach. Before anybody can lead the VMs with seats read.
func (n *Node) ReceivesRunnerList() bool {
	if !n.LayoutKnown() {
		return !n.seated
	}
	c := n.own[0].choice
	several := len(n.own) > 1 || !n.seated
	return several && c.Reachable && c.Leader != n.Self() && len(n.askedFor) == 0
}

func (n *Node) askForRunners() { n.emit(ReadRunners{}) }

// checkRunners notes whether the list can't be read at present.
func (n *Node) checkRunners(now Time) {
	n.stale = n.reads() && now-n.readAt > staleAfter
}

func (n *Node) knowList() {
	if !n.listKnown {
		n.listKnown = true
		n.setAble()
	}
}

// ofCell picks the runners of the own cell. Those of others are none of this
// process's business; before the layout is known all may be.
func (n *Node) ofCell(list []workload.Runner) []workload.Runner {
	if !n.layout.HasCells() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(r workload.Runner) bool { return n.layout.Cell(r.Domain) != n.cell })
}

// takeRunners takes a list if it is newer than the one known.
func (n *Node) takeRunners(now Time, list RunnerList, source string) {
	if list.Revision <= n.runners.Revision {
		return
	}
	n.knowList()
	digest := digestOf(list.Runners)
	changed := digest != n.digest
	if changed {
		n.notice("runners-listed", Field{"runners", len(list.Runners)}, Field{"lapsed", len(n.lapsedSince)}, Field{"before", len(n.runners.Runners)},
			Field{"revision", list.Revision}, Field{"source", source})
	}
	n.keepDropped(now, list)
	n.runners = list
	n.digest = digest
	n.setRunners(now)
	if changed && n.Leads() {
		for _, id := range n.peers() {
			if n.inCell(id) {
				n.sendRunners(id)
			}
		}
	}
}

// updateRunners tells a process the list if its own is older and says something
// else. It needs the list when it comes to lead, and when it hands jobs to
// another scheduler.
//
// Telling each change when it is read isn't enough: whoever reads of a new runner
// and leads only a moment later has told nobody. If it is lost then, its
// successor doesn't look at that runner, and starts tasks again that run there.
func (n *Node) updateRunners(id leader.ID, h Heartbeat) {
	if n.Leads() && n.inCell(id) && h.RunnersDigest != n.digest && h.RunnersRevision < n.runners.Revision {
		n.sendRunners(id)
	}
}

// sendRunners tells a process the list, unless it has just been told the same.
func (n *Node) sendRunners(id leader.ID) {
	if n.listSent[id] == n.digest {
		return
	}
	n.listSent[id] = n.digest
	n.emit(Send{To: id, Message: n.runners})
}

// digestOf is the same for lists with the same runners in the same states and with the
// same room.
func digestOf(list []workload.Runner) uint64 {
	h := xxhash.New()
	for _, r := range list {
		// A hash takes all writes.
		_, _ = fmt.Fprintf(h, "%s %s %t %t %d %v\n", r.ID, r.Service, r.Draining, r.Lapsed, r.Born, r.Capacity)
	}
	return h.Sum64()
}

func (n *Node) keepDropped(now Time, list RunnerList) {
	listed := make(map[workload.RunnerID]bool, len(list.Runners))
	for _, r := range list.Runners {
		listed[r.ID] = true
	}
	n.dropped = slices.DeleteFunc(n.dropped, func(d droppedRunner) bool {
		return now-d.at >= droppedKeep || listed[d.info.ID]
	})
	for _, r := range n.runners.Runners {
		if !listed[r.ID] {
			n.dropped = append(n.dropped, droppedRunner{info: r, at: now})
		}
	}
}

// handOver tells the next scheduler of a shard where the one before may have
// started the jobs that this process is about to hand in again.
func (n *Node) handOver(now Time, s *shard) {
	if s.choice.Leader == n.Self() {
		s.schedule.AddUnlistedRunners(now, n.lately(s))
		return
	}
	n.tellRunners(s)
}

// tellRunners tells a shard's leader on which runners something may run.
func (n *Node) tellRunners(s *shard) {
	n.emit(Send{To: s.choice.Leader, Message: RunnerList{Revision: n.runners.Revision, Runners: n.lately(s), Handover: true}})
}

// lately lists a shard's runners, and those that have left the list of late.
func (n *Node) lately(s *shard) []workload.Runner {
	all := slices.Clone(n.runners.Runners)
	for _, d := range n.dropped {
		all = append(all, d.info)
	}
	return n.runnersOf(s, all)
}

// suspect passes runners that are handed over to their schedulers.
func (n *Node) suspect(now Time, list []workload.Runner) {
	for _, s := range n.own {
		if own := n.runnersOf(s, list); len(own) > 0 {
			s.schedule.AddUnlistedRunners(now, own)
		}
	}
}
