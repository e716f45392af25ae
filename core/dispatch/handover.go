package dispatch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// handoverAckTimeout bounds the wait for one acknowledgement.
	handoverAckTimeout = 2 * time.Second
	// handoverLimit bounds the whole handover.
	handoverLimit = 6 * time.Second
	// handoverChunkBytes is the approximate size of one message.
	handoverChunkBytes = 256 << 10
)

// handover transfers the retained answers of a process that stops as planned, and
// the record of which of its ids were never used, to one peer. It begins when nothing
// is in progress and admission is closed for good, so the transferred state is final:
// the peer answers from it and starts nothing.
type handover struct {
	// to is the peer that receives the messages; tried are this and earlier ones.
	to       task.Incarnation
	messages []*pb.Handover
	next     int
	tried    map[task.Incarnation]bool
	deadline task.Time
	timer    *timer
	done     bool
}

// beginHandover closes admission for good and begins with the first peer.
func (c *Core) beginHandover() {
	c.admissionClosed = true
	h := &handover{
		messages: c.handoverMessages(),
		tried:    make(map[task.Incarnation]bool),
		deadline: c.now + handoverLimit,
	}
	c.succession.handover = h
	c.handoverToNextPeer()
}

// handoverToNextPeer restarts the handover with another peer. Without one the stop
// proceeds; the answers are then lost to their callers, but nothing runs twice.
func (c *Core) handoverToNextPeer() {
	h := c.succession.handover
	c.cancelTimer(h.timer)
	to, ok := c.handoverPeer()
	if !ok || c.now >= h.deadline {
		h.done = true
		return
	}
	h.to = to
	h.tried[to] = true
	h.next = 0
	c.sendHandover()
}

// handoverPeer selects a peer that is not stopping, preferably in the same failure
// domain.
func (c *Core) handoverPeer() (task.Incarnation, bool) {
	var best task.Incarnation
	found := false
	for _, name := range c.sortedPeers() {
		p := c.peers[name]
		if c.succession.handover.tried[name] || p.status.GetStopping() {
			continue
		}
		if !found || p.failureDomain == c.cfg.FailureDomain && c.peers[best].failureDomain != c.cfg.FailureDomain {
			best, found = name, true
		}
	}
	return best, found
}

func (c *Core) sendHandover() {
	h := c.succession.handover
	m := h.messages[h.next]
	c.send(h.to, &pb.PeerMessage{Body: &pb.PeerMessage_Handover{Handover: m}})
	h.timer = c.after(handoverAckTimeout, c.handoverToNextPeer)
}

func (c *Core) handoverAcked(from task.Incarnation, ack *pb.HandoverAck) {
	h := c.succession.handover
	if h == nil || h.done || h.to != from || ack.GetSequence() != h.messages[h.next].GetSequence() {
		return
	}
	c.cancelTimer(h.timer)
	h.next++
	if h.next == len(h.messages) {
		h.done = true
		return
	}
	c.sendHandover()
}

func (c *Core) handoverPeerDown(p task.Incarnation) {
	if h := c.succession.handover; h != nil && !h.done && h.to == p {
		c.handoverToNextPeer()
	}
}

// handoverMessages builds the handover messages; the last one names the incarnations
// that the receiver adopts.
func (c *Core) handoverMessages() []*pb.Handover {
	current := &pb.Handover{Sequence: 1, From: c.cfg.Self.Proto()}
	messages := []*pb.Handover{current}
	bytes := 0
	retainUntil := c.now + c.cfg.IDValidity
	for _, k := range c.answers.All() {
		if bytes > handoverChunkBytes {
			current = &pb.Handover{Sequence: current.GetSequence() + 1, From: c.cfg.Self.Proto()}
			messages = append(messages, current)
			bytes = 0
		}
		handed := &pb.HandedClaim{Institution: k.ID.Institution, Answer: k.Answer, KeepMs: c.retentionMs(k.Until)}
		current.Claims = append(current.Claims, handed)
		bytes += proto.Size(handed)
		retainUntil = max(retainUntil, k.Until)
	}
	current.Last = true
	current.Holders = append(c.handedAdopted(), handedHolder(c.cfg.Self, c.issuer.ValidBlocks(c.now), c.retentionMs(retainUntil)))
	return messages
}

func (c *Core) retentionMs(until task.Time) uint32 {
	return uint32(max(until-c.now, 0).Milliseconds())
}

func handedHolder(holder task.Incarnation, blocks []claim.Block, retentionMs uint32) *pb.HandedHolder {
	h := &pb.HandedHolder{Holder: holder.Proto(), KeepMs: retentionMs}
	for _, b := range blocks {
		h.Blocks = append(h.Blocks, &pb.HandedBlock{First: b.First, Count: b.Count, Used: b.Used})
	}
	return h
}
