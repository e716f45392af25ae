package dispatch

import (
	"maps"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// statusOnlyKind is the kind of a message that carries nothing but a status.
const statusOnlyKind = "status"

// Counters are the inputs of the metrics. Reading them costs the same however many
// submissions are in progress.
type Counters struct {
	Summary Dump
	// Submissions and RunningStarts are current numbers.
	Submissions   int
	RunningStarts int
	Peers         int
	// QueuedTasks is the number of waiting tasks by institution.
	QueuedTasks map[string]int
	// Refusals is the number of refused jobs by reason.
	Refusals map[string]uint64
	// UpstreamsLimited is the number of upstreams not in full use.
	UpstreamsLimited int
	// PeerMessages is the number of messages sent to peers by kind.
	PeerMessages map[string]uint64
}

// Counters returns the current counters.
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
		PeerMessages:     maps.Clone(c.sentByKind),
	}
}

// countPeerMessage counts a message by the proto field name of its body.
func (c *Core) countPeerMessage(m *pb.PeerMessage) {
	if c.sentByKind == nil {
		c.sentByKind = make(map[string]uint64)
	}
	r := m.ProtoReflect()
	kind := statusOnlyKind
	if body := r.WhichOneof(r.Descriptor().Oneofs().ByName("body")); body != nil {
		kind = string(body.Name())
	}
	c.sentByKind[kind]++
}
