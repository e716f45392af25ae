package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// defaultRetryAfterMs is the minimum retry delay if no better estimate exists; retryAfter
// adds a random time of up to the same length.
const defaultRetryAfterMs = 200

// minRetryAfterMs is the shortest retry delay; 0 would mean "do not retry".
const minRetryAfterMs = 1

func (c *Core) retryAfter() uint32 {
	return defaultRetryAfterMs + uint32(c.rng.IntN(defaultRetryAfterMs))
}

// digestBytes returns the wire form of a digest. The zero digest, used for a
// submission whose payload is not known, is empty.
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

// notRunAnswer is the answer to a sealed submission none of whose tasks ran.
func (c *Core) notRunAnswer(sub *submission, reason pb.Reason, detail string) *pb.Answer {
	a := answer(sub, pb.Outcome_OUTCOME_NOT_RUN, reason, detail)
	a.RetryAfterMs = c.retryAfter()
	return a
}

// failedAnswer is the final answer to a submission that may have run and whose
// result is no longer available.
func failedAnswer(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := answerFor(r.id, r.digest, pb.Outcome_OUTCOME_FAILED, reason, detail)
	a.MayHaveRun = true
	return a
}

// retryableAnswer is the answer to a request that could not determine the outcome
// and should be retried.
func (c *Core) retryableAnswer(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := rejectedAnswer(r, reason, detail)
	a.RetryAfterMs = c.retryAfter()
	return a
}

// rejectedAnswer rejects a request without an outcome for the submission.
func rejectedAnswer(r *waiter, reason pb.Reason, detail string) *pb.Answer {
	a := answerFor(r.id, r.digest, pb.Outcome_OUTCOME_UNKNOWN, reason, detail)
	a.MayHaveRun = true
	return a
}

func (c *Core) replyAll(sub *submission, a *pb.Answer) {
	for len(sub.waiters) > 0 {
		c.reply(sub.waiters[0], a)
	}
}
