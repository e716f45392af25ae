package settings

import (
	"google.golang.org/protobuf/proto"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxApplyAttempts limits the failed reads and writes of one change, so that the operator gets an
// answer within seconds if the outcome stays uncertain.
const maxApplyAttempts = 6

// ApplyStep is the next action that the user of an Apply has to carry out.
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
	// Applied: this change, and no other, was committed as the settings version after the expected
	// one.
	Applied ApplyOutcome = iota + 1
	// Conflicted: the settings in the row aren't at the expected version, and this change never
	// takes effect.
	Conflicted
	// NotWritten: the row couldn't be read or written within the attempts, and no write of this
	// change takes effect.
	NotWritten
	// Unsettled: a write may have taken effect or may still do so.
	Unsettled
)

// Apply is one operator's change of the settings: a compare-and-set on the row of the table service
// that has the settings. It does no input or output; its user carries out the steps.
//
// A reply can be lost after the write took effect. If that were reported as a failure, the
// operator would apply the change again on top of itself. If it were reported as a success
// without a check, two operators could each get the answer that their change is version N. Therefore
// the row is read again after a lost reply. Each change has a random number, by which it is
// distinguished there from another operator's change with the same content.
type Apply struct {
	// expected is the settings version on which the change is based; next has the version after it.
	expected uint64
	next     *pb.Settings
	// rowVersion is the row's version in the table service, which isn't that of the settings.
	rowVersion uint64
	step       ApplyStep
	outcome    ApplyOutcome
	current    uint64
	// attempts is the number of failed reads and writes.
	attempts int
	// uncertain: a write was sent and got no reply.
	uncertain bool
}

// NewApply starts a change from the settings version expected to the settings s, whose version
// becomes expected+1. change is the random number of the change; it must not be 0.
func NewApply(expected uint64, s *pb.Settings, change uint64) *Apply {
	next := proto.Clone(s).(*pb.Settings)
	next.Version = expected + 1
	next.Change = change
	return &Apply{expected: expected, next: next, step: ApplyRead}
}

// Step is the next action to carry out.
func (a *Apply) Step() ApplyStep { return a.step }

// Next returns the settings to write. They must not be changed.
func (a *Apply) Next() *pb.Settings { return a.next }

// RowVersion is the row version on which the write is conditional.
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
		// A still newer version has replaced the version of this change in the row. Whether that was
		// this change or another operator's is no longer recorded.
		a.end(Unsettled)
	default:
		a.end(Conflicted)
	}
}

// Written reports the result of a write: whether the table service committed it, and whether it
// answered (ok). Unless the write was committed, the row is read again, up to maxApplyAttempts.
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

// retry counts a failed read or write, and ends the change after maxApplyAttempts of them.
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
