package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// A leader may use a runner that left the platform's list: the runner was out of reach, answers
// again, and hasn't renewed its entry yet; or earlier runs go on there. Processes remember such a
// runner only for removedRetention. If the leader is lost later, its successor doesn't ask the runner
// for its runs, and starts their tasks a second time. So the leader reports these runners while it
// uses them.

// reportUnlisted reports a scheduler's unlisted runners in use to the processes of the cell.
func (n *Node) reportUnlisted(s *shard, c schedule.UnlistedInUse) {
	if len(c.Runners) != len(s.unlisted.Runners) {
		n.notice("unlisted-runners-used", Field{"shard", s.index}, Field{"runners", len(c.Runners)}, Field{"first", string(c.Runners[0].ID)})
	}
	s.unlisted = c
	n.rememberUnlisted(c.At, c.Runners)
	for _, id := range n.peers() {
		n.sendUnlisted(c.At, id)
	}
}

// sendUnlisted sends the unlisted runners in use to a process of the cell.
func (n *Node) sendUnlisted(now Time, id leader.ID) {
	if n.LayoutKnown() && !n.inCell(id) {
		return
	}
	for _, s := range n.own {
		if len(s.unlisted.Runners) == 0 || now-s.unlisted.At >= removedRetention {
			continue
		}
		n.sendHandover(id, s.unlisted.Runners, true)
	}
}

// maxHandoverRunners bounds the runners of a handover in one message, which is limited to 4 MB. The receiver adds up the
// runners of several messages.
const maxHandoverRunners = 1000

// sendHandover sends a process runners that may not be on the platform's list.
func (n *Node) sendHandover(to leader.ID, list []workload.Runner, inUse bool) {
	for part := range slices.Chunk(list, maxHandoverRunners) {
		n.emit(Send{To: to, Message: RunnerList{Revision: n.runners.Revision, Runners: part, Handover: true, InUse: inUse}})
	}
}

// rememberUnlisted records runners that a leader uses as ones that left the list just now.
func (n *Node) rememberUnlisted(now Time, list []workload.Runner) {
	for _, r := range list {
		n.removedRunners = slices.DeleteFunc(n.removedRunners, func(d removedRunner) bool { return d.info.ID == r.ID })
		n.removedRunners = append(n.removedRunners, removedRunner{info: r, at: now})
	}
}
