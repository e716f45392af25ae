package slots

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// loanRecord is a loan that is in flight or in use.
type loanRecord struct {
	from, to string
	loan     uint64
	slots    []task.Slot
}

// message is a message between two nodes: a loan, or returns if there are any.
type message struct {
	loanRecord
	returns []Return
}

// world simulates three nodes, the tasks that run on their slots, and the messages between them. It
// records separately which loans each owner has made.
type world struct {
	t        *rapid.T
	pools    map[string]*Pool
	running  map[string][]task.Slot
	loans    []loanRecord
	inFlight []message
	now      task.Time
	lastLoan uint64
	list     task.Members
}

var nodeNames = []string{"a", "b", "c"}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, pools: make(map[string]*Pool), running: make(map[string][]task.Slot), list: members()}
	for _, n := range nodeNames {
		w.restart(n)
	}
	return w
}

// restart gives a node an empty pool, as a new process has it. Its tasks, the loans that it made and
// the messages from and to the old process are lost, and the other nodes end the use of its slots.
func (w *world) restart(node string) {
	domain := "melton"
	if node == "c" {
		domain = "hinckley"
	}
	w.pools[node] = NewPool(node, domain)
	w.pools[node].SetMembers(w.list)
	w.running[node] = nil
	w.loans = slices.DeleteFunc(w.loans, func(l loanRecord) bool { return l.from == node })
	w.inFlight = slices.DeleteFunc(w.inFlight, func(l message) bool { return l.from == node || l.to == node })
	for _, p := range w.pools {
		p.LenderUnreachable(run(node))
	}
}

func (w *world) node() string { return rapid.SampledFrom(nodeNames).Draw(w.t, "node") }

// pick draws an index into n elements.
func (w *world) pick(n int) int {
	if n == 0 {
		w.t.Skip("nothing to pick")
	}
	return rapid.IntRange(0, n-1).Draw(w.t, "index")
}

func (w *world) acquire(*rapid.T) {
	n := w.node()
	s, ok := w.pools[n].Acquire(hollowell)
	if !ok {
		w.t.Skip("no idle slot")
	}
	if slices.Contains(w.running[n], s) {
		w.t.Fatalf("%s started on %v twice", n, s)
	}
	for _, l := range w.loans {
		if l.from == n && slices.Contains(l.slots, s) {
			w.t.Fatalf("%s started on %v, which it has lent", n, s)
		}
	}
	w.running[n] = append(w.running[n], s)
}

func (w *world) release(*rapid.T) {
	n := w.node()
	i := w.pick(len(w.running[n]))
	s := w.running[n][i]
	w.running[n] = slices.Delete(w.running[n], i, i+1)
	until := task.Time(0)
	if rapid.Bool().Draw(w.t, "later") {
		until = w.now + task.Time(rapid.IntRange(1, 5).Draw(w.t, "rest"))
	}
	w.pools[n].ReleaseWithCooldown(s, until)
}

func (w *world) lend(*rapid.T) {
	from, to := w.node(), w.node()
	if from == to {
		w.t.Skip("no loan to oneself")
	}
	w.lastLoan++
	l := loanRecord{from, to, w.lastLoan, w.pools[from].Lend(hollowell, rapid.IntRange(1, 4).Draw(w.t, "count"), run(to), w.lastLoan)}
	for _, s := range l.slots {
		w.checkNotInUse(from, s)
	}
	w.loans = append(w.loans, l)
	w.inFlight = append(w.inFlight, message{loanRecord: l})
}

// checkNotInUse fails if the owner of a slot has lent it already or runs a task on it.
func (w *world) checkNotInUse(owner string, s task.Slot) {
	for _, l := range w.loans {
		if l.from == owner && slices.Contains(l.slots, s) {
			w.t.Fatalf("%s lent %v twice", owner, s)
		}
	}
	if slices.Contains(w.running[owner], s) {
		w.t.Fatalf("%s lent %v, on which it runs a task", owner, s)
	}
}

func (w *world) sendReturns(*rapid.T) {
	from, to := w.node(), w.node()
	w.pools[from].ReturnIdle(run(to), rapid.IntRange(0, 3).Draw(w.t, "count"))
	if list := w.pools[from].Returns(run(to)); len(list) > 0 {
		w.inFlight = append(w.inFlight, message{loanRecord{from: from, to: to}, list})
	}
}

func (w *world) deliver(*rapid.T) {
	w.deliverAt(w.pick(len(w.inFlight)))
}

func (w *world) deliverAt(i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if m.returns == nil {
		w.pools[m.to].Borrow(run(m.from), m.loan, m.slots)
		return
	}
	for _, r := range m.returns {
		for _, s := range r.Slots {
			w.takeBack(m.to, r.Loan, s)
		}
	}
}

// takeBack ends the loan of a slot at its owner, and in the simulation's record.
func (w *world) takeBack(owner string, loan uint64, s task.Slot) {
	w.pools[owner].TakeBack(s, loan)
	for i, l := range w.loans {
		if l.from == owner && l.loan == loan {
			w.loans[i].slots = slices.DeleteFunc(slices.Clone(l.slots), func(o task.Slot) bool { return o == s })
		}
	}
}

