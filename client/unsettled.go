package client

import (
	"sync"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxUnsettledIDs bounds the memory of a client whose caller never submits unsettled jobs again.
const maxUnsettledIDs = 10_000

// unsettledIDs are the ids under which a client has submitted jobs whose outcome it doesn't know. The
// zero value is empty. It is safe for concurrent use.
type unsettledIDs struct {
	mu  sync.Mutex
	ids map[task.ID]struct{}
}

func (u *unsettledIDs) has(id *pb.SubmissionId) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[task.IDOf("", id)]
	return ok
}

// note records the result of a submission.
func (u *unsettledIDs) note(id *pb.SubmissionId, a *pb.Answer, err error) {
	known := task.IDOf("", id)
	switch {
	case !known.Valid():
	case err == nil && a.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN:
		u.remove(known)
	case err == nil || isUnsettled(err):
		u.add(known)
	}
}

// isUnsettled reports whether a submission that ended with an error may have started the job.
func isUnsettled(err error) bool {
	var unsettled *UnsettledError
	return errors.As(err, &unsettled) || !isPermanent(err) || isOverLimit(err)
}

func (u *unsettledIDs) remove(id task.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.ids, id)
}

// add adds an id. If there are too many, it drops any other one.
func (u *unsettledIDs) add(id task.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = make(map[task.ID]struct{})
	}
	if len(u.ids) >= maxUnsettledIDs {
		u.dropOne()
	}
	u.ids[id] = struct{}{}
}

func (u *unsettledIDs) dropOne() {
	for id := range u.ids {
		delete(u.ids, id)
		return
	}
}
