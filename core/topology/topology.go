// Package topology decides which entry processes of a deployment connect.
//
// A connection costs both sides a dozen messages a second for as long as it stands.
// If each process connected with each, or with all that may schedule, what a VM
// spends would grow with the fleet. So a process connects with the seats of its
// own cell, those few VMs of it that schedule, and with a fixed number of seats
// in other cells, which take its jobs while its own cell has no room or no
// scheduler:
//
//	a VM                        | connects with
//	----------------------------|---------------------------------------------
//	any                         | the seats of its cell, at most seatsMost
//	any, in a layout with cells | one seat in each of gatewayCells other cells
//	a seat                      | all VMs of its cell, and those of other cells
//	                            | that have chosen it
//	in a fleet with stored jobs | all seats of all cells
//
// A process that reaches no scheduler widens the number of seats that it counts
// with, by doubling. It never connects with all at once: when the schedulers of a
// large fleet are out of reach for a second, that would keep every VM busy with
// connections and so keep them out of reach.
package topology

import (
	"cmp"
	"slices"
	"strings"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/rendezvous"
)

const (
	// seatsMost bounds the VMs of a cell that may schedule: the schedulers of 480
	// runners, and as many in reserve.
	seatsMost = 16
	// gatewayCells is the number of other cells in which a VM is connected with a
	// seat: one may be cut off or lost together with the VM's own schedulers.
	gatewayCells = 2
	// widenMost bounds the doublings; with it a process counts with all VMs of
	// any cell.
	widenMost = 10
)

// Member is a registered entry process.
type Member struct {
	// ID names one lifetime of a process on a VM.
	ID     string
	VM     string
	Domain string
	// Number grows in the order of registration.
	Number uint64
	// MilliCPU is the processor of the VM, in thousandths of a core; 0 if unknown.
	MilliCPU int
}

// Fleet is the members of a deployment, and what decides their connections.
type Fleet struct {
	layout layout.Layout
	// stored: there may be stored jobs, which belong to one shard of all wherever
	// they come from.
	stored bool
	// byDomain caches the cells of failure domains.
	byDomain map[string]string
	// members are those of each cell, those that schedule first, and names the
	// cells in order.
	members map[string][]Member
	names   []string
}

// New returns a fleet. The layout is nil while it isn't known: then nobody can lead,
// and nobody connects. Members register one after the other as a fleet starts, and
// the first ones would connect with each other for want of those with seats.
func New(l layout.Layout, stored bool, members []Member) *Fleet {
	f := &Fleet{
		layout:   l,
		stored:   stored,
		byDomain: make(map[string]string),
		members:  make(map[string][]Member),
		names:    l.Cells(),
	}
	for _, m := range members {
		cell, known := f.byDomain[m.Domain]
		if !known {
			cell = l.Cell(m.Domain)
			f.byDomain[m.Domain] = cell
		}
		f.members[cell] = append(f.members[cell], m)
	}
	for _, list := range f.members {
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(a.Number, b.Number), strings.Compare(a.ID, b.ID))
		})
	}
	return f
}

// Link is a connection that a process wants.
type Link struct {
	ID string
	// Dials: this process is to make the connection.
	Dials bool
}

// SameProcess reports whether another link is with the same process.
func (l Link) SameProcess(o Link) bool { return l.ID == o.ID }

// CellMembers lists the members of a member's cell, those that schedule first.
func (f *Fleet) CellMembers(m Member) []Member { return f.members[f.byDomain[m.Domain]] }

// Seats lists the members of a cell that schedule: those with more than half of
// the most processor that any has, or more if the process widens its view.
func (f *Fleet) Seats(cell string, widened int) []Member { return seats(f.members[cell], widened) }

// HasSeat reports whether a member has one of the seats of its cell.
func (f *Fleet) HasSeat(m Member, widened int) bool {
	return contains(seats(f.CellMembers(m), widened), m)
}

func seats(list []Member, widened int) []Member {
	if len(list) == 0 {
		return nil
	}
	n := 0
	for n < min(len(list), seatsMost) && (2*list[n].MilliCPU > list[0].MilliCPU || list[0].MilliCPU == 0) {
		n++
	}
	if widened > 0 {
		n = max(n, seatsMost) << min(widened-1, widenMost)
	}
	return list[:min(n, len(list))]
}

// Links lists the connections that a process wants, in the order of their ids.
func (f *Fleet) Links(self Member, widened int) []Link {
	if len(f.layout) == 0 {
		return nil
	}
	links := f.inside(self, widened)
	if f.layout.HasCells() {
		links = append(links, f.outside(self)...)
	}
	slices.SortFunc(links, func(a, b Link) int { return strings.Compare(a.ID, b.ID) })
	return links
}

// inside are the links within the own cell: with its seats, and from a seat with
// all. Of two the one that registered later dials, since it surely knows the other.
func (f *Fleet) inside(self Member, widened int) []Link {
	all := f.CellMembers(self)
	top := seats(all, widened)
	seated := contains(top, self)
	var links []Link
	for _, m := range all {
		if m.ID != self.ID && (seated || contains(top, m)) {
			links = append(links, Link{ID: m.ID, Dials: m.Number < self.Number})
		}
	}
	return links
}

// outside are the links with seats of other cells. Those seats don't choose this
// process, so it dials, unless the other has chosen it too and is the younger one.
func (f *Fleet) outside(self Member) []Link {
	var links []Link
	for _, c := range f.outsideCells(self) {
		for _, m := range f.gateways(self, c) {
			links = append(links, Link{ID: m.ID, Dials: m.Number < self.Number || !f.chosen(m, self)})
		}
	}
	return links
}

// outsideCells lists the other cells in which a VM is connected with seats: some,
// or all if there may be stored jobs. VMs spread over them.
func (f *Fleet) outsideCells(self Member) []string {
	own := f.byDomain[self.Domain]
	cells := slices.DeleteFunc(slices.Clone(f.names), func(c string) bool { return c == own })
	if f.stored {
		return cells
	}
	score := func(c string) uint64 { return rendezvous.Score(c, self.VM, 0) }
	slices.SortFunc(cells, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return cells[:min(gatewayCells, len(cells))]
}

// gateways are the seats of another cell that a VM is connected with: one, or all
// if there may be stored jobs. VMs spread over the seats.
func (f *Fleet) gateways(self Member, cell string) []Member {
	list := f.Seats(cell, 0)
	if f.stored || len(list) == 0 {
		return list
	}
	return []Member{slices.MaxFunc(list, func(a, b Member) int {
		return cmp.Compare(rendezvous.Score(a.VM, self.VM, 0), rendezvous.Score(b.VM, self.VM, 0))
	})}
}

// chosen reports whether a member has chosen another one of another cell.
func (f *Fleet) chosen(by, m Member) bool {
	cell := f.byDomain[m.Domain]
	return slices.Contains(f.outsideCells(by), cell) && contains(f.gateways(by, cell), m)
}

func contains(list []Member, m Member) bool {
	return slices.ContainsFunc(list, func(o Member) bool { return o.ID == m.ID })
}
