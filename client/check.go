package client

import (
	"bytes"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// ErrForeignAnswer reports an answer to another submission.
var ErrForeignAnswer = errors.New("the answer isn't for this submission")

// ErrNotWhole reports an answer that calls itself complete without exactly one
// result a task.
var ErrNotWhole = errors.New("the answer isn't whole")

// check compares an answer with its submission. An answer crossed with another
// would put one kitchen's allergens on another's label; a short one would send
// trays out unmarked.
func check(s *pb.Submission, a *pb.Answer) error {
	digest := task.DigestOf(s)
	if !sameID(a.GetId(), s.GetId()) || !bytes.Equal(a.GetDigest(), digest[:]) {
		return ErrForeignAnswer
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		return nil
	}
	if len(a.GetResults()) != len(s.GetTasks()) {
		return ErrNotWhole
	}
	for i, r := range a.GetResults() {
		if r.GetIndex() != uint32(i) {
			return ErrNotWhole
		}
	}
	return nil
}

func sameID(a, b *pb.SubmissionId) bool {
	id := task.IDOf("", a)
	return id.Valid() && id == task.IDOf("", b)
}
