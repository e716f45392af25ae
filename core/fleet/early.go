package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// earlyWait is how long requests wait for the shards to be known. At a restart
// that is a tenth of a second after the process accepts connections, and callers
// of the shortest jobs wait for a second and a half.
const earlyWait = 300 * time.Millisecond

// earlyRequest came before the shards were known.
type earlyRequest struct {
	request  uint64
	job      *workload.Job
	arrived  Time
	patience time.Duration
}

// arriveEarly keeps a request until the shards are known.
func (n *Node) arriveEarly(now Time, request uint64, job *workload.Job, patience time.Duration) {
	n.early = append(n.early, earlyRequest{request: request, job: job, arrived: now, patience: patience})
}

// admitEarly hands those requests on, now that the shards are known.
func (n *Node) admitEarly(now Time) {
	for _, e := range n.early {
		n.gateway.Submit(now, e.request, n.ofJob(e.job), e.job, e.patience-(now-e.arrived))
	}
	n.early = nil
}

// expireEarly answers those that have waited long enough. Their callers may have
// sent them by another entry VM before, so that isn't a refusal.
func (n *Node) expireEarly(now Time) {
	n.early = slices.DeleteFunc(n.early, func(e earlyRequest) bool {
		if now-e.arrived < min(earlyWait, e.patience) {
			return false
		}
		n.emit(Answer{gateway.Reply{
			Request: e.request, Job: e.job, Outcome: workload.GaveUp, RetryAfter: retryStopping,
			Reason: "the shards aren't known yet", Elapsed: now - e.arrived,
		}})
		return true
	})
}

// leftEarly forgets the request of a caller that has gone.
func (n *Node) leftEarly(request uint64) {
	n.early = slices.DeleteFunc(n.early, func(e earlyRequest) bool { return e.request == request })
}
