package dispatch

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxSuccession bounds the chain of successors that is followed for one holder.
const maxSuccession = 16

// adopted is an ended incarnation whose successor is this process.
type adopted struct {
	// issuer is the record of which of its ids were used.
	issuer *claim.Issuer
	until  task.Time
}

// successor is the peer that answers for an ended incarnation.
type successor struct {
	by    task.Incarnation
	until task.Time
}

// adopt takes over the retained answers of a peer that stops as planned. Each message
// is self-contained and may arrive twice; only the last one makes this process the
// successor, which answers also for ids without a retained answer.
func (c *Core) adopt(from task.Incarnation, h *pb.Handover) {
	if c.draining || task.IncarnationOf(h.GetFrom()) != from {
		return
	}
	for _, k := range h.GetClaims() {
		id := task.IDOf(k.GetInstitution(), k.GetAnswer().GetId())
		c.answers.Put(id, k.GetAnswer(), c.now+msDuration(k.GetKeepMs()))
	}
	for _, holder := range h.GetHolders() {
		c.adoptHolder(holder)
	}
	c.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_HandoverAck{HandoverAck: &pb.HandoverAck{Sequence: h.GetSequence()}}})
	if !h.GetLast() {
		return
	}
	for _, p := range c.sortedPeers() {
		if p != from {
			c.announceAdopted(p)
		}
	}
}

func (c *Core) adoptHolder(h *pb.HandedHolder) {
	holder := task.IncarnationOf(h.GetHolder())
	if holder == c.cfg.Self || c.succession.adopted[holder] != nil {
		return
	}
	until := c.now + msDuration(h.GetKeepMs())
	var blocks []claim.Block
	for _, b := range h.GetBlocks() {
		blocks = append(blocks, claim.Block{First: b.GetFirst(), Count: b.GetCount(), Used: b.GetUsed()})
	}
	c.succession.adopted[holder] = &adopted{claim.Restore(blocks, until), until}
}

// answerAdopted answers a request for an ended incarnation whose successor this process
// is. The answer may have been handed over while the claim of the same key was being written
// here. An id that the incarnation had not used will never be used: it closed admission
// before the handover.
func (c *Core) answerAdopted(r *waiter, holder task.Incarnation) {
	if retained := c.answers.Get(r.id); retained != nil {
		c.replyRetained(r, retained)
		return
	}
	// There is no record of the holder if the record has expired, while the notice that
	// names the holder's successor is still valid here and that successor has handed over
	// to this process.
	a := c.succession.adopted[holder]
	if a != nil && r.id.Issued() && a.issuer.State(c.now, r.id.Number) == claim.Fresh {
		result := answerFor(r.id, r.digest, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_HOLDER_GONE, "the process that issued the id stopped before it was used")
		// A submission under another id works at once; 0 would mean "do not retry".
		result.RetryAfterMs = minRetryAfterMs
		c.reply(r, result)
		return
	}
	c.reply(r, failedAnswer(r, pb.Reason_REASON_ID_EXPIRED, "the process that held the claim has stopped and the answer isn't kept"))
}

// successorOf returns the incarnation that answers for a holder: the holder itself,
// unless it has handed over.
func (c *Core) successorOf(holder task.Incarnation) task.Incarnation {
	for range maxSuccession {
		if c.succession.adopted[holder] != nil {
			return c.cfg.Self
		}
		s, ended := c.succession.successors[holder]
		if !ended {
			return holder
		}
		holder = s.by
	}
	return holder
}

// announceAdopted sends a peer the incarnations that this process has adopted. It is
// repeated on each new connection, for peers that were unreachable before.
func (c *Core) announceAdopted(to task.Incarnation) {
	if len(c.succession.adopted) == 0 {
		return
	}
	notice := &pb.HandoverNotice{}
	for _, holder := range c.adoptedHolders() {
		notice.Holders = append(notice.Holders, handedHolder(holder, nil, c.retentionMs(c.succession.adopted[holder].until)))
	}
	c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_HandoverNotice{HandoverNotice: notice}})
}

func (c *Core) recordSuccessor(from task.Incarnation, n *pb.HandoverNotice) {
	for _, h := range n.GetHolders() {
		holder := task.IncarnationOf(h.GetHolder())
		if holder != c.cfg.Self && holder != from {
			c.succession.successors[holder] = successor{from, c.now + msDuration(h.GetKeepMs())}
		}
	}
}

// handedAdopted lists the incarnations that this process has adopted, for its own handover.
func (c *Core) handedAdopted() []*pb.HandedHolder {
	var list []*pb.HandedHolder
	for _, holder := range c.adoptedHolders() {
		a := c.succession.adopted[holder]
		list = append(list, handedHolder(holder, a.issuer.ValidBlocks(c.now), c.retentionMs(a.until)))
	}
	return list
}

func (c *Core) adoptedHolders() []task.Incarnation {
	return slices.SortedFunc(maps.Keys(c.succession.adopted), compareIncarnations)
}

func (c *Core) adoptedNames() []string {
	var names []string
	for _, holder := range c.adoptedHolders() {
		names = append(names, holder.String())
	}
	return names
}

func (c *Core) expireAdopted() {
	maps.DeleteFunc(c.succession.adopted, func(_ task.Incarnation, a *adopted) bool { return a.until <= c.now })
	maps.DeleteFunc(c.succession.successors, func(_ task.Incarnation, s successor) bool { return s.until <= c.now })
}
