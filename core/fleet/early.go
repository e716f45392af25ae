package fleet

import (
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// startPeriod is how long after its start a process lets jobs wait for as long as their callers'
// timeouts allow. It exceeds the time in which all processes of a fleet that start together have
// registered, connected and chosen leaders. A process that reaches no scheduler for longer is
// probably cut off, and ends jobs early.
const startPeriod = 3 * time.Second

// starting reports whether this process has started recently and hasn't reached a scheduler yet.
func (n *Node) starting(now Time) bool {
	return now-n.startedAt < startPeriod && !n.reachedScheduler
}

// updateStarting updates what depends on starting.
func (n *Node) updateStarting(now Time) {
	n.reachedScheduler = n.reachedScheduler || n.gateway.HasReachableScheduler()
	n.gateway.SetStarting(n.starting(now))
}

// earlyTimeout is how long requests wait for the shards to become known, if that takes longer
// than startPeriod.
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

// canWait reports whether a request can wait longer for the shards to become known.
func (n *Node) canWait(now Time, e earlyRequest) bool {
	limit := min(earlyTimeout, e.remainingTimeout)
	if n.starting(now) {
		limit = max(limit, e.remainingTimeout-e.job.TimeToAnswer())
	}
	return now-e.arrived < limit
}

// expireEarly answers the requests that can't wait any longer.
func (n *Node) expireEarly(now Time) {
	n.earlyRequests = slices.DeleteFunc(n.earlyRequests, func(e earlyRequest) bool {
		if n.canWait(now, e) {
			return false
		}
		n.answerEarly(now, e, workload.NotConfigured, "the shards aren't known yet")
		return true
	})
}

// giveUpEarly answers all queued requests.
func (n *Node) giveUpEarly(now Time, reason string) {
	for _, e := range n.earlyRequests {
		n.answerEarly(now, e, workload.ProcessEnding, reason)
	}
	n.earlyRequests = nil
}

// answerEarly answers a queued request. Its caller may have submitted the same job to another
// entry VM before, so the outcome isn't NotRun.
func (n *Node) answerEarly(now Time, e earlyRequest, cause workload.RefusalCause, reason string) {
	n.emit(Answer{gateway.Reply{
		Request: e.request, Job: e.job, Outcome: workload.GaveUp, RetryAfter: stopRetryAfter,
		Cause: cause, Reason: reason, Elapsed: now - e.arrived,
	}})
}

// dropEarly drops the queued request of a caller that has disconnected.
func (n *Node) dropEarly(request uint64) {
	n.earlyRequests = slices.DeleteFunc(n.earlyRequests, func(e earlyRequest) bool { return e.request == request })
}
