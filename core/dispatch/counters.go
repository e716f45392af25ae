package dispatch

import (
	"maps"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// bareStatus is the kind of a message that carries the status alone.
const bareStatus = "status"

// Counters is what metrics read. Taking it costs the same however many
// submissions are in progress.
type Counters struct {
	Summary Dump
	// Submissions and RunningStarts are present numbers.
	Submissions   int
	RunningStarts int
	Peers         int
	// QueuedTasks counts the waiting tasks of each institution.
	QueuedTasks map[string]int
	// Refusals counts jobs not taken on, by reason.
	Refusals map[string]uint64
	// UpstreamsLimited is the number of upstreams not in full use.
	UpstreamsLimited int
	// PeerMessages counts the messages sent to peers by kind.
	PeerMessages map[string]uint64
}

// Counters describes the present numbers.
func (c *Core) Counters() Counters {
	queued := make(map[string]int)
	for _, inst := range c.settings.Current().GetInstitutions() {
		queued[inst.GetName()] = c.queue.Tasks(inst.GetName())
	}
	refusals := make(map[string]uint64, len(c.admission.refusals))
	for reason, n := range c.admission.refusals {
		refusals[reason.String()] = n
	}
	return Counters{
		Refusals:         refusals,
		UpstreamsLimited: len(c.health.Dump()),
		Summary:          c.summary(),
		Submissions:      len(c.jobs),
		RunningStarts:    len(c.starts),
		Peers:            len(c.peers),
		QueuedTasks:      queued,
		PeerMessages:     maps.Clone(c.sentKinds),
	}
}

// countPeerMessage counts a message by the name of its body in the schema.
func (c *Core) countPeerMessage(m *pb.PeerMessage) {
	if c.sentKinds == nil {
		c.sentKinds = make(map[string]uint64)
	}
	r := m.ProtoReflect()
	kind := bareStatus
	if body := r.WhichOneof(r.Descriptor().Oneofs().ByName("body")); body != nil {
		kind = string(body.Name())
	}
	c.sentKinds[kind]++
}
