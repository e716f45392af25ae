package dispatch

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// undeclaredTimeout bounds the wait of a request whose institution is not declared
// here, for instance because this process has older settings.
const undeclaredTimeout = 30 * time.Second

// requester identifies the sender of a request: a caller of this process, or the
// peer that forwarded it.
type requester struct {
	peer    task.Incarnation
	request uint64
}

func (r requester) local() bool {
	return r.peer == task.Incarnation{}
}

// waiter is a request waiting for its reply. It gets exactly one, no later than its
// deadline.
type waiter struct {
	from requester
	id   task.ID
	// digest is zero for a cancellation, which carries no payload.
	digest task.Digest
	// submission is nil for a cancellation.
	submission *pb.Submission
	deadline   task.Time
	timer      *timer
	// sub is the local submission whose end it waits for, if any.
	sub *submission
	// forward is the number under which it was forwarded to holder, if any.
	forward uint64
	holder  task.Incarnation
}

func (r *waiter) isCancel() bool { return r.submission == nil }

// openRequest registers a request and returns its waiter. It returns nil for a
// duplicate of an open request, whose message was delivered twice, and for a
// request whose time is already over.
func (c *Core) openRequest(from requester, id task.ID, s *pb.Submission, digest task.Digest, wait time.Duration) *waiter {
	if c.requests[from] != nil {
		c.stats.DuplicateRequests++
		return nil
	}
	r := &waiter{from: from, id: id, submission: s, digest: digest}
	c.requests[from] = r
	wait -= c.maxRequestAge()
	if wait <= 0 {
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_DEADLINE, "the process was paused while the request was under way"))
		return nil
	}
	r.deadline = c.now + wait
	r.timer = c.after(wait, func() { c.requestDue(r) })
	return r
}

// requestDue answers a request at its deadline. It covers everything that a request
// can wait for, so no request waits without a timeout.
func (c *Core) requestDue(r *waiter) {
	switch {
	case r.sub == nil:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_DEADLINE, "the holder didn't answer in time"))
	case r.sub.phase == claiming:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_STORE_UNAVAILABLE, "the claim couldn't be settled in time"))
	case c.now >= r.sub.deadline:
		c.deadlinePassed(r.sub)
	default:
		c.reply(r, c.retryableAnswer(r, pb.Reason_REASON_DEADLINE, "still in progress"))
	}
}

// reply answers a request. It panics on a second reply, which could reach another
// request that reuses the number, with the results of the wrong job.
func (c *Core) reply(r *waiter, a *pb.Answer) {
	if c.requests[r.from] != r {
		panic(fmt.Sprintf("dispatch: second reply to request %d for %s", r.from.request, r.id))
	}
	c.closeRequest(r)
	a = withDigest(a, r)
	if r.from.local() {
		c.emit(Reply{r.from.request, a})
		return
	}
	c.send(r.from.peer, &pb.PeerMessage{Body: &pb.PeerMessage_ForwardAnswer{
		ForwardAnswer: &pb.ForwardAnswer{Request: r.from.request, Answer: a},
	}})
}

// withDigest adds the digest of a request to the answer of a submission that was
// cancelled before its payload was known.
func withDigest(a *pb.Answer, r *waiter) *pb.Answer {
	if r.isCancel() || len(a.GetDigest()) > 0 {
		return a
	}
	copied := proto.CloneOf(a)
	copied.Digest = r.digest[:]
	return copied
}

// closeRequest removes a request.
func (c *Core) closeRequest(r *waiter) {
	c.detach(r)
	delete(c.requests, r.from)
	c.cancelTimer(r.timer)
}

// detach detaches a request from the forward or submission that it waits for.
func (c *Core) detach(r *waiter) {
	if r.forward != 0 {
		delete(c.forwarding.forwards, r.forward)
		r.forward = 0
	}
	if r.sub != nil {
		r.sub.removeWaiter(r)
		r.sub = nil
	}
}

func (c *Core) attach(r *waiter, sub *submission) {
	r.sub = sub
	sub.waiters = append(sub.waiters, r)
}

// requesterGone drops a request whose requester no longer waits. A job without
// waiters of which nothing has started is suspended until it is requested again.
func (c *Core) requesterGone(r *waiter) {
	sub := r.sub
	c.closeRequest(r)
	if sub != nil {
		c.updateSuspension(sub)
	}
	c.checkDrained()
}

func (c *Core) updateSuspension(sub *submission) {
	if sub.phase != held {
		return
	}
	c.queue.Hold(sub.job, len(sub.waiters) == 0 && !sub.assembly.MayHaveRun())
}

func (c *Core) callerGone(from requester) {
	if r := c.requests[from]; r != nil {
		c.requesterGone(r)
	}
}

// dropPeerRequests drops the requests forwarded by a disconnected peer: their
// answers cannot be sent, and the peer has already answered them itself.
func (c *Core) dropPeerRequests(p task.Incarnation) {
	for _, r := range c.sortedRequests() {
		if r.from.peer == p {
			c.requesterGone(r)
		}
	}
}
