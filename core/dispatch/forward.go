package dispatch

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// forward is a request passed on to the holder of its claim.
type forward struct {
	from       asker
	holder     task.Incarnation
	id         task.ID
	digest     task.Digest
	submission *pb.Submission
	// cancel marks a passed-on cancellation, which carries no digest.
	cancel bool
}

func (c *Core) sortedForwards() []uint64 {
	list := make([]uint64, 0, len(c.forwards))
	for id := range c.forwards {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// holderOut answers for a holder that isn't connected.
func (c *Core) holderOut(from asker, holder task.Incarnation, id *pb.SubmissionId, digest task.Digest) {
	if run, known := c.runs[holder.Node]; known && run != holder.Run {
		a := reject(id, digest, pb.Reason_REASON_HOLDER_GONE, "the process that held the claim has ended", 0)
		a.Outcome = pb.Outcome_OUTCOME_FAILED
		c.reply(from, a)
		return
	}
	c.reply(from, reject(id, digest, pb.Reason_REASON_HOLDER_UNREACHABLE, "the process that holds the claim can't be reached", c.retryAfter()))
}

// forwardTo passes a request on to the holder of its claim.
func (c *Core) forwardTo(from asker, holder task.Incarnation, s *pb.Submission, institution string) {
	digest := task.DigestOf(s)
	if c.peers[holder] == nil || !from.local() {
		c.holderOut(from, holder, s.GetId(), digest)
		return
	}
	c.lastForward++
	request := c.lastForward
	id := task.IDOf(institution, s.GetId())
	c.forwards[request] = &forward{from: from, holder: holder, id: id, digest: digest, submission: s}
	c.stats.Forwards++
	wait := c.forwardWait(institution, s)
	c.send(holder, &pb.PeerMessage{Body: &pb.PeerMessage_Forward{Forward: &pb.Forward{
		Request:     request,
		Institution: institution,
		Submission:  s,
		RemainingMs: uint32(wait.Milliseconds()),
		Holder:      holder.Proto(),
	}}})
	c.after(wait, func() {
		f := c.forwards[request]
		if f == nil {
			return
		}
		delete(c.forwards, request)
		c.reply(f.from, reject(s.GetId(), digest, pb.Reason_REASON_DEADLINE, "the holder didn't answer in time", c.retryAfter()))
	})
}

func (c *Core) forwardWait(institution string, s *pb.Submission) time.Duration {
	if inst := c.settings.Institution(institution); inst != nil {
		return allowed(inst, s)
	}
	return time.Duration(s.GetTimeoutMs()) * time.Millisecond
}

// forwarded handles a request that a peer passed on.
func (c *Core) forwarded(from task.Incarnation, f *pb.Forward) {
	a := asker{from, f.GetRequest()}
	s := f.GetSubmission()
	if task.IncarnationOf(f.GetHolder()) != c.cfg.Self {
		c.holderOut(a, task.IncarnationOf(f.GetHolder()), s.GetId(), task.DigestOf(s))
		return
	}
	id := task.IDOf(f.GetInstitution(), s.GetId())
	if !id.Issued() && c.submissions[id] == nil {
		// The row names this incarnation, so the claim was held here and its
		// answer is no longer kept: starting it now would be a second run.
		d := task.DigestOf(s)
		gone := reject(s.GetId(), d, pb.Reason_REASON_ID_EXPIRED, "the answer isn't kept any more", 0)
		gone.Outcome = pb.Outcome_OUTCOME_FAILED
		c.reply(a, gone)
		return
	}
	// The message is shared with nobody, so its timeout may be shortened to
	// what is left of the caller's.
	s.TimeoutMs = max(f.GetRemainingMs(), 1)
	c.submit(a, f.GetInstitution(), s)
}

// forwardAnswer passes a holder's answer on. One that isn't for the request it
// names is dropped: it would hand one kitchen another kitchen's label.
func (c *Core) forwardAnswer(from task.Incarnation, fa *pb.ForwardAnswer) {
	f := c.forwards[fa.GetRequest()]
	if f == nil || f.holder != from || !c.matches(f, fa.GetAnswer()) {
		c.stats.ForeignAnswers++
		return
	}
	delete(c.forwards, fa.GetRequest())
	c.reply(f.from, fa.GetAnswer())
}

func (c *Core) matches(f *forward, a *pb.Answer) bool {
	if task.IDOf(f.id.Institution, a.GetId()) != f.id {
		return false
	}
	return f.cancel || string(a.GetDigest()) == string(f.digest[:])
}
