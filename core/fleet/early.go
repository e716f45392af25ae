package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// earlyTimeout is how long requests wait for the shards to become known. After a restart they
// are known a tenth of a second after the first caller's connection is accepted, and callers of
// the shortest jobs wait for 1.5 s.
const earlyTimeout = 300 * time.Millisecond

// earlyRequest is a request that arrived before the shards were known.
type earlyRequest struct {
	request          uint64
	job              *workload.Job
	arrived          Time
	remainingTimeout time.Duration
}

// queueEarly queues a request until the shards are known.
func (n *Node) queueEarly(now Time, request uint64, job *workload.Job, remainingTimeout time.Duration) {
	n.earlyRequests = append(n.earlyRequests, earlyRequest{request: request, job: job, arrived: now, remainingTimeout: remainingTimeout})
}

// admitEarly passes the queued requests to the gateway once the shards are known.
func (n *Node) admitEarly(now Time) {
	for _, e := range n.earlyRequests {
		n.gateway.Submit(now, e.request, n.shardOfJob(e.job), e.job, e.remainingTimeout-(now-e.arrived))
	}
	n.earlyRequests = nil
}

// expireEarly answers the requests that have reached earlyTimeout. Their callers may have
// submitted the same jobs to another entry VM before, so the outcome isn't NotRun.
func (n *Node) expireEarly(now Time) {
	n.earlyRequests = slices.DeleteFunc(n.earlyRequests, func(e earlyRequest) bool {
		if now-e.arrived < min(earlyTimeout, e.remainingTimeout) {
			return false
		}
		n.emit(Answer{gateway.Reply{
			Request: e.request, Job: e.job, Outcome: workload.GaveUp, RetryAfter: stopRetryAfter,
			Reason: "the shards aren't known yet", Elapsed: now - e.arrived,
		}})
		return true
	})
}

// dropEarly drops the queued request of a caller that has disconnected.
func (n *Node) dropEarly(request uint64) {
	n.earlyRequests = slices.DeleteFunc(n.earlyRequests, func(e earlyRequest) bool { return e.request == request })
}
