package ledger

import (
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Ownership is one process's hold on a shard's rows.
type Ownership struct {
	// Epoch counts the times that the shard was taken.
	Epoch uint64
	// Version is that of the ownership row, on which writes are conditional.
	Version uint64
}

// Outcome is what came of a call to the store.
type Outcome uint8

// The outcomes of calls.
const (
	// Applied: done.
	Applied Outcome = iota
	// Superseded: another process owns the shard; nothing was done.
	Superseded
	// Rejected: the store has refused the call and done nothing.
	Rejected
	// Unanswered: nobody knows; it may still be carried out.
	Unanswered
)

var outcomeNames = [...]string{"applied", "superseded", "turned-away", "unanswered"}

// String is for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Command is an output of the ledger.
type Command interface{ command() }

// Claim takes the shard's rows, or renews the ownership of an epoch, which makes
// earlier writes void. A ClaimResult follows.
type Claim struct {
	Call uint64
	// Renew is the epoch to be renewed; it is Superseded if this process doesn't
	// own the shard under that epoch any more. 0 takes the shard from whoever
	// has it, and begins an epoch.
	Renew uint64
	// Excluded are VMs to which the store is to refuse the shard for ExclusionTime.
	Excluded []string
}

// Read reads all records. A ReadResult follows.
type Read struct{ Call uint64 }

// Check reads the version of the ownership row. A CheckResult follows.
type Check struct{ Call uint64 }

// Write saves records if the ownership row has the version. A WriteResult
// follows.
type Write struct {
	Call    uint64
	Version uint64
	Records []Record
}

// Loaded gives all records to the scheduler.
type Loaded struct {
	At    Time
	Epoch uint64
	// ClaimedAt is when the call was answered that took the shard.
	ClaimedAt Time
	Records   []Record
}

// Saved says which records are in the store.
type Saved struct {
	At      Time
	Records []SavedRecord
}

// SavedRecord is the newest record of a job that is in the store.
type SavedRecord struct {
	Job      workload.JobID
	Sequence uint64
}

// Verified says that this process owned the shard at the time OwnedAt.
type Verified struct{ At, OwnedAt Time }

// Lost says that another process has taken the shard.
type Lost struct{ At Time }

func (Claim) command()    {}
func (Read) command()     {}
func (Check) command()    {}
func (Write) command()    {}
func (Loaded) command()   {}
func (Saved) command()    {}
func (Verified) command() {}
func (Lost) command()     {}

// Result is what came of a call to the store.
type Result interface{ result() }

func (ClaimResult) result() {}
func (ReadResult) result()  {}
func (CheckResult) result() {}
func (WriteResult) result() {}

// ClaimResult reports on a Claim.
type ClaimResult struct {
	Call      uint64
	Outcome   Outcome
	Ownership Ownership
	// SentAt is when the call was sent.
	SentAt Time
}

// ReadResult reports on a Read.
type ReadResult struct {
	Call    uint64
	Outcome Outcome
	Records []Record
}

// CheckResult reports on a Check.
type CheckResult struct {
	Call    uint64
	Outcome Outcome
	Version uint64
	// SentAt is when the call was sent.
	SentAt Time
}

// WriteResult reports on a Write.
type WriteResult struct {
	Call    uint64
	Outcome Outcome
	// SentAt is when the call was sent.
	SentAt Time
}
