package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// defaultRetryAfterMs is when to come back if nothing better is known.
const defaultRetryAfterMs = 200

// atOnceMs is the least that still says that coming back is worthwhile.
const atOnceMs = 1

func (c *Core) retryAfter() uint32 {
	return defaultRetryAfterMs + uint32(c.rng.IntN(defaultRetryAfterMs))
}

// digestBytes is the wire form of a digest; a zero digest, of a submission
// whose payload was never seen, is empty.
func digestBytes(d task.Digest) []byte {
	if d == (task.Digest{}) {
		return nil
	}
	return d[:]
}

func answer(sub *submission, outcome pb.Outcome, reason pb.Reason, detail string) *pb.Answer {
	return answerFor(sub.id, sub.digest, outcome, reason, detail)
}

func answerFor(id task.ID, digest task.Digest, outcome pb.Outcome, reason pb.Reason, detail string) *pb.Answer {
	return &pb.Answer{
		Id:      id.Proto(),
		Digest:  digestBytes(digest),
		Outcome: outcome,
		Reason:  reason,
		Detail:  detail,
	}
}

// notRun is the word for a sealed submission none of whose tasks ran.
func (c *Core) notRun(sub *submission, reason pb.Reason, detail string) *pb.Answer {
	a := answer(sub, pb.Outcome_OUTCOME_NOT_RUN, reason, detail)
	a.RetryAfterMs = c.retryAfter()
	return a
}

// failed is the final word on a submission that may have run and whose answer
// can't be had any more.
func failed(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := answerFor(r.id, r.digest, pb.Outcome_OUTCOME_FAILED, reason, detail)
	a.MayHaveRun = true
	return a
}

// unsettled is the answer when this request couldn't settle the outcome and
// asking again is worthwhile.
func (c *Core) unsettled(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := rejected(r, reason, detail)
	a.RetryAfterMs = c.retryAfter()
	return a
}

// rejected turns a request away without a word on the submission.
func rejected(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := answerFor(r.id, r.digest, pb.Outcome_OUTCOME_UNKNOWN, reason, detail)
	a.MayHaveRun = true
	return a
}

func (c *Core) replyAll(sub *submission, a *pb.Answer) {
	for len(sub.waiters) > 0 {
		c.reply(sub.waiters[0], a)
	}
}
