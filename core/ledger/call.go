package ledger

import (
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Ownership is one process's ownership of a shard's rows.
type Ownership struct {
	// Epoch counts the times that the shard was claimed by a new owner.
	Epoch uint64
	// Version is the version of the ownership row, on which writes are conditional.
	Version uint64
}

// Outcome is the outcome of a call to the store.
type Outcome uint8

// The outcomes of calls.
const (
	// Applied: the store carried out the call.
	Applied Outcome = iota
	// Superseded: another process owns the shard; the call had no effect.
	Superseded
	// Rejected: the store refused the call, which had no effect.
	Rejected
	// Unanswered: the outcome is unknown; the store may still carry out the call.
	Unanswered
)

var outcomeNames = [...]string{"applied", "superseded", "turned-away", "unanswered"}

// String is the name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Command is an output of the ledger.
type Command interface{ command() }

// Claim takes the shard's rows, or renews the ownership of an epoch. Either voids earlier
// writes that haven't been carried out. A ClaimResult follows.
type Claim struct {
	Call uint64
	// Renew is the epoch to be renewed; the outcome is Superseded if this process doesn't
	// own the shard under that epoch any more. 0 takes the shard from its present owner
	// and begins a new epoch.
	Renew uint64
	// Excluded are VMs to which the store refuses the shard for ExclusionTime.
	Excluded []string
}

// Read reads all records of the shard. A ReadResult follows.
type Read struct{ Call uint64 }

// Check reads the version of the ownership row. A CheckResult follows.
type Check struct{ Call uint64 }

// Write saves records on condition that the ownership row has the version. A WriteResult
// follows.
type Write struct {
	Call    uint64
	Version uint64
	Records []Record
}

// Loaded passes all records of the shard to the scheduler.
type Loaded struct {
	At    Time
	Epoch uint64
	// ClaimedAt is when the Claim was answered.
	ClaimedAt Time
	Records   []Record
}

// Saved lists records that are in the store.
type Saved struct {
	At      Time
	Records []SavedRecord
}

// SavedRecord is the newest record of a job that is in the store.
type SavedRecord struct {
	Job      workload.JobID
	Sequence uint64
}

// Verified confirms that this process owned the shard at the time OwnedAt.
type Verified struct{ At, OwnedAt Time }

// Lost reports that another process has claimed the shard.
type Lost struct{ At Time }

func (Claim) command()    {}
func (Read) command()     {}
func (Check) command()    {}
func (Write) command()    {}
func (Loaded) command()   {}
func (Saved) command()    {}
func (Verified) command() {}
func (Lost) command()     {}

// Result is the result of a call to the store.
type Result interface{ result() }

func (ClaimResult) result() {}
func (ReadResult) result()  {}
func (CheckResult) result() {}
func (WriteResult) result() {}

// ClaimResult is the result of a Claim.
type ClaimResult struct {
	Call      uint64
	Outcome   Outcome
	Ownership Ownership
	// SentAt is when the call was sent.
	SentAt Time
}

// ReadResult is the result of a Read.
type ReadResult struct {
	Call    uint64
	Outcome Outcome
	Records []Record
}

// CheckResult is the result of a Check.
type CheckResult struct {
	Call    uint64
	Outcome Outcome
	Version uint64
	// SentAt is when the call was sent.
	SentAt Time
}

// WriteResult is the result of a Write.
type WriteResult struct {
	Call    uint64
	Outcome Outcome
	// SentAt is when the call was sent.
	SentAt Time
}
