package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/health"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// overdueFactor is the multiple of its expected run time that a task of an ended job must
// have run for its failure to count against the upstream.
const overdueFactor = 4

// upstream is the state of one upstream.
type upstream struct {
	// run identifies the run of its process that gave the latest result; empty if none is known.
	run string
}

// taskInfo is the part of a task that its start needs after the end of the job.
type taskInfo struct {
	service string
	team    string
	// declared and expected are the declared and the corrected run time.
	declared, expected time.Duration
}

// recordStart accounts for a start that is about to be sent.
func (c *Core) recordStart(s *start) {
	request := s.sub.request
	declared := declaredRun(s.sub, s.index)
	institution := s.sub.id.Institution
	s.taskInfo = taskInfo{
		service:  request.GetService(),
		team:     request.GetTeam(),
		declared: declared,
		expected: c.admission.estimate.ExpectedRunTime(institution, request.GetService(), declared),
	}
	c.admission.inUse[institution]++
	c.countWaiting(s.sub, -1)
	c.admission.quotas.Started(institution, s.taskInfo.team)
	if s.attempt == 0 {
		c.budgets.Started(institution, s.slot.Upstream)
	}
}

// recordEnd accounts for a closed start.
func (c *Core) recordEnd(s *start) {
	institution := s.sub.id.Institution
	c.admission.inUse[institution]--
	c.admission.quotas.Ended(institution, s.taskInfo.team)
}

// recordResult passes the result of a start to the upstream health and the run time
// estimate.
func (c *Core) recordResult(s *start, r task.Result) {
	took := c.now - s.sent
	o, conclusive := outcomeOf(s, r, took)
	if !conclusive {
		return
	}
	slowness := 0.0
	if o == health.Succeeded {
		c.admission.estimate.Observe(s.sub.id.Institution, s.taskInfo.service, s.taskInfo.declared, took)
		slowness = float64(took) / float64(max(s.taskInfo.expected, time.Millisecond))
	}
	c.health.Observe(c.now, health.Result{
		Upstream: s.slot.Upstream,
		Service:  s.taskInfo.service,
		Outcome:  o,
		Sent:     s.sent,
		Slowness: slowness,
	})
	c.applyWeights()
}

// outcomeOf derives the health outcome of an upstream from a result; false if the result
// allows no conclusion about the upstream. A task of an ended job was told to stop and fails
// for that reason, so its failure counts only if it was long overdue.
func outcomeOf(s *start, r task.Result, took time.Duration) (health.Outcome, bool) {
	jobOpen := s.sub.phase == held
	switch r.Verdict {
	case task.Finished:
		return health.Succeeded, true
	case task.Failed, task.Unknown:
		return health.TaskFailed, jobOpen || took > overdueFactor*s.taskInfo.expected
	case task.NotStarted:
		if r.Refused {
			return health.Refused, jobOpen
		}
		return health.Unreachable, jobOpen
	case task.Lost:
		return health.Unreachable, true
	}
	return 0, false
}

// applyWeights passes changed upstream weights on to the slot pool.
func (c *Core) applyWeights() {
	for _, change := range c.health.TakeChanges() {
		c.pool.SetWeight(change.Upstream, change.Weight)
		if change.NewState {
			c.emit(UpstreamHealth{change.Upstream, change.State, change.Weight})
		}
		if change.Weight == 0 {
			c.after(change.Until-c.now, c.tickHealth)
		}
	}
}

func (c *Core) tickHealth() {
	c.health.Tick(c.now)
	c.applyWeights()
}

// scheduleRetry makes a task that never ran startable again, after a backoff and
// within the retry budgets. If the retry would be too late, the job ends at once.
func (c *Core) scheduleRetry(s *start) {
	sub := s.sub
	c.countWaiting(sub, 1)
	r := c.budgets.Next(c.now, sub.deadline, sub.id.Institution, s.slot.Upstream, s.attempt)
	if r.UpstreamExhausted {
		c.health.MarkUnavailable(c.now, s.slot.Upstream)
		c.applyWeights()
	}
	if !r.OK {
		c.giveUp(sub, pb.Reason_REASON_OVERLOADED, "upstreams refuse it and it can't be tried again in its time")
		return
	}
	ref := queue.Ref{Job: sub.job, Index: s.index}
	c.after(r.Delay, func() { c.queue.Requeue(ref) })
}

// setUpstreams takes the upstreams of a new list.
func (c *Core) setUpstreams(m task.Members) {
	for _, u := range m.Upstreams {
		if c.upstreams[u.Name] == nil {
			c.upstreams[u.Name] = &upstream{}
		}
	}
	c.health.SetMembers(m.Upstreams)
	c.budgets.SetMembers(m.Upstreams)
	c.admission.totals = totalsOf(m.Upstreams)
	c.applyWeights()
}

// addSharedState adds the quota state and the ejected upstreams to the status for a
// peer.
func (c *Core) addSharedState(to task.Incarnation, st *pb.PeerStatus) {
	st.Quotas = c.admission.quotas.Status(c.now, to)
	st.Ejected = c.health.Ejected()
}

// receiveSharedState takes the quota state and the ejected upstreams from the status
// of a peer.
func (c *Core) receiveSharedState(from task.Incarnation, st *pb.PeerStatus) {
	c.admission.quotas.Receive(c.now, from, st.GetQuotas())
	if !c.cfg.Health.IgnorePeers {
		c.health.SetPeerReport(from.Node, st.GetEjected())
	}
}

func (c *Core) dropSharedState(p task.Incarnation) {
	c.admission.quotas.PeerDown(p)
	c.health.SetPeerReport(p.Node, nil)
}
