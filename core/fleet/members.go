package fleet

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/topology"
)

const (
	// widenInterval is how long the leader of some shard of the cell must have been
	// unreachable until the process doubles the number of seats that it assumes, and doubles
	// it again after each further interval. A seat is a VM's place among those that may
	// schedule; see package topology. The interval is longer than a change of leaders takes.
	widenInterval = time.Second
	// servedWidenInterval replaces widenInterval while schedulers of other cells accept
	// the process's jobs.
	servedWidenInterval = 3 * time.Second
)

// SetMembers sets the registered processes. Some of them may have been removed.
func (n *Node) SetMembers(now Time, list []topology.Member) {
	n.members = list
	n.view.PeersDiscovered(now)
	n.membersChanged(now)
}

// membersChanged updates everything that depends on the members and the layout.
func (n *Node) membersChanged(now Time) {
	defer n.updateAble()
	if n.members == nil || n.member.ID == "" {
		return
	}
	// The row of this process may not have been read yet, or may be that of an earlier
	// process on this VM.
	list := slices.DeleteFunc(slices.Clone(n.members), func(m topology.Member) bool { return m.VM == n.member.VM })
	n.fleet = topology.New(n.layout, n.storedJobs == HasStoredJobs, append(list, n.member))
	members := n.fleet.CellMembers(n.member)
	n.cellVMs = nil
	inCell := make(map[string]bool, len(members))
	for _, m := range members {
		n.cellVMs = append(n.cellVMs, m.VM)
		inCell[m.VM] = true
	}
	maps.DeleteFunc(n.unreachableSince, func(vm string, _ Time) bool { return !inCell[vm] })
	n.connect()
}

// connect requests the connections that this process needs now. A connection with the
// leader of a shard of the cell is retained even if that process has lost its seat.
func (n *Node) connect() {
	if n.fleet == nil {
		return
	}
	n.seated = n.fleet.HasSeat(n.member, n.seatDoublings)
	links := n.fleet.Links(n.member, n.seatDoublings)
	for _, s := range n.own {
		l := topology.Link{ID: string(s.choice.Leader)}
		if s.choice.Reachable && s.choice.Leader != n.Self() && !slices.ContainsFunc(links, l.SameProcess) {
			links = append(links, l)
		}
	}
	if !slices.Equal(links, n.links) {
		n.links = links
		n.emit(Connect{Links: links})
	}
	n.updateAble()
}

// widenSeats increases the number of assumed seats while the leader of some shard of the cell
// is unreachable, and returns to the usual number when all are reachable. Before the
// settings are known no process can lead, so more connections would not find a scheduler. The
// list of runners isn't a condition: this process reads it when it gets a seat.
func (n *Node) widenSeats(now Time) {
	if n.ReachesAllLeaders() || !n.settingsKnown() {
		n.leadersReachedAt = now
	}
	step := widenInterval
	if n.gateway.HasReachableScheduler() {
		step = servedWidenInterval
	}
	seatDoublings := int((now - n.leadersReachedAt) / step)
	if seatDoublings == n.seatDoublings {
		return
	}
	n.notice("seats-widened", Field{"times", seatDoublings}, Field{"alone", ms(now - n.leadersReachedAt)})
	n.seatDoublings = seatDoublings
	n.connect()
}

// MembershipStatus describes a process's position in its fleet, for dumps and metrics.
type MembershipStatus struct {
	// Cell is the process's own cell; empty if runners are pooled.
	Cell string `json:"cell,omitempty"`
	// Seated: the VM is one of those that schedule before the others of the cell.
	Seated bool `json:"seated"`
	// SeatDoublings is how often the number of seats was doubled.
	SeatDoublings int `json:"widened"`
	// Members is the number of registered processes, and UnreachableVMs that of the VMs
	// of the cell of which no process is reachable.
	Members        int `json:"members"`
	UnreachableVMs int `json:"unheard"`
	// WantedConnections is the number of connections requested.
	WantedConnections int `json:"wanted_connections"`
}

// MembershipStatus returns the position of this process in its fleet.
func (n *Node) MembershipStatus() MembershipStatus {
	return MembershipStatus{
		Cell: n.cell, Seated: n.seated, SeatDoublings: n.seatDoublings,
		Members: len(n.members), UnreachableVMs: len(n.unreachableSince), WantedConnections: len(n.links),
	}
}

// SeatDoublings is how often the number of seats was doubled; 0 while the leaders of all shards
// of the cell are reachable.
func (n *Node) SeatDoublings() int { return n.seatDoublings }

// updateUnreachable updates unreachableSince. An unreachable VM may be alive on the other
// side of a network partition and lead there, even if this process was never connected
// with it.
func (n *Node) updateUnreachable(now Time) {
	reachable := map[string]bool{schedule.EntryID(n.Self()).VM(): true}
	for id := range n.connected {
		// Until the first heartbeat it isn't known which leaders the process follows.
		if n.view.Report(id).Number > 0 {
			reachable[schedule.EntryID(id).VM()] = true
		}
	}
	unreachable := 0
	for _, vm := range n.cellVMs {
		if reachable[vm] {
			delete(n.unreachableSince, vm)
		} else {
			unreachable++
		}
	}
	// unreachableSince holds VMs of the cell only, so equal numbers mean that all are in it.
	if len(n.unreachableSince) != unreachable {
		n.noteUnreachable(now, reachable)
	}
	n.view.SetAllVMsReachable(n.allReachable())
}

// noteUnreachable adds the VMs of the cell to unreachableSince that aren't reachable and are missing there.
func (n *Node) noteUnreachable(now Time, reachable map[string]bool) {
	for _, vm := range n.cellVMs {
		if _, known := n.unreachableSince[vm]; !known && !reachable[vm] {
			n.unreachableSince[vm] = now
		}
	}
}

// hasUnreportedElder reports whether an older process that could lead this one's cell is
// alive, as attempts to connect with it show, but hasn't sent a heartbeat. That process refuses
// connections from this one until it has read this one's registration in the list of members.
func (n *Node) hasUnreportedElder(now Time) bool {
	if n.fleet == nil {
		return false
	}
	for _, m := range n.fleet.Seats(n.cell, n.seatDoublings) {
		id := leader.ID(m.ID)
		lastContact := n.view.LastContact(id)
		if m.Number < n.number && lastContact > 0 && now-lastContact <= leader.HeartbeatTimeout && n.view.Report(id).Number == 0 {
			return true
		}
	}
	return false
}

// allReachable reports whether a process of every other VM of the cell is reachable.
func (n *Node) allReachable() bool { return n.cellVMs != nil && len(n.unreachableSince) == 0 }

// anyMissing reports whether a VM of the cell is unreachable that may still be alive.
func (n *Node) anyMissing(now Time) bool {
	for _, since := range n.unreachableSince {
		if now-since < schedule.UnreachableTimeout {
			return true
		}
	}
	return false
}
