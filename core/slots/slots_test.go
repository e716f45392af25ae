package slots

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/task"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const hollowell = "hollowell"

// members lists the nodes a and b in melton and c in hinckley, and in each domain two upstreams of
// four slots.
func members() task.Members {
	m := task.Members{Nodes: []task.Node{
		{Name: "a", FailureDomain: "melton"},
		{Name: "b", FailureDomain: "melton"},
		{Name: "c", FailureDomain: "hinckley"},
	}}
	for _, domain := range []string{"hinckley", "melton"} {
		for i := range 2 {
			m.Upstreams = append(m.Upstreams, task.Upstream{
				Name: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Institution: hollowell, Slots: 4,
			})
		}
	}
	return m
}

func run(node string) task.Incarnation { return task.Incarnation{Node: node, Run: 1} }

func acquireAll(p *Pool) []task.Slot {
	var list []task.Slot
	for {
		s, ok := p.Acquire(hollowell)
		if !ok {
			return list
		}
		list = append(list, s)
	}
}

func TestOwnersAreBalancedAndAChangeMovesOnlyAShare(t *testing.T) {
	g := NewWithT(t)
	nodes := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	count := make(map[string]int)
	moved := 0
	for u := range 500 {
		for i := range uint32(8) {
			s := task.Slot{Upstream: fmt.Sprintf("runner-%d", u), Index: i}
			before := Owner(s, nodes)
			count[before]++
			if before != "n6" && Owner(s, nodes[:6]) != before {
				moved++
			}
		}
	}
	for _, n := range nodes {
		g.Expect(count[n]).To(BeNumerically("~", 4000/7, 60), n)
	}
	g.Expect(moved).To(BeZero(), "slots moved between nodes that stayed")
}

func TestAcquireSpreadsAndSkipsClosedUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("c", "hinckley")
	p.SetMembers(members())
	first, _ := p.Acquire(hollowell)
	second, _ := p.Acquire(hollowell)
	g.Expect(first.Upstream).NotTo(Equal(second.Upstream))
	p.SetWeight("hinckley-0", 0)
	g.Expect(p.Idle(hollowell)).To(Equal(3))
	for _, s := range acquireAll(p) {
		g.Expect(s.Upstream).To(Equal("hinckley-1"))
	}
	p.SetWeight("hinckley-0", 0.5)
	g.Expect(p.Idle(hollowell)).To(Equal(1), "half of four slots, one in use")
}

// A start on a slot was refused, or it isn't known whether the task on it has ended. If the slot
// were used again at once, a series of starts would be refused, or two tasks would run on a worker
// that has room for one.
func TestSlotIsUnusableDuringCooldown(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("c", "hinckley")
	p.SetMembers(members())
	list := acquireAll(p)
	g.Expect(list).To(HaveLen(8))
	p.ReleaseWithCooldown(list[0], time.Second)
	p.EndCooldowns(time.Second - 1)
	g.Expect(p.Idle(hollowell)).To(BeZero())
	p.EndCooldowns(time.Second)
	g.Expect(p.Idle(hollowell)).To(Equal(1))
}

// The connection to a task on a borrowed slot is lost, so the task may still be running when the
// loan ends. If the slot were returned at once, the lender would start a second task beside it.
func TestBorrowedSlotOfALostTaskIsReturnedAfterCooldown(t *testing.T) {
	g := NewWithT(t)
	lender, borrower := NewPool("a", "melton"), NewPool("c", "hinckley")
	lender.SetMembers(members())
	borrower.SetMembers(members())
	acquireAll(borrower)
	borrower.Borrow(run("a"), 7, lender.Lend(hollowell, 1, run("c"), 7))
	s, ok := borrower.Acquire(hollowell)
	g.Expect(ok).To(BeTrue())
	borrower.ReleaseWithCooldown(s, time.Second)
	borrower.EndLoan(run("a"), 7)
	g.Expect(borrower.Returns(run("a"))).To(BeEmpty())
	borrower.EndCooldowns(time.Second)
	g.Expect(borrower.Returns(run("a"))).To(Equal([]Return{{7, []task.Slot{s}}}))
}

// A loan expires by the lender's clock, the slot is lent again, and then the first borrower's return
// arrives. If this return ended the second loan, the lender would start a task beside the second
// borrower's.
func TestReturnOfAnExpiredLoanIsIgnored(t *testing.T) {
	g := NewWithT(t)
	lender := NewPool("a", "melton")
	lender.SetMembers(members())
	first := lender.Lend(hollowell, All, run("b"), 1)
	for _, s := range first {
		g.Expect(lender.TakeBack(s, 1)).To(BeTrue())
	}
	second := lender.Lend(hollowell, All, run("c"), 2)
	g.Expect(lender.TakeBack(second[0], 1)).To(BeFalse())
	g.Expect(lender.Idle(hollowell)).To(BeZero())
}

// By a new member list, a borrowed slot passes to a node that has no record of the loan. If the
// borrower gets the list later than the new owner, both may start tasks on the slot, and the
// upstream refuses one of them. The borrower must return the slot as soon as it has the list.
func TestLoanEndsWhenTheSlotPassesToAnotherNode(t *testing.T) {
	g := NewWithT(t)
	lender, borrower := NewPool("a", "melton"), NewPool("c", "hinckley")
	lender.SetMembers(members())
	borrower.SetMembers(members())
	lent := lender.Lend(hollowell, idleOwnSlots(lender), run("c"), 7)
	borrower.Borrow(run("a"), 7, lent)
	without := members()
	without.Nodes = slices.DeleteFunc(without.Nodes, func(n task.Node) bool { return n.Name == "a" })
	borrower.SetMembers(without)
	g.Expect(borrower.Borrowed(run("a"))).To(BeZero())
	lender.SetMembers(members())
	for _, r := range borrower.Returns(run("a")) {
		for _, s := range r.Slots {
			g.Expect(lender.TakeBack(s, r.Loan)).To(BeTrue())
		}
	}
	g.Expect(lender.IdleOwn(hollowell)).To(Equal(len(lent)))
}

func idleOwnSlots(p *Pool) int { return p.IdleOwn(hollowell) }
