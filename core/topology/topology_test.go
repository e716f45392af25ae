package topology

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

// fleet is one of some domains, each a cell with three large VMs and small ones.
func fleet(domains, vms int) (layout.Layout, []Member) {
	var l layout.Layout
	var members []Member
	number := uint64(0)
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		for range 4 {
			l = append(l, domain)
		}
		for i := range vms {
			number++
			m := Member{ID: fmt.Sprintf("%s-%d#%d", domain, i, number), VM: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Number: number, MilliCPU: 192}
			if i < 3 {
				m.MilliCPU = 800
			}
			members = append(members, m)
		}
	}
	return l, members
}

// degrees counts the connections of each process, and checks that each pair has one
// that dials.
func degrees(g *WithT, f *Fleet, members []Member, widened int) map[string]int {
	wanted := make(map[[2]string]int)
	for _, m := range members {
		for _, l := range f.Links(m, widened) {
			g.Expect(l.ID).NotTo(Equal(m.ID))
			pair := [2]string{min(m.ID, l.ID), max(m.ID, l.ID)}
			wanted[pair] += 0
			if l.Dials {
				wanted[pair]++
			}
		}
	}
	degree := make(map[string]int)
	for pair, dials := range wanted {
		g.Expect(dials).To(Equal(1), "%v", pair)
		degree[pair[0]]++
		degree[pair[1]]++
	}
	return degree
}

// A fleet grows from 147 VMs to 1,050. A small VM has as many connections as before:
// what it spends on heartbeats doesn't grow. Those of a large one grow with its
// failure domain alone, by the small VMs that are connected with it.
func TestConnectionsDontGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	for _, domains := range []int{5, 35} {
		l, members := fleet(domains, 30)
		f := New(l, false, members)
		degree := degrees(g, f, members, 0)
		for _, m := range members {
			n := degree[m.ID]
			if !f.HasSeat(m, 0) {
				g.Expect(n).To(Equal(3 + gatewayCells))
				continue
			}
			// Each of the 30 VMs of a cell has a seat in two other cells, so each
			// seat has those of 20 VMs on average.
			g.Expect(n).To(BeNumerically("<=", 29+gatewayCells+3*20))
		}
	}
}

// Large VMs are many, or all VMs are alike. Those that schedule are bounded all the
// same.
func TestSeatsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var members []Member
	for i := range 100 {
		members = append(members, Member{ID: fmt.Sprintf("v%d", i), VM: fmt.Sprintf("v%d", i), Number: uint64(100 - i), MilliCPU: 400})
	}
	f := New(layout.Pooled(6), false, members)
	seats := f.Seats("", 0)
	g.Expect(seats).To(HaveLen(seatsMost))
	g.Expect(seats[0].Number).To(BeEquivalentTo(1), "the oldest of VMs that are alike")
	for i, m := range members {
		if !f.HasSeat(m, 0) {
			g.Expect(f.Links(m, 0)).To(HaveLen(seatsMost), "VM %d", i)
		}
	}
}

// The schedulers of all cells are out of reach, and every VM looks for others. It
// counts with twice as many seats each time; it doesn't connect with all.
func TestLookingFurtherIsBounded(t *testing.T) {
	g := NewWithT(t)
	l, members := fleet(5, 200)
	f := New(l, false, members)
	for widened, seats := range []int{3, 16, 32, 64, 128, 200, 200} {
		g.Expect(f.Seats("d1", widened)).To(HaveLen(seats))
	}
	degrees(g, f, members, 1)
	small := members[199]
	g.Expect(f.Links(small, 1)).To(HaveLen(16 + gatewayCells))
	g.Expect(f.Seats("d1", 99)).To(HaveLen(200))
}

// Whoever is asked for a stored job must reach its shard, in whatever cell.
func TestStoredJobsNeedAllSeats(t *testing.T) {
	g := NewWithT(t)
	l, members := fleet(5, 30)
	f := New(l, true, members)
	degrees(g, f, members, 0)
	g.Expect(f.Links(members[20], 0)).To(HaveLen(5 * 3))
}

// A fleet starts, and its members register one after the other. Nobody can lead before
// the layout is known; if those who know only a few small VMs connected with them, each
// would have connections that it never needs.
func TestNobodyConnectsBeforeTheLayoutIsKnown(t *testing.T) {
	g := NewWithT(t)
	_, members := fleet(5, 30)
	g.Expect(New(nil, false, members).Links(members[20], 0)).To(BeEmpty())
}

// Settings don't tell the VMs' processor. All count as alike: if none had a seat,
// nobody would connect or lead.
func TestUnknownProcessors(t *testing.T) {
	g := NewWithT(t)
	members := []Member{{ID: "a", VM: "a", Number: 1}, {ID: "b", VM: "b", Number: 2}}
	f := New(layout.Pooled(1), false, members)
	g.Expect(f.Links(members[0], 0)).To(Equal([]Link{{ID: "b"}}))
	g.Expect(f.Links(members[1], 0)).To(Equal([]Link{{ID: "a", Dials: true}}))
}
