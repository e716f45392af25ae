package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Command is an output of the core. The node executes commands in order.
type Command interface{ command() }

// Reply answers a caller's request. There is exactly one for each request.
type Reply struct {
	Request uint64
	Answer  *pb.Answer
}

// StartTask sends a task to an upstream once; the node does not retry it. The
// node reports one StartResult, with verdict Lost if the outcome is unknown.
type StartTask struct {
	Start    task.StartID
	Upstream string
	// Name is the same for every start of the task.
	Name    string
	Service string
	Payload []byte
	// Deadline is on the clock of this process.
	Deadline task.Time
}

// Settle asks an upstream, on a connection other than the unresponsive one, for
// the outcome of a start. A task that has not begun is marked so that it never
// runs. The node reports one StartResult.
type Settle struct {
	Start    task.StartID
	Upstream string
	Name     string
	// UpstreamRun is the run of the upstream known when the task was sent. An answer from
	// another run does not settle the start.
	UpstreamRun string
}

// StopTask informs an upstream that the result of a task is no longer needed. It produces no
// result of its own besides that of the start.
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

// Claim is a claim row to insert.
type Claim struct {
	ID     task.ID
	Digest task.Digest
	// Number distinguishes the claims of this incarnation.
	Number uint64
	// TTLSeconds is how long the row must be retained.
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
	// Ideal is the longest run time of the job's tasks; 0 if unknown.
	Ideal task.Time
}

// SettingsInForce reports that a newer settings version took effect.
type SettingsInForce struct{ Settings *pb.Settings }

// MembersInForce reports that a newer list of VMs took effect.
type MembersInForce struct{ Members task.Members }

// UpstreamHealth reports that an upstream's share of the work changed because of
// its task results, for logs.
type UpstreamHealth struct {
	Upstream string
	// State is open, away, ejected, probing or returning.
	State  string
	Weight float64
}

// ProcessPaused reports that the process has resumed after a pause, for logs.
type ProcessPaused struct{ Length time.Duration }

// Drained reports that a planned stop is complete.
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
func (ProcessPaused) command()   {}
func (UpstreamHealth) command()  {}
func (Drained) command()         {}
