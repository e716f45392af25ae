package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// cancel ends a submission at its caller's wish, here or at its holder.
func (c *Core) cancel(from asker, institution string, wire *pb.SubmissionId) {
	id := task.IDOf(institution, wire)
	sub := c.submissions[id]
	if sub != nil {
		c.cancelHere(from, sub)
		return
	}
	if id.Issued() && id.Holder != c.cfg.Self && from.local() {
		c.forwardCancel(from, id)
		return
	}
	c.reply(from, reject(wire, task.Digest{}, pb.Reason_REASON_INVALID, "no such submission is held here", 0))
}

// cancelHere ends a submission known here. One that has ended keeps its word.
func (c *Core) cancelHere(from asker, sub *submission) {
	c.stats.Cancels++
	switch sub.phase {
	case ended:
		c.reply(from, sub.answer)
	case claiming:
		sub.askers = append(sub.askers, from)
		sub.unresolved = true
		c.end(sub, unknown(sub, pb.Reason_REASON_CANCELLED, "cancelled before its claim was settled", 0))
	case held:
		sub.askers = append(sub.askers, from)
		c.giveUp(sub, pb.Reason_REASON_CANCELLED, "cancelled")
	}
}

func (c *Core) forwardCancel(from asker, id task.ID) {
	if c.peers[id.Holder] == nil {
		c.holderOut(from, id.Holder, id.Proto(), task.Digest{})
		return
	}
	c.lastForward++
	request := c.lastForward
	c.forwards[request] = &forward{from: from, holder: id.Holder, id: id, submission: &pb.Submission{Id: id.Proto()}, cancel: true}
	c.send(id.Holder, &pb.PeerMessage{Body: &pb.PeerMessage_ForwardCancel{ForwardCancel: &pb.ForwardCancel{
		Request:     request,
		Institution: id.Institution,
		Id:          id.Proto(),
	}}})
}

func (c *Core) forwardedCancel(from task.Incarnation, f *pb.ForwardCancel) {
	c.cancel(asker{from, f.GetRequest()}, f.GetInstitution(), f.GetId())
}
