package settings

import (
	"google.golang.org/protobuf/proto"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxApplyAttempts limits the reads and writes of one change, so that the operator gets an
// answer within seconds if the outcome is uncertain.
const maxApplyAttempts = 6

// ApplyStep is the next action of the caller of an Apply.
type ApplyStep int

// The steps.
const (
	// ApplyRead: read the settings row and report it by Read.
	ApplyRead ApplyStep = iota + 1
	// ApplyWrite: write Next on the condition that the row's version is still RowVersion, and
	// report the result by Written.
	ApplyWrite
	// ApplyEnded: the Outcome is final.
	ApplyEnded
)

// ApplyOutcome is the outcome of a change.
type ApplyOutcome int

// The outcomes.
const (
	// Applied: this change, and no other, was committed under its version.
	Applied ApplyOutcome = iota + 1
	// Conflicted: the row isn't at the expected version, and this change never takes effect.
	Conflicted
	// NotWritten: the row couldn't be read or written within the attempts, and no write of this
	// change takes effect.
	NotWritten
	// Unsettled: a write may have taken effect or may still do so.
	Unsettled
)

// Apply is one operator's change of the settings: a compare-and-set on the settings row. It does
// no input or output; the caller carries out the steps.
//
// A reply can be lost after the write took effect. If that were reported as a failure, the
// operator would apply the change again on top of itself. If it were reported as a success
// without a check, two operators could each get the answer that their change is version N. Therefore
// the row is read again after a lost reply, and each change has a random number that
// distinguishes it from another operator's change with the same content.
type Apply struct {
	expected   uint64
	next       *pb.Settings
	rowVersion uint64
	step       ApplyStep
	outcome    ApplyOutcome
	current    uint64
	attempts   int
	// uncertain: a write was sent and got no reply.
	uncertain bool
}

// NewApply starts a change of the settings whose current version is expected. The number change
// is random and not 0.
func NewApply(expected uint64, s *pb.Settings, change uint64) *Apply {
	next := proto.Clone(s).(*pb.Settings)
	next.Version = expected + 1
	next.Change = change
	return &Apply{expected: expected, next: next, step: ApplyRead}
}

// Step is the next action.
func (a *Apply) Step() ApplyStep { return a.step }

// Next returns the settings to write. They must not be changed.
func (a *Apply) Next() *pb.Settings { return a.next }

// RowVersion is the version of the row on which the write is conditional.
func (a *Apply) RowVersion() uint64 { return a.rowVersion }

// Outcome is the outcome of the change; 0 before ApplyEnded.
func (a *Apply) Outcome() ApplyOutcome { return a.outcome }

// Current is the settings version that was read or written last.
func (a *Apply) Current() uint64 { return a.current }

// Read reports the settings in the row, nil if there is no row, and the row's version. ok is
// false if the row couldn't be read.
func (a *Apply) Read(stored *pb.Settings, rowVersion uint64, ok bool) {
	if a.step != ApplyRead {
		panic("settings: Read in another step than ApplyRead")
	}
	if !ok {
		a.retry()
		return
	}
	a.current = stored.GetVersion()
	switch {
	case a.current == a.expected:
		a.rowVersion = rowVersion
		a.step = ApplyWrite
	case a.current == a.next.GetVersion() && a.uncertain && stored.GetChange() == a.next.GetChange():
		a.end(Applied)
	case a.current > a.next.GetVersion() && a.uncertain:
		// A newer version has replaced it; whose change was this version is no longer known.
		a.end(Unsettled)
	default:
		a.end(Conflicted)
	}
}

// Written reports a write: whether the table service committed it, and whether it answered (ok).
func (a *Apply) Written(committed, ok bool) {
	if a.step != ApplyWrite {
		panic("settings: Written in another step than ApplyWrite")
	}
	if ok && committed {
		a.current = a.next.GetVersion()
		a.end(Applied)
		return
	}
	a.uncertain = a.uncertain || !ok
	a.step = ApplyRead
	a.retry()
}

func (a *Apply) retry() {
	a.attempts++
	if a.attempts < maxApplyAttempts {
		return
	}
	if a.uncertain {
		a.end(Unsettled)
		return
	}
	a.end(NotWritten)
}

func (a *Apply) end(o ApplyOutcome) {
	a.outcome = o
	a.step = ApplyEnded
}
