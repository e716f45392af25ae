// Package topology decides which entry processes of a deployment connect.
//
// A connection costs both sides a dozen messages a second for as long as it exists. If each
// process connected with every other, or with all that may schedule, the cost for a VM would
// grow with the fleet. Therefore only a few VMs of each cell may schedule; they are said to
// have a seat. Every process connects with the seats of its own cell, and with a fixed number
// of seats in other cells, which take its jobs while its own cell has no room or no scheduler:
//
//	a VM                        | connects with
//	----------------------------|---------------------------------------------
//	any                         | the seats of its cell, at most maxSeats
//	any, in a layout with cells | one seat in each of gatewayCells other cells
//	a seat                      | all VMs of its cell, and those of other cells
//	                            | that have chosen it
//	in a fleet with stored jobs | all seats of all cells
//
// A process that reaches no scheduler assumes more seats, and doubles their number until it
// reaches one. It never connects with all at once: if the schedulers of a large fleet were
// unreachable for a second, connecting would keep every VM busy and the schedulers
// unreachable.
package topology

import (
	"cmp"
	"slices"
	"strings"

	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/rendezvous"
)

const (
	// maxSeats limits the VMs of a cell that may schedule, before any doubling: schedulers
	// for 480 runners, and as many in reserve.
	maxSeats = 16
	// gatewayCells is the number of other cells in which a VM connects with a seat. There are
	// two, because one of them may be cut off or lost together with the VM's own schedulers.
	gatewayCells = 2
	// maxSeatDoublings limits the doublings; with it the seats include all VMs of any cell.
	maxSeatDoublings = 10
)

// Member is a registered entry process.
type Member struct {
	// ID identifies one incarnation of a process on a VM.
	ID     string
	VM     string
	Domain string
	// Number grows in the order of registration.
	Number uint64
	// MilliCPU is the CPU capacity of the VM, in thousandths of a core; 0 if unknown.
	MilliCPU int
}

// Fleet is the members of a deployment and the layout, which determine the connections.
type Fleet struct {
	layout layout.Layout
	// stored: stored jobs may exist. Each belongs to one shard of the whole fleet, wherever
	// it is submitted.
	stored bool
	// cellByDomain caches the cell of each failure domain.
	cellByDomain map[string]string
	// members lists the members of each cell in the order in which they get seats: by
	// descending CPU capacity, then in the order of registration. cellNames lists the cells
	// by name.
	members   map[string][]Member
	cellNames []string
}

