package schedule

// StopReason is why a run is ordered to stop.
type StopReason uint8

// The reasons.
const (
	// StopOverdue: the run takes far longer than estimated.
	StopOverdue StopReason = iota
	// StopUnconfirmed: orders to start the run stayed unanswered or were rejected after one had.
	StopUnconfirmed
	// StopOrphan: the run belongs to no task here.
	StopOrphan
	// StopTaskDone: another run has completed the task.
	StopTaskDone
	// StopJobEnded: the job was cancelled, has failed or was given up.
	StopJobEnded
	// StopNotOwner: another process may have taken the shard's rows in the store.
	StopNotOwner
	// StopStillListed: the runner has answered an order to stop the run, and lists it for longer than that takes.
	StopStillListed
	stopReasons
)

var stopReasonNames = [stopReasons]string{
	"overdue", "unconfirmed", "orphan", "task-done", "job-ended", "not-owner", "still-listed",
}

// String returns the reason's name in logs.
func (r StopReason) String() string { return stopReasonNames[r] }

// StopCounts are numbers of orders to stop runs by StopReason.
type StopCounts [stopReasons]uint64

// Plus returns the sum.
func (c StopCounts) Plus(o StopCounts) StopCounts {
	for i := range c {
		c[i] += o[i]
	}
	return c
}
