package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// forwarding is the requests passed on to the holders of their claims, and those
// that peers have passed on to here.
type forwarding struct {
	forwards     map[uint64]*waiter
	lastForward  uint64
	forwardsSeen map[string]forwardSeen
}

func newForwarding() forwarding {
	return forwarding{
		forwards:     make(map[uint64]*waiter),
		forwardsSeen: make(map[string]forwardSeen),
	}
}

// toHolder passes a request on to the incarnation that holds its claim, or to
// the one that answers for it since its planned stop. A request that a peer
// passed on goes no further: two processes that each take the other for the
// holder would pass it back and forth.
func (c *Core) toHolder(r *waiter, holder task.Incarnation) {
	to := c.successorOf(holder)
	switch {
	case to == c.cfg.Self:
		c.answerAdopted(r, holder)
	case c.peers[to] == nil || !r.from.local():
		c.holderOut(r, to)
	default:
		c.forward(r, holder, to)
	}
}

// holderOut answers at once for a holder that isn't connected; the caller is
// told when to come back.
func (c *Core) holderOut(r *waiter, holder task.Incarnation) {
	if c.holderGone(holder) {
		c.reply(r, failed(r, pb.Reason_REASON_HOLDER_GONE, "the process that held the claim has ended"))
		return
	}
	c.reply(r, c.unsettled(r, pb.Reason_REASON_HOLDER_UNREACHABLE, "the process that holds the claim can't be reached"))
}

// forward sends a request to a connected peer. What is left of the caller's
// time goes along, so that the deadline isn't extended on the way.
func (c *Core) forward(r *waiter, holder, to task.Incarnation) {
	c.forwarding.lastForward++
	r.forward = c.forwarding.lastForward
	r.holder = to
	c.forwarding.forwards[r.forward] = r
	c.stats.Forwards++
	left := max(uint32((r.deadline - c.now).Milliseconds()), 1)
	if r.cancels() {
		c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_ForwardCancel{ForwardCancel: &pb.ForwardCancel{
			Request:     r.forward,
			Institution: r.id.Institution,
			Id:          r.id.Proto(),
		}}})
		return
	}
	c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_Forward{Forward: &pb.Forward{
		Request:     r.forward,
		Institution: r.id.Institution,
		Submission:  r.submission,
		RemainingMs: left,
		Holder:      holder.Proto(),
	}}})
}

// forwarded handles a request that a peer passed on.
func (c *Core) forwarded(from task.Incarnation, f *pb.Forward) {
	if c.forwardStale(from, f.GetRequest()) {
		return
	}
	s := f.GetSubmission()
	wait := msDuration(max(f.GetRemainingMs(), 1))
	a := asker{from, f.GetRequest()}
	holder := task.IncarnationOf(f.GetHolder())
	if holder == c.cfg.Self {
		c.submit(a, f.GetInstitution(), s, wait)
		return
	}
	// The row names another incarnation. This one may answer for it since its
	// planned stop, but never takes its submission for a new one.
	id := task.IDOf(f.GetInstitution(), s.GetId())
	r := c.open(a, id, s, task.DigestOf(s), wait)
	if r == nil || c.answerKnown(r) {
		return
	}
	if c.closed {
		c.reply(r, c.unsettled(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
		return
	}
	c.toHolder(r, holder)
}

// forwardSeen is the last request that a run of a peer passed on.
type forwardSeen struct {
	run  uint64
	last uint64
}

// forwardStale tells a request passed on twice, or late over a connection that
// was replaced. A peer numbers its requests upwards, so what isn't above the
// last one is old: its deadline, sent as the time left, would begin anew.
func (c *Core) forwardStale(from task.Incarnation, request uint64) bool {
	seen := c.forwarding.forwardsSeen[from.Node]
	if seen.run == from.Run && request <= seen.last {
		c.stats.DuplicateRequests++
		return true
	}
	c.forwarding.forwardsSeen[from.Node] = forwardSeen{from.Run, request}
	return false
}

// noteDropped remembers a request that came after its connection was lost. Its
// peer has answered it, so if it comes again it is old.
func (c *Core) noteDropped(from task.Incarnation, m *pb.PeerMessage) {
	if f := m.GetForward(); f != nil {
		c.forwardStale(from, f.GetRequest())
	}
	if f := m.GetForwardCancel(); f != nil {
		c.forwardStale(from, f.GetRequest())
	}
}

func (c *Core) forwardedCancel(from task.Incarnation, f *pb.ForwardCancel) {
	if c.forwardStale(from, f.GetRequest()) {
		return
	}
	c.cancel(asker{from, f.GetRequest()}, f.GetInstitution(), f.GetId())
}

// forwardAnswer passes a holder's answer on. One that isn't for the request it
// names is dropped: it would hand one kitchen another kitchen's label.
func (c *Core) forwardAnswer(from task.Incarnation, fa *pb.ForwardAnswer) {
	r := c.forwarding.forwards[fa.GetRequest()]
	if r == nil || r.holder != from || !matches(r, fa.GetAnswer()) {
		c.stats.UnmatchedAnswers++
		return
	}
	c.reply(r, fa.GetAnswer())
}

func matches(r *waiter, a *pb.Answer) bool {
	if task.IDOf(r.id.Institution, a.GetId()) != r.id {
		return false
	}
	return r.cancels() || string(a.GetDigest()) == string(r.digest[:])
}

// forwardsLost answers what waited for a peer whose connection is lost: at
// once, because its state can't be known before it is reached again, and the
// caller, told when to come back, reaches it by then or learns that it is gone.
// Sent again over a later connection instead, a request would hold its caller
// for as long as the cut lasts.
func (c *Core) forwardsLost(p task.Incarnation) {
	for _, n := range slices.Sorted(maps.Keys(c.forwarding.forwards)) {
		if r := c.forwarding.forwards[n]; r.holder == p {
			c.holderOut(r, p)
		}
	}
}

func (c *Core) sortedRequests() []*waiter {
	list := slices.Collect(maps.Values(c.requests))
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(compareIncarnations(a.from.peer, b.from.peer), cmp.Compare(a.from.request, b.from.request))
	})
	return list
}