// New returns a fleet. The layout is nil while it is unknown: then no process can lead, and no
// process connects. Members register one by one as a fleet starts; without this rule the first
// ones, which have no seats, would connect with each other.
func New(l layout.Layout, stored bool, members []Member) *Fleet {
	f := &Fleet{
		layout:       l,
		stored:       stored,
		cellByDomain: make(map[string]string),
		members:      make(map[string][]Member),
		cellNames:    l.Cells(),
	}
	for _, m := range members {
		cell, known := f.cellByDomain[m.Domain]
		if !known {
			cell = l.Cell(m.Domain)
			f.cellByDomain[m.Domain] = cell
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

// Link is a connection that a process needs.
type Link struct {
	ID string
	// Dials: this process opens the connection.
	Dials bool
}

// SameProcess reports whether two links are with the same process.
func (l Link) SameProcess(o Link) bool { return l.ID == o.ID }

// CellMembers lists the members of a member's cell in the order of seats.
func (f *Fleet) CellMembers(m Member) []Member { return f.members[f.cellByDomain[m.Domain]] }

// Seats lists the members of a cell that may schedule. Without doublings these are the members
// with more than half of the highest CPU capacity in the cell, at most maxSeats. The first
// doubling raises their number to maxSeats, and each further one doubles it.
func (f *Fleet) Seats(cell string, doublings int) []Member { return seats(f.members[cell], doublings) }

// HasSeat reports whether a member has one of the seats of its cell, after the given doublings.
func (f *Fleet) HasSeat(m Member, doublings int) bool {
	return contains(seats(f.CellMembers(m), doublings), m)
}

// IsLarge reports whether a member has the CPU capacity for a seat in its cell. Until the layout
// is known, all members count as one cell.
func (f *Fleet) IsLarge(m Member) bool {
	list := f.CellMembers(m)
	return len(list) == 0 || isLarge(m, list[0])
}

// isLarge reports whether a member has more than half of the CPU capacity of the largest one.
func isLarge(m, largest Member) bool {
	return 2*m.MilliCPU > largest.MilliCPU || largest.MilliCPU == 0
}

func seats(list []Member, doublings int) []Member {
	if len(list) == 0 {
		return nil
	}
	n := 0
	for n < min(len(list), maxSeats) && isLarge(list[n], list[0]) {
		n++
	}
	if doublings > 0 {
		n = max(n, maxSeats) << min(doublings-1, maxSeatDoublings)
	}
	return list[:min(n, len(list))]
}

// Links lists the connections that a process needs, ordered by ID.
func (f *Fleet) Links(self Member, doublings int) []Link {
	if len(f.layout) == 0 {
		return nil
	}
	links := f.linksWithinCell(self, doublings)
	if f.layout.HasCells() {
		links = append(links, f.linksToOtherCells(self)...)
	}
	slices.SortFunc(links, func(a, b Link) int { return strings.Compare(a.ID, b.ID) })
	return links
}

// linksWithinCell are the links within the own cell: with its seats, and from a seat with all
// members. Of two processes the one that registered later dials, because the other was already
// registered then.
func (f *Fleet) linksWithinCell(self Member, doublings int) []Link {
	all := f.CellMembers(self)
	top := seats(all, doublings)
	seated := contains(top, self)
	var links []Link
	for _, m := range all {
		if m.ID != self.ID && (seated || contains(top, m)) {
			links = append(links, Link{ID: m.ID, Dials: m.Number < self.Number})
		}
	}
	return links
}

// linksToOtherCells are the links with seats of other cells. Those seats don't choose this
// process, so this process dials, unless the seat has chosen it too and registered later.
func (f *Fleet) linksToOtherCells(self Member) []Link {
	var links []Link
	for _, c := range f.linkedCells(self) {
		for _, m := range f.gatewaySeats(self, c) {
			links = append(links, Link{ID: m.ID, Dials: m.Number < self.Number || !f.hasChosen(m, self)})
		}
	}
	return links
}

// linkedCells lists the other cells in which a VM connects with seats: gatewayCells of them,
// spread over the VMs by rendezvous hashing, or all if stored jobs may exist.
func (f *Fleet) linkedCells(self Member) []string {
	own := f.cellByDomain[self.Domain]
	cells := slices.DeleteFunc(slices.Clone(f.cellNames), func(c string) bool { return c == own })
	if f.stored {
		return cells
	}
	score := func(c string) uint64 { return rendezvous.Score(c, self.VM, 0) }
	slices.SortFunc(cells, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return cells[:min(gatewayCells, len(cells))]
}

// gatewaySeats are the seats of another cell that a VM connects with: one, spread over the
// VMs by rendezvous hashing, or all if stored jobs may exist.
func (f *Fleet) gatewaySeats(self Member, cell string) []Member {
	list := f.Seats(cell, 0)
	if f.stored || len(list) == 0 {
		return list
	}
	return []Member{slices.MaxFunc(list, func(a, b Member) int {
		return cmp.Compare(rendezvous.Score(a.VM, self.VM, 0), rendezvous.Score(b.VM, self.VM, 0))
	})}
}

// hasChosen reports whether a member (by) has chosen m, of another cell, as a gateway seat.
func (f *Fleet) hasChosen(by, m Member) bool {
	cell := f.cellByDomain[m.Domain]
	return slices.Contains(f.linkedCells(by), cell) && contains(f.gatewaySeats(by, cell), m)
}

func contains(list []Member, m Member) bool {
	return slices.ContainsFunc(list, func(o Member) bool { return o.ID == m.ID })
}
