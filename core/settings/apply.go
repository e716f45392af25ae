package settings

import (
	"google.golang.org/protobuf/proto"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxApplyAttempts bounds the reads and writes of one change, so that the operator
// hears within seconds that it isn't settled.
const maxApplyAttempts = 6

// ApplyStep is what the owner of an Apply has to do next.
type ApplyStep int

// The steps.
const (
	// ApplyRead: read the settings row and report it by Read.
	ApplyRead ApplyStep = iota + 1
	// ApplyWrite: write Next on the condition that the row has still the
	// version RowVersion, and report by Written.
	ApplyWrite
	// ApplyEnded: the outcome stands.
	ApplyEnded
)

// ApplyOutcome is how a change ended.
type ApplyOutcome int

// The outcomes.
const (
	// Applied: the change was committed under its version, and nobody else's.
	Applied ApplyOutcome = iota + 1
	// Conflicted: another change has that version; this one never takes effect.
	Conflicted
	// NotWritten: the row couldn't be read; nothing was written.
	NotWritten
	// Unsettled: a write may have taken effect or may yet.
	Unsettled
)

// Apply is one operator's change of the settings: a compare-and-set on the
// settings row. It does no input or output: the owner carries out the steps.
//
// A reply can be lost after the write took effect. Reported as a failure, the
// operator would apply again on top of the own change; reported as a success
// without looking, two operators could both believe that theirs is version N.
// So a lost reply is settled by reading back, and the change carries a random
// number that tells it from another operator's with the same content.
type Apply struct {
	expected   uint64
	next       *pb.Settings
	rowVersion uint64
	step       ApplyStep
	outcome    ApplyOutcome
	current    uint64
	attempts   int
	// uncertain is set when a write was sent and its reply is lost.
	uncertain bool
}

// NewApply begins a change of the settings with the expected version. The
// change number is random and not 0.
func NewApply(expected uint64, s *pb.Settings, change uint64) *Apply {
	next := proto.Clone(s).(*pb.Settings)
	next.Version = expected + 1
	next.Change = change
	return &Apply{expected: expected, next: next, step: ApplyRead}
}

// Step is what has to be done next.
func (a *Apply) Step() ApplyStep { return a.step }

// Next is the settings to write. It must not be changed.
func (a *Apply) Next() *pb.Settings { return a.next }

// RowVersion is the condition of the write.
func (a *Apply) RowVersion() uint64 { return a.rowVersion }

// Outcome is how the change ended; 0 before ApplyEnded.
func (a *Apply) Outcome() ApplyOutcome { return a.outcome }

// Current is the settings version that was read last.
func (a *Apply) Current() uint64 { return a.current }

// Read reports the settings in the row, nil if there is no row, and the row's
// version. ok is false if it couldn't be read.
func (a *Apply) Read(stored *pb.Settings, rowVersion uint64, ok bool) {
	if a.step != ApplyRead {
		panic("settings: a read that wasn't asked for")
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
		// The version has passed; whose it was can't be told any more.
		a.end(Unsettled)
	default:
		a.end(Conflicted)
	}
}

// Written reports a write: whether the table service answered, and whether it
// committed.
func (a *Apply) Written(committed, ok bool) {
	if a.step != ApplyWrite {
		panic("settings: a write that wasn't asked for")
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
