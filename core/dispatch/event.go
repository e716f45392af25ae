package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Event is an input to the core.
type Event interface{ event() }

// Submit is a caller's submission. Request is chosen by the node and comes
// back in Reply.
type Submit struct {
	Request     uint64
	Institution string
	Submission  *pb.Submission
}

// Cancel is a caller's wish to end a submission.
type Cancel struct {
	Request     uint64
	Institution string
	ID          *pb.SubmissionId
}

// CallerGone says that nobody waits for the reply to a request any more.
type CallerGone struct{ Request uint64 }

// StartResult is the news of one task start, from its own connection or from
// a Settle.
type StartResult struct {
	Start  task.StartID
	Result task.Result
}

// ClaimResult answers a ClaimWrite.
type ClaimResult struct {
	Batch uint64
	// OK is false if the table service didn't answer; the write may or may not
	// have taken effect.
	OK bool
	// Conflicts are the rows that stood in the way; empty if all were written.
	Conflicts []ClaimConflict
}

// ClaimConflict is a claim row that exists.
type ClaimConflict struct {
	ID     task.ID
	Holder task.Incarnation
	Digest task.Digest
	// Number is the Claim.Number under which the holder wrote it.
	Number uint64
}

// MembersChanged brings the platform's list.
type MembersChanged struct{ Members task.Members }

// MembersRead says that the platform's list was read and hasn't changed.
type MembersRead struct{}

// SettingsRead brings the settings row as read from the table service.
type SettingsRead struct{ Settings *pb.Settings }

// PeerUp says that a connection with a peer stands and messages flow.
type PeerUp struct {
	Peer          task.Incarnation
	FailureDomain string
}

// PeerDown says that the connection is lost; messages sent on it may be lost.
type PeerDown struct{ Peer task.Incarnation }

// PeerMessage is a message from a connected peer.
type PeerMessage struct {
	Peer    task.Incarnation
	Message *pb.PeerMessage
}

// Drain starts the planned stop.
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
