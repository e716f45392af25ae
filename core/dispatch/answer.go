package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// defaultRetryAfterMs is when to come back if nothing better is known.
const defaultRetryAfterMs = 200

func (c *Core) retryAfter() uint32 {
	return defaultRetryAfterMs + uint32(c.rng.IntN(defaultRetryAfterMs))
}

func answer(sub *submission, outcome pb.Outcome, reason pb.Reason, detail string) *pb.Answer {
	return &pb.Answer{
		Id:      sub.id.Proto(),
		Digest:  sub.digest[:],
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

// unknown is the answer when this request couldn't settle the outcome.
func unknown(sub *submission, reason pb.Reason, detail string, retryAfterMs uint32) *pb.Answer {
	a := answer(sub, pb.Outcome_OUTCOME_UNKNOWN, reason, detail)
	a.MayHaveRun = true
	a.RetryAfterMs = retryAfterMs
	return a
}

// reject turns a request away without a word on the submission.
func reject(id *pb.SubmissionId, digest task.Digest, reason pb.Reason, detail string, retryAfterMs uint32) *pb.Answer {
	return &pb.Answer{
		Id:           id,
		Digest:       digest[:],
		Outcome:      pb.Outcome_OUTCOME_UNKNOWN,
		Reason:       reason,
		Detail:       detail,
		MayHaveRun:   true,
		RetryAfterMs: retryAfterMs,
	}
}

func (c *Core) replyAll(sub *submission, a *pb.Answer) {
	for _, from := range sub.askers {
		c.reply(from, a)
	}
	sub.askers = nil
}

func (c *Core) reply(to asker, a *pb.Answer) {
	if to.local() {
		c.emit(Reply{to.request, a})
		return
	}
	c.send(to.peer, &pb.PeerMessage{Body: &pb.PeerMessage_ForwardAnswer{
		ForwardAnswer: &pb.ForwardAnswer{Request: to.request, Answer: a},
	}})
}