// expire ends a loan by the lender's clock, whatever the borrower does.
func (w *world) expire(*rapid.T) {
	l := w.loans[w.pick(len(w.loans))]
	for _, s := range slices.Clone(l.slots) {
		w.takeBack(l.from, l.loan, s)
	}
}

func (w *world) endLoan(*rapid.T) {
	l := w.loans[w.pick(len(w.loans))]
	w.pools[l.to].EndLoan(run(l.from), l.loan)
}

func (w *world) disconnect(*rapid.T) {
	w.pools[w.node()].LenderUnreachable(run(w.node()))
}

func (w *world) restartNode(*rapid.T) { w.restart(w.node()) }

func (w *world) setWeight(*rapid.T) {
	u := w.list.Upstreams[w.pick(len(w.list.Upstreams))].Name
	w.pools[w.node()].SetWeight(u, rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(w.t, "weight"))
}

// changeMembers gives one node a new member list; the others keep theirs.
func (w *world) changeMembers(*rapid.T) {
	m := members()
	m.Upstreams[w.pick(len(m.Upstreams))].Leaving = rapid.Bool().Draw(w.t, "leaving")
	m.Nodes[w.pick(len(m.Nodes))].Leaving = rapid.Bool().Draw(w.t, "stopping")
	w.setMembers(w.node(), m)
}

// setMembers gives a node a member list, and drops the loans of slots that the node no longer owns.
func (w *world) setMembers(n string, m task.Members) {
	w.pools[n].SetMembers(m)
	for i, l := range w.loans {
		if l.from != n {
			continue
		}
		w.loans[i].slots = slices.DeleteFunc(slices.Clone(l.slots), func(s task.Slot) bool {
			r := w.pools[n].find(s)
			return r == nil || r.state != lent
		})
	}
}

func (w *world) advance(*rapid.T) {
	w.now++
	for _, n := range nodeNames {
		w.pools[n].EndCooldowns(w.now)
	}
}

// checkCounts compares the counts of each pool with its slot records.
func (w *world) checkCounts(*rapid.T) {
	for _, n := range nodeNames {
		p := w.pools[n]
		owned, usable, held := 0, 0, 0
		for _, name := range slices.Sorted(maps.Keys(p.upstreams)) {
			u := p.upstreams[name]
			for _, r := range u.slots {
				if r.right == rightOwned {
					owned++
				}
				if r.right == rightBorrowed || r.right == rightOwned && r.state != lent {
					held++
				}
			}
			usable += u.owned.usable + u.borrowed.usable
		}
		if owned != p.owned || usable != p.Idle(hollowell) || held != p.Held(hollowell) {
			w.t.Fatalf("%s: records have owned %d, usable %d, held %d; the pool counts %d, %d, %d", n, owned, usable, held, p.owned, p.Idle(hollowell), p.Held(hollowell))
		}
		if lent := p.Counts().Lent; lent != p.Lent(hollowell) {
			w.t.Fatalf("%s: %d slots are lent, the pool counts %d", n, lent, p.Lent(hollowell))
		}
	}
}

// endAll ends all tasks and loans, after which each owner must have all its slots idle.
func (w *world) endAll() {
	for _, n := range nodeNames {
		w.setMembers(n, members())
		for _, s := range w.running[n] {
			w.pools[n].Release(s)
		}
		for _, u := range w.list.Upstreams {
			w.pools[n].SetWeight(u.Name, 1)
		}
	}
	w.now += 100
	w.advance(w.t)
	for len(w.inFlight) > 0 {
		w.deliverAt(0)
	}
	for _, l := range w.loans {
		w.pools[l.to].EndLoan(run(l.from), l.loan)
		for _, s := range slices.Clone(l.slots) {
			w.takeBack(l.from, l.loan, s)
		}
	}
	total := 0
	for _, n := range nodeNames {
		total += w.pools[n].IdleOwn(hollowell)
		if w.pools[n].IdleOwn(hollowell) != w.pools[n].Owned() {
			w.t.Fatalf("%s lost slots: %d of %d idle", n, w.pools[n].IdleOwn(hollowell), w.pools[n].Owned())
		}
	}
	if total != 16 {
		w.t.Fatalf("%d of 16 slots are left", total)
	}
}

// In any order of starts, loans, returns, restarts, disconnections, expiries and delayed member
// lists, no owner starts a task on a slot that is lent or in use, or lends such a slot, and no slot
// is lost.
func TestSlotsAreNeitherLostNorUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": w.acquire, "release": w.release, "lend": w.lend, "returns": w.sendReturns,
			"deliver": w.deliver, "expire": w.expire, "end loan": w.endLoan, "cut": w.disconnect, "die": w.restartNode,
			"weight": w.setWeight, "change": w.changeMembers, "time": w.advance, "": w.checkCounts,
		})
		w.endAll()
	})
}
