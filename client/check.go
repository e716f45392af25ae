package client

import (
	"bytes"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// ErrMismatchedAnswer reports an answer to another submission.
var ErrMismatchedAnswer = errors.New("the answer isn't for this submission")

// ErrIncompleteAnswer reports an answer with outcome complete that doesn't have
// exactly one result per task.
var ErrIncompleteAnswer = errors.New("the answer doesn't have one result per task")

// verifyAnswer compares an answer with its submission. With another caller's
// answer, a kitchen would print another kitchen's allergens on its labels; with
// missing results, trays would go out without a label.
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
