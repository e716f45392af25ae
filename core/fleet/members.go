package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/topology"
)

const (
	// aloneAfter is how long no scheduler of the cell must have been in reach until
	// a process counts with more seats than those of the best VMs: longer than a
	// change of leaders takes. It doubles their number each time that this has
	// passed again.
	aloneAfter = time.Second
	// aloneServed is the same while schedulers of other cells take its jobs.
	aloneServed = 3 * time.Second
)

// SetMembers says which processes are registered. Some may be gone for good.
func (n *Node) SetMembers(now Time, list []topology.Member) {
	n.members = list
	n.view.PeersDiscovered(now)
	n.membersChanged(now)
}

// membersChanged brings up to date what follows from the members and the layout.
func (n *Node) membersChanged(now Time) {
	defer n.setAble()
	if n.members == nil || n.member.ID == "" {
		return
	}
	// This process's own row may not have been read yet, or be that of an earlier
	// one of its VM.
	list := slices.DeleteFunc(slices.Clone(n.members), func(m topology.Member) bool { return m.VM == n.member.VM })
	n.fleet = topology.New(n.layout, n.stored == HasStoredJobs, append(list, n.member))
	n.vms = nil
	for _, m := range n.fleet.CellMembers(n.member) {
		n.vms = append(n.vms, m.VM)
	}
	for vm := range n.unheard {
		if !slices.Contains(n.vms, vm) {
			delete(n.unheard, vm)
		}
	}
	n.connect()
}

// connect asks for the connections that this process wants now. One with a process
// that leads a shard of the cell is kept, also if that has no seat any more.
func (n *Node) connect() {
	if n.fleet == nil {
		return
	}
	n.seated = n.fleet.HasSeat(n.member, n.widened)
	links := n.fleet.Links(n.member, n.widened)
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
	n.setAble()
}

// lookFurther widens the number of seats that this process counts with, while it
// reaches no scheduler of its cell though there could be one. Before the
// configuration and the shards are known nobody can lead, and looking would be for
// nothing.
func (n *Node) lookFurther(now Time) {
	if n.ReachesAllLeaders() || !n.view.CanSchedule() {
		n.reachedAt = now
	}
	step := aloneAfter
	if n.gateway.HasReachableScheduler() {
		step = aloneServed
	}
	widened := int((now - n.reachedAt) / step)
	if widened == n.widened {
		return
	}
	n.notice("seats-widened", Field{"times", widened}, Field{"alone", ms(now - n.reachedAt)})
	n.widened = widened
	n.connect()
}

// MembershipStatus is where a process stands in its fleet, for dumps and metrics.
type MembershipStatus struct {
	// Cell is the process's own; "" if runners are pooled.
	Cell string `json:"cell,omitempty"`
	// Seated: the VM is one of those that schedule first.
	Seated bool `json:"seated"`
	// SeatDoublings is how often the number of seats was doubled.
	SeatDoublings int `json:"widened"`
	// Members is the number of registered processes, and UnreachableVMs that of the VMs
	// of the cell that aren't heard.
	Members        int `json:"members"`
	UnreachableVMs int `json:"unheard"`
	// WantedConnections is the number of connections asked for.
	WantedConnections int `json:"wanted_connections"`
}

// MembershipStatus describes this process.
func (n *Node) MembershipStatus() MembershipStatus {
	return MembershipStatus{
		Cell: n.cell, Seated: n.seated, SeatDoublings: n.widened,
		Members: len(n.members), UnreachableVMs: len(n.unheard), WantedConnections: len(n.links),
	}
}

// SeatDoublings is how often the number of seats was doubled; 0 while a scheduler is in
// reach.
func (n *Node) SeatDoublings() int { return n.widened }

// noteUnheard notes since when no process of a VM is heard. One that isn't may
// live behind a cut, and lead there, also if this process has never heard it.
func (n *Node) noteUnheard(now Time) {
	heard := map[string]bool{schedule.EntryID(n.Self()).VM(): true}
	for id := range n.linked {
		// With the connection alone it isn't known whom the process follows.
		if n.view.Report(id).Number > 0 {
			heard[schedule.EntryID(id).VM()] = true
		}
	}
	for _, vm := range n.vms {
		if heard[vm] {
			delete(n.unheard, vm)
		} else if _, known := n.unheard[vm]; !known {
			n.unheard[vm] = now
		}
	}
	n.view.SetAllVMsReachable(n.hearsAll())
}

// meetsStrangers reports whether an older process that could lead this one's cell is
// there, as connections with it show, and hasn't told anything of itself. It refuses this
// process until it has read of it.
func (n *Node) meetsStrangers(now Time) bool {
	if n.fleet == nil {
		return false
	}
	for _, m := range n.fleet.Seats(n.cell, n.widened) {
		id := leader.ID(m.ID)
		heard := n.view.LastContact(id)
		if m.Number < n.number && heard > 0 && now-heard <= leader.HeartbeatTimeout && n.view.Report(id).Number == 0 {
			return true
		}
	}
	return false
}

// hearsAll reports whether a process of every other VM of the cell is heard.
func (n *Node) hearsAll() bool { return n.vms != nil && len(n.unheard) == 0 }

// missesSome reports whether a VM of the cell isn't heard that may be alive.
func (n *Node) missesSome(now Time) bool {
	for _, since := range n.unheard {
		if now-since < schedule.UnreachableTimeout {
			return true
		}
	}
	return false
}
