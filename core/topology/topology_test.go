package topology

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

// testFleet has a number of domains, each a cell with three large VMs and small ones.
func testFleet(domains, vms int) (layout.Layout, []Member) {
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

// degrees counts the connections of each process, and checks that exactly one side of each
// pair dials.
func degrees(g *WithT, f *Fleet, members []Member, doublings int) map[string]int {
	wanted := make(map[[2]string]int)
	for _, m := range members {
		for _, l := range f.Links(m, doublings) {
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

// A fleet grows from 147 VMs to 1,050. A small VM must keep as many connections as before, so
// that its cost of heartbeats doesn't grow. The connections of a large VM grow only with the
// small VMs of its failure domain.
func TestConnectionsDoNotGrowWithFleet(t *testing.T) {
	g := NewWithT(t)
	for _, domains := range []int{5, 35} {
		l, members := testFleet(domains, 30)
		f := New(l, false, members)
		degree := degrees(g, f, members, 0)
		for _, m := range members {
			n := degree[m.ID]
			if !f.HasSeat(m, 0) {
				g.Expect(n).To(Equal(3 + gatewayCells))
				continue
			}
			// Each of the 30 VMs of a cell connects with a seat in two other cells, so
			// each seat has connections from 20 such VMs on average.
			g.Expect(n).To(BeNumerically("<=", 29+gatewayCells+3*20))
		}
	}
}

// Large VMs are many, or all VMs are alike. The number of seats is limited all the same.
func TestSeatsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var members []Member
	for i := range 100 {
		members = append(members, Member{ID: fmt.Sprintf("v%d", i), VM: fmt.Sprintf("v%d", i), Number: uint64(100 - i), MilliCPU: 400})
	}
	f := New(layout.Pooled(6), false, members)
	seats := f.Seats("", 0)
	g.Expect(seats).To(HaveLen(maxSeats))
	g.Expect(seats[0].Number).To(BeEquivalentTo(1), "the oldest of equal VMs")
	for i, m := range members {
		if !f.HasSeat(m, 0) {
			g.Expect(f.Links(m, 0)).To(HaveLen(maxSeats), "VM %d", i)
		}
	}
}

// The schedulers of all cells are unreachable, and every VM assumes more seats to find others.
// The number of seats doubles each time, and no VM connects with all others at once.
func TestWideningIsBounded(t *testing.T) {
	g := NewWithT(t)
	l, members := testFleet(5, 200)
	f := New(l, false, members)
	for doublings, seats := range []int{3, 16, 32, 64, 128, 200, 200} {
		g.Expect(f.Seats("d1", doublings)).To(HaveLen(seats))
	}
	degrees(g, f, members, 1)
	small := members[199]
	g.Expect(f.Links(small, 1)).To(HaveLen(16 + gatewayCells))
	g.Expect(f.Seats("d1", 99)).To(HaveLen(200))
}

// A process that is asked for a stored job must reach the job's shard, in whatever cell.
func TestStoredJobsNeedLinksToAllSeats(t *testing.T) {
	g := NewWithT(t)
	l, members := testFleet(5, 30)
	f := New(l, true, members)
	degrees(g, f, members, 0)
	g.Expect(f.Links(members[20], 0)).To(HaveLen(5 * 3))
}

// A fleet starts, and its members register one by one. No process can lead before the layout
// is known. If processes whose list has only a few small VMs connected with them, they would have
// connections that are never needed.
func TestNoLinksBeforeLayoutIsKnown(t *testing.T) {
	g := NewWithT(t)
	_, members := testFleet(5, 30)
	g.Expect(New(nil, false, members).Links(members[20], 0)).To(BeEmpty())
}

// The CPU capacities of the VMs are unknown. All VMs count as equal: if none had a seat, no
// process would connect or lead.
func TestUnknownCPUCapacity(t *testing.T) {
	g := NewWithT(t)
	members := []Member{{ID: "a", VM: "a", Number: 1}, {ID: "b", VM: "b", Number: 2}}
	f := New(layout.Pooled(1), false, members)
	g.Expect(f.Links(members[0], 0)).To(Equal([]Link{{ID: "b"}}))
	g.Expect(f.Links(members[1], 0)).To(Equal([]Link{{ID: "a", Dials: true}}))
}
