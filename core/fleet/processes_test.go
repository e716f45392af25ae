package fleet_test

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/topology"
)

// boot starts a process.
func (w *world) boot(n *fakeNode) {
	if n.removed {
		return
	}
	n.life++
	life := n.life
	n.node = fleet.New(schedule.DefaultConfig(), grace, n.milliCPU, w.now)
	n.node.SetDomain(n.domain)
	n.id, n.frozen = "", 0
	n.links = make(map[leader.ID]bool)
	n.redialAt = make(map[leader.ID]time.Duration)
	n.requests = make(map[uint64]*fakeJob)
	n.questions = make(map[uint64]*askedJob)
	n.pending, n.wanted, n.met = nil, nil, 0
	w.register(n, life)
	w.tickLoop(n, life)
	w.storeLoop(n, life)
}

func (w *world) register(n *fakeNode, life int) {
	w.after(5*time.Millisecond, func() {
		if n.life != life {
			return
		}
		if !w.storeReached(n) {
			w.register(n, life)
			return
		}
		w.numbers++
		n.id = leader.ID(fmt.Sprintf("%s#%d", n.name, w.numbers))
		w.byName[n.id] = n
		number := w.numbers
		w.enroll(n, number)
		w.do(n, func() { n.node.Registered(w.now, n.id, number) })
	})
}

// enroll puts a process on the list of members, in place of an earlier one of its
// VM.
func (w *world) enroll(n *fakeNode, number uint64) {
	w.members = slices.DeleteFunc(w.members, func(m topology.Member) bool { return m.VM == n.name })
	w.members = append(w.members, topology.Member{ID: string(n.id), VM: n.name, Domain: n.domain, Number: number, MilliCPU: n.milliCPU})
}

// do gives an event to a process, at once or when it wakes.
func (w *world) do(n *fakeNode, f func()) {
	if n.node == nil {
		return
	}
	if w.now < n.frozen {
		n.pending = append(n.pending, f)
		return
	}
	f()
	w.carryOut(n)
}

func (w *world) tickLoop(n *fakeNode, life int) {
	w.after(fleet.TickInterval, func() {
		if n.life != life || n.node == nil {
			return
		}
		if w.now < n.frozen {
			w.after(n.frozen-w.now, func() { w.wake(n, life) })
			return
		}
		w.link(n)
		w.do(n, func() { n.node.Tick(w.now) })
		if n.node.StopComplete(w.now) {
			w.do(n, func() { n.node.GiveUp(w.now) })
			w.endProcess(n, true)
			return
		}
		w.tickLoop(n, life)
	})
}

// wake lets a frozen process do what came meanwhile, before or after its own
// timers.
func (w *world) wake(n *fakeNode, life int) {
	if n.life != life || n.node == nil {
		return
	}
	tick := func() { w.do(n, func() { n.node.Tick(w.now) }) }
	if w.rng.IntN(2) == 0 {
		tick()
	}
	queued := n.pending
	n.pending = nil
	for _, f := range queued {
		w.do(n, f)
	}
	tick()
	w.tickLoop(n, life)
}

// link connects a process with those that it can reach.
func (w *world) link(n *fakeNode) {
	if w.cells {
		w.linkWanted(n)
		return
	}
	for _, o := range w.nodes {
		if o == n || o.node == nil || o.id == "" || n.id == "" || n.links[o.id] || !w.connects(n, o) || w.now < o.frozen {
			continue
		}
		if w.refused(n, o) {
			continue
		}
		n.links[o.id], o.links[n.id] = true, true
		w.do(n, func() { n.node.PeerUp(w.now, o.id) })
		w.do(o, func() { o.node.PeerUp(w.now, n.id) })
	}
}

// redial is the pause after a connection that was refused.
const redial = 100 * time.Millisecond

// refused plays a connection that one side refuses, as it doesn't know the other one:
// that one learns only that somebody is there.
func (w *world) refused(n, o *fakeNode) bool {
	if w.now >= w.strangers[n.name] && w.now >= w.strangers[o.name] {
		return false
	}
	if w.now < w.strangers[n.name] && w.now >= n.redialAt[o.id] {
		n.redialAt[o.id] = w.now + redial
		w.do(n, func() { n.node.PeerUp(w.now, o.id) })
		w.do(n, func() { n.node.PeerDown(w.now, o.id, false) })
	}
	return true
}

// linkWanted makes the connections that a process is to make.
func (w *world) linkWanted(n *fakeNode) {
	for _, l := range n.wanted {
		id := leader.ID(l.ID)
		if !l.Dials || n.links[id] {
			continue
		}
		o := w.byID(id)
		if o == nil || w.now < o.frozen || !w.connects(n, o) || w.refused(n, o) {
			continue
		}
		n.links[id], o.links[n.id] = true, true
		n.connected++
		o.connected++
		w.do(n, func() { n.node.PeerUp(w.now, id) })
		w.do(o, func() { o.node.PeerUp(w.now, n.id) })
	}
}

// connects reports whether two VMs have been able to talk for long enough.
func (w *world) connects(n, o *fakeNode) bool {
	pair := [2]string{n.name, o.name}
	if !w.joined(n, o) {
		w.joinedAt[pair] = w.now + w.linkDelay
		return false
	}
	return w.now >= w.joinedAt[pair]
}

