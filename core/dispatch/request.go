package dispatch

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// undeclaredWait bounds the wait of a request whose institution isn't declared
// here, for instance because the settings lag.
const undeclaredWait = 30 * time.Second

// asker is who waits for an answer: a caller of this process, or a peer that
// forwarded.
type asker struct {
	peer    task.Incarnation
	request uint64
}

func (a asker) local() bool {
	return a.peer == task.Incarnation{}
}

// waiter is one request that waits for its reply. It gets exactly one, by its
// deadline at the latest.
type waiter struct {
	from asker
	id   task.ID
	// digest is zero for a cancellation, which carries no payload.
	digest task.Digest
	// submission is nil for a cancellation.
	submission *pb.Submission
	deadline   task.Time
	timer      *timer
	// sub is the submission here whose end it waits for, if any.
	sub *submission
	// forward is the number under which it was passed to holder, if any.
	forward uint64
	holder  task.Incarnation
}

func (r *waiter) cancels() bool { return r.submission == nil }

// open enters a request; nil if it is open already, because the message that
// brought it was doubled, or if its time is over.
func (c *Core) open(from asker, id task.ID, s *pb.Submission, digest task.Digest, wait time.Duration) *waiter {
	if c.requests[from] != nil {
		c.stats.DuplicateRequests++
		return nil
	}
	r := &waiter{from: from, id: id, submission: s, digest: digest}
	c.requests[from] = r
	wait -= c.lateBy()
	if wait <= 0 {
		c.reply(r, c.unsettled(r, pb.Reason_REASON_DEADLINE, "the process was paused while the request was under way"))
		return nil
	}
	r.deadline = c.now + wait
	r.timer = c.after(wait, func() { c.requestDue(r) })
	return r
}

// requestDue answers a request at its deadline. Everything that a request can
// wait for ends here, so nothing waits without a timeout.
func (c *Core) requestDue(r *waiter) {
	switch {
	case r.sub == nil:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_DEADLINE, "the holder didn't answer in time"))
	case r.sub.phase == claiming:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_STORE_UNAVAILABLE, "the claim couldn't be settled in time"))
	case c.now >= r.sub.deadline:
		c.deadlinePassed(r.sub)
	default:
		c.reply(r, c.unsettled(r, pb.Reason_REASON_DEADLINE, "still in progress"))
	}
}

// reply gives a request its answer. A second reply would reach whoever asks
// next under the same number, with another job's labels.
func (c *Core) reply(r *waiter, a *pb.Answer) {
	if c.requests[r.from] != r {
		panic(fmt.Sprintf("dispatch: second reply to request %d for %s", r.from.request, r.id))
	}
	c.closeRequest(r)
	a = forDigest(a, r)
	if r.from.local() {
		c.emit(Reply{r.from.request, a})
		return
	}
	c.send(r.from.peer, &pb.PeerMessage{Body: &pb.PeerMessage_ForwardAnswer{
		ForwardAnswer: &pb.ForwardAnswer{Request: r.from.request, Answer: a},
	}})
}

// forDigest fits the answer of a submission that was cancelled before its
// payload was known to the payload of a later request.
func forDigest(a *pb.Answer, r *waiter) *pb.Answer {
	if r.cancels() || len(a.GetDigest()) > 0 {
		return a
	}
	fitted := proto.CloneOf(a)
	fitted.Digest = r.digest[:]
	return fitted
}

// closeRequest ends the account of a request.
func (c *Core) closeRequest(r *waiter) {
	c.detach(r)
	delete(c.requests, r.from)
	c.cancelTimer(r.timer)
}

// detach takes a request from what it waits for.
func (c *Core) detach(r *waiter) {
	if r.forward != 0 {
		delete(c.forwarding.forwards, r.forward)
		r.forward = 0
	}
	if r.sub != nil {
		r.sub.removeWaiting(r)
		r.sub = nil
	}
}

func (c *Core) attach(r *waiter, sub *submission) {
	r.sub = sub
	sub.waiters = append(sub.waiters, r)
}

// gone drops a request whose asker doesn't wait any more. A job of which
// nothing has started, and for which nobody waits, is held back until somebody
// asks again.
func (c *Core) gone(r *waiter) {
	sub := r.sub
	c.closeRequest(r)
	if sub != nil {
		c.holdBack(sub)
	}
	c.checkDrained()
}

func (c *Core) holdBack(sub *submission) {
	if sub.phase != held {
		return
	}
	c.queue.Hold(sub.job, len(sub.waiters) == 0 && !sub.assembly.MayHaveRun())
}

func (c *Core) callerGone(from asker) {
	if r := c.requests[from]; r != nil {
		c.gone(r)
	}
}

// askerPeerDown drops the requests that a peer had passed on: their answers
// can't be sent, and the peer has answered them itself.
func (c *Core) askerPeerDown(p task.Incarnation) {
	for _, r := range c.sortedRequests() {
		if r.from.peer == p {
			c.gone(r)
		}
	}
}
