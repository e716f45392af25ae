package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// forwarding tracks the requests forwarded to the holders of their claims, and the
// numbers of those received from peers.
type forwarding struct {
	// forwards are the forwarded requests without an answer, by the numbers under which they
	// were forwarded.
	forwards    map[uint64]*waiter
	lastForward uint64
	// highestReceived is the highest number received from each peer, by node name.
	highestReceived map[string]highestForward
}

func newForwarding() forwarding {
	return forwarding{
		forwards:        make(map[uint64]*waiter),
		highestReceived: make(map[string]highestForward),
	}
}

// sendToHolder forwards a request to the incarnation that holds its claim, or to its
// successor after a planned stop. A request forwarded by a peer is not forwarded
// again: two processes that each take the other for the holder would forward it back
// and forth.
func (c *Core) sendToHolder(r *waiter, holder task.Incarnation) {
	to := c.successorOf(holder)
	switch {
	case to == c.cfg.Self:
		c.answerAdopted(r, holder)
	case c.peers[to] == nil || !r.from.local():
		c.holderUnreachable(r, to)
	default:
		c.forward(r, holder, to)
	}
}

// holderUnreachable answers at once for a holder that is not connected; unless the
// holder is gone for good, the answer carries a retry delay.
func (c *Core) holderUnreachable(r *waiter, holder task.Incarnation) {
	if c.holderGone(holder) {
		c.reply(r, failedAnswer(r, pb.Reason_REASON_HOLDER_GONE, "the process that held the claim has ended"))
		return
	}
	c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_HOLDER_UNREACHABLE, "the process that holds the claim can't be reached"))
}

// forward sends a request to a connected peer. The message carries the remaining time
// of the caller, so forwarding does not extend the deadline.
func (c *Core) forward(r *waiter, holder, to task.Incarnation) {
	c.forwarding.lastForward++
	r.forward = c.forwarding.lastForward
	r.holder = to
	c.forwarding.forwards[r.forward] = r
	c.stats.Forwards++
	remaining := max(uint32((r.deadline - c.now).Milliseconds()), 1)
	if r.isCancel() {
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
		RemainingMs: remaining,
		Holder:      holder.Proto(),
	}}})
}

// receiveForward handles a request forwarded by a peer.
func (c *Core) receiveForward(from task.Incarnation, f *pb.Forward) {
	if c.staleForward(from, f.GetRequest()) {
		return
	}
	s := f.GetSubmission()
	wait := msDuration(max(f.GetRemainingMs(), 1))
	req := requester{from, f.GetRequest()}
	holder := task.IncarnationOf(f.GetHolder())
	if holder == c.cfg.Self {
		c.submit(req, f.GetInstitution(), s, wait)
		return
	}
	// The claim row names another incarnation. This process may be the successor of that
	// incarnation after a planned stop, but must not treat the submission as a new one.
	id := task.IDOf(f.GetInstitution(), s.GetId())
	r := c.openRequest(req, id, s, task.DigestOf(s), wait)
	if r == nil || c.answerKnown(r) {
		return
	}
	if c.admissionClosed {
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_NOT_SERVING, "the process is stopping"))
		return
	}
	c.sendToHolder(r, holder)
}

// highestForward is the highest request number received from a run of a peer.
type highestForward struct {
	run  uint64
	last uint64
}

// staleForward reports whether a forwarded request is a duplicate or arrived late over
// a replaced connection; otherwise it records the number. A peer numbers its requests
// in ascending order, so a number not above the highest is stale: its deadline, sent
// as the remaining time, would begin again.
func (c *Core) staleForward(from task.Incarnation, request uint64) bool {
	seen := c.forwarding.highestReceived[from.Node]
	if seen.run == from.Run && request <= seen.last {
		c.stats.DuplicateRequests++
		return true
	}
	c.forwarding.highestReceived[from.Node] = highestForward{from.Run, request}
	return false
}

// recordDropped records the number of a request that arrived after its connection was
// lost. Its peer has already answered it, so a later copy is stale.
func (c *Core) recordDropped(from task.Incarnation, m *pb.PeerMessage) {
	if f := m.GetForward(); f != nil {
		c.staleForward(from, f.GetRequest())
	}
	if f := m.GetForwardCancel(); f != nil {
		c.staleForward(from, f.GetRequest())
	}
}

func (c *Core) receiveForwardCancel(from task.Incarnation, f *pb.ForwardCancel) {
	if c.staleForward(from, f.GetRequest()) {
		return
	}
	c.cancel(requester{from, f.GetRequest()}, f.GetInstitution(), f.GetId())
}

// receiveForwardAnswer passes on the answer of a holder. An answer that does not match the
// request that it names is dropped: it would give a caller the results of another's job.
func (c *Core) receiveForwardAnswer(from task.Incarnation, fa *pb.ForwardAnswer) {
	r := c.forwarding.forwards[fa.GetRequest()]
	if r == nil || r.holder != from || !answerMatches(r, fa.GetAnswer()) {
		c.stats.UnmatchedAnswers++
		return
	}
	c.reply(r, fa.GetAnswer())
}

func answerMatches(r *waiter, a *pb.Answer) bool {
	if task.IDOf(r.id.Institution, a.GetId()) != r.id {
		return false
	}
	return r.isCancel() || string(a.GetDigest()) == string(r.digest[:])
}

// answerLostForwards answers the requests forwarded to a peer when its connection is lost.
// It does so at once, because the state of the peer is unknown until it is reachable again.
// A caller that retries after the delay either reaches the peer or gets the answer that it
// has ended. Sending the requests again over a later connection would block their callers
// for the duration of a network partition.
func (c *Core) answerLostForwards(p task.Incarnation) {
	for _, n := range slices.Sorted(maps.Keys(c.forwarding.forwards)) {
		if r := c.forwarding.forwards[n]; r.holder == p {
			c.holderUnreachable(r, p)
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
