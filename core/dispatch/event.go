package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Event is an input to the core.
type Event interface{ event() }

// Submit is a submission by a caller. Request is chosen by the node and repeated
// in Reply.
type Submit struct {
	Request     uint64
	Institution string
	Submission  *pb.Submission
}

// Cancel is a caller's request to cancel a submission.
type Cancel struct {
	Request     uint64
	Institution string
	ID          *pb.SubmissionId
}

// CallerGone reports that the caller of a request has stopped waiting for the
// reply.
type CallerGone struct{ Request uint64 }

// StartResult is the result of one task start, from its own connection or from a
// Settle.
type StartResult struct {
	Start  task.StartID
	Result task.Result
}

// ClaimResult is the result of a ClaimWrite.
type ClaimResult struct {
	Batch uint64
	// OK is false if the table service did not answer; the write may or may not
	// have taken effect.
	OK bool
	// Conflicts are the existing rows that prevented the write; empty if all claims
	// were written.
	Conflicts []ClaimConflict
}

// ClaimConflict is an existing claim row.
type ClaimConflict struct {
	ID     task.ID
	Holder task.Incarnation
	Digest task.Digest
	// Number is the Claim.Number under which the holder wrote it.
	Number uint64
}

// MembersChanged carries a new version of the platform's list of VMs.
type MembersChanged struct{ Members task.Members }

// MembersRead reports that the platform's list was read and is unchanged.
type MembersRead struct{}

// SettingsRead carries the settings row as read from the table service.
type SettingsRead struct{ Settings *pb.Settings }

// PeerUp reports an established connection with a peer.
type PeerUp struct {
	Peer          task.Incarnation
	FailureDomain string
}

// PeerDown reports a lost connection; messages sent on it may be lost.
type PeerDown struct{ Peer task.Incarnation }

// PeerMessage is a message from a connected peer.
type PeerMessage struct {
	Peer    task.Incarnation
	Message *pb.PeerMessage
}

// Drain begins the planned stop.
type Drain struct{}

func (Submit) event()         {}
func (Cancel) event()         {}
func (CallerGone) event()     {}
func (StartResult) event()    {}
func (ClaimResult) event()    {}
func (MembersChanged) event() {}
func (MembersRead) event()    {}
func (SettingsRead) event()   {}
func (PeerUp) event()         {}
func (PeerDown) event()       {}
func (PeerMessage) event()    {}
func (Drain) event()          {}
