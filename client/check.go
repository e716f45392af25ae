package client

import (
	"bytes"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// ErrMismatchedAnswer reports an answer to another submission.
var ErrMismatchedAnswer = errors.New("the answer isn't for this submission")

// ErrIncompleteAnswer reports an answer that calls itself complete without exactly one
// result a task.
var ErrIncompleteAnswer = errors.New("the answer isn't whole")

// verifyAnswer compares an answer with its submission. An answer crossed with another
// would put one kitchen's allergens on another's label; a short one would send
// trays out unmarked.
func verifyAnswer(s *pb.Submission, a *pb.Answer) error {
	digest := task.DigestOf(s)
	if !sameID(a.GetId(), s.GetId()) || !bytes.Equal(a.GetDigest(), digest[:]) {
		return ErrMismatchedAnswer
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
		return nil
	}
	if len(a.GetResults()) != len(s.GetTasks()) {
		return ErrIncompleteAnswer
	}
	for i, r := range a.GetResults() {
		if r.GetIndex() != uint32(i) {
			return ErrIncompleteAnswer
		}
	}
	return nil
}

func sameID(a, b *pb.SubmissionId) bool {
	id := task.IDOf("", a)
	return id.Valid() && id == task.IDOf("", b)
}