func (w *world) byID(id leader.ID) *fakeNode {
	if n := w.byName[id]; n != nil && n.id == id && n.node != nil {
		return n
	}
	return nil
}

// storeLoop reads the configuration and the list of runners.
func (w *world) storeLoop(n *fakeNode, life int) {
	if n.life != life || n.node == nil {
		return
	}
	if w.storeReached(n) {
		w.do(n, func() {
			n.node.StoredJobsRead(w.now, w.store.any())
			if w.now >= w.layoutAt {
				n.node.ApplyLayout(w.now, w.layout())
			}
			if n.met != w.numbers || !w.cells {
				n.met = w.numbers
				n.node.SetMembers(w.now, slices.Clone(w.members))
			}
			n.node.ApplyEvacuations(w.now, w.evacuations.newest(), "store")
			n.node.ApplyDeclaration(w.now, &routing.Declaration{Version: 1}, "store")
			if !n.node.ReceivesRunnerList() {
				n.node.RunnersRead(w.now, w.list())
			}
		})
	}
	w.after(400*time.Millisecond, func() { w.storeLoop(n, life) })
}

// list is the platform's list; the entries of a domain that is cut off lapse.
func (w *world) list() fleet.RunnerList {
	w.revision++
	l := fleet.RunnerList{Revision: w.revision}
	for _, r := range w.runners {
		if w.listed[r.info.ID] && !w.cut[r.info.Domain] {
			l.Runners = append(l.Runners, r.info)
		}
	}
	sort.Slice(l.Runners, func(i, j int) bool { return l.Runners[i].ID < l.Runners[j].ID })
	return l
}

func (w *world) carryOut(n *fakeNode) {
	for _, c := range n.node.Ready() {
		switch c := c.(type) {
		case fleet.Send:
			w.send(n, c)
		case fleet.Connect:
			n.wanted = c.Links
		case fleet.Disconnect:
			w.disconnect(n, c.Peer)
		case fleet.Order:
			w.order(n, c)
		case fleet.Answer:
			w.reply(n, c)
		case fleet.ProbeStore:
			w.after(storeDelay, func() {
				reached := w.storeReached(n)
				w.do(n, func() { n.node.StoreProbed(w.now, reached) })
			})
		case fleet.StoreCall:
			w.storeCall(n, c)
		case fleet.StateAnswer:
			w.stateAnswered(n, c)
		case fleet.Notice:
			if c.Event == "leader-changed" && fieldOf(c, "leader") == string(n.id) {
				n.led++
			}
			if *trace {
				fmt.Println(w.now, n.id, c.Event, c.Fields)
			}
		}
	}
}

func fieldOf(n fleet.Notice, key string) any {
	for _, f := range n.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return nil
}

func (w *world) send(n *fakeNode, c fleet.Send) {
	if !n.links[c.To] {
		return
	}
	n.sent++
	if w.onSend != nil {
		w.onSend(n, c)
	}
	from := n.id
	w.after(delay+w.lag[n.name], func() {
		o := w.byID(c.To)
		if o == nil || !o.links[from] || !w.joined(n, o) {
			return
		}
		w.do(o, func() { o.node.Receive(w.now, from, c.Message) })
	})
}

func (w *world) disconnect(n *fakeNode, id leader.ID) {
	delete(n.links, id)
	from := n.id
	w.after(delay, func() {
		if o := w.byID(id); o != nil && w.joined(n, o) && o.links[from] {
			delete(o.links, from)
			w.do(o, func() { o.node.PeerDown(w.now, from, false) })
		}
	})
}

// endProcess ends a process; clean says that it closes its connections.
func (w *world) endProcess(n *fakeNode, clean bool) {
	id := n.id
	waiting := make([]uint64, 0, len(n.requests))
	for r := range n.requests {
		waiting = append(waiting, r)
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i] < waiting[j] })
	for _, r := range waiting {
		w.again(n.requests[r])
	}
	for _, o := range w.nodes {
		if o == n || o.node == nil || !o.links[id] {
			continue
		}
		if clean && w.joined(n, o) {
			delete(o.links, id)
			w.do(o, func() { o.node.PeerDown(w.now, id, true) })
		}
	}
	n.node = nil
	n.life++
	n.id = ""
}

// kill ends a process without a word and starts it again after a while.
func (w *world) kill(n *fakeNode, down time.Duration) {
	if n.node == nil {
		return
	}
	w.endProcess(n, false)
	w.after(down, func() {
		if n.node == nil {
			w.boot(n)
		}
	})
}

// stop sends SIGTERM, and starts the process again after it has ended.
func (w *world) stop(n *fakeNode) {
	if n.node == nil {
		return
	}
	w.do(n, func() { n.node.Stop(w.now) })
	w.after(grace+time.Second, func() {
		if n.node == nil {
			w.boot(n)
		}
	})
}

func (w *world) freeze(n *fakeNode, d time.Duration) {
	n.frozen = w.now + d
	w.awake = max(w.awake, n.frozen)
}

func (w *world) leader() *fakeNode {
	for _, n := range w.nodes {
		if n.node != nil && n.node.Leads() {
			return n
		}
	}
	return nil
}

// cutOff cuts a domain from all others and the store, for a while.
func (w *world) cutOff(domain string, d time.Duration) {
	w.cut[domain] = true
	w.after(d, func() { delete(w.cut, domain) })
}
