package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Command is an output of the core, to be carried out by the node in order.
type Command interface{ command() }

// Reply answers a caller's request, once.
type Reply struct {
	Request uint64
	Answer  *pb.Answer
}

// StartTask sends a task to an upstream, once, without any retry below. The
// node reports one StartResult: Lost if it can't tell what happened.
type StartTask struct {
	Start    task.StartID
	Upstream string
	// Name is the same for every start of the task.
	Name    string
	Service string
	Payload []byte
	// Deadline is on this process's clock.
	Deadline task.Time
}

// Settle asks an upstream, on a connection other than the one that fell
// silent, what became of a start, and that it never run if it hasn't begun.
// The node reports one StartResult.
type Settle struct {
	Start    task.StartID
	Upstream string
	Name     string
	// UpstreamRun is the run of the upstream known when the task was sent; an
	// answer by another run proves nothing.
	UpstreamRun string
}

// StopTask tells an upstream that a task's result isn't wanted any more. No
// result is reported for it beyond that of its start.
type StopTask struct {
	Start    task.StartID
	Upstream string
	Name     string
}

// ClaimWrite inserts claim rows in one transaction: all or none.
type ClaimWrite struct {
	Batch  uint64
	Claims []Claim
}

// Claim is one claim row to insert.
type Claim struct {
	ID     task.ID
	Digest task.Digest
	// Number tells the claims of this incarnation apart.
	Number uint64
	// TTLSeconds is how long the row must be kept.
	TTLSeconds uint32
}

// Send sends a message to a connected peer.
type Send struct {
	Peer    task.Incarnation
	Message *pb.PeerMessage
}

// JobEnded reports the end of a job held here, for logs and metrics.
type JobEnded struct {
	ID      task.ID
	Outcome pb.Outcome
	Reason  pb.Reason
	Tasks   int
	// Response is the time from arrival to the answer.
	Response task.Time
	// Ideal is the longest run time of its tasks; 0 if unknown.
	Ideal task.Time
}

// SettingsInForce reports that a newer version is in force.
type SettingsInForce struct{ Settings *pb.Settings }

// MembersInForce reports that a newer list of VMs is in force.
type MembersInForce struct{ Members task.Members }

// UpstreamHealth reports that an upstream gets less or more work than before
// because of what its tasks came to, for logs.
type UpstreamHealth struct {
	Upstream string
	// State is open, away, ejected, probing or returning.
	State  string
	Weight float64
}

// Drained reports that a planned stop has nothing left to do.
type Drained struct{}

func (Reply) command()           {}
func (StartTask) command()       {}
func (Settle) command()          {}
func (StopTask) command()        {}
func (ClaimWrite) command()      {}
func (Send) command()            {}
func (JobEnded) command()        {}
func (SettingsInForce) command() {}
func (MembersInForce) command()  {}
func (UpstreamHealth) command()  {}
func (Drained) command()         {}
