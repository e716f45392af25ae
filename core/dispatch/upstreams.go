package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/health"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// overdue is how many times its expected run time a task must have been out
// before an upstream that gave no result is blamed for it.
const overdue = 4

// upstream is what this process knows of one upstream.
type upstream struct {
	run string
}

// terms is what a start needs to remember of its task after the job's end.
type terms struct {
	service string
	team    string
	// declared and expected are the task's run time.
	declared, expected time.Duration
}

// noteStart takes account of a start that is about to be sent.
func (c *Core) noteStart(s *start) {
	request := s.sub.request
	declared := declaredRun(s.sub, s.index)
	institution := s.sub.id.Institution
	s.terms = terms{
		service:  request.GetService(),
		team:     request.GetTeam(),
		declared: declared,
		expected: c.admission.estimate.ExpectedRunTime(institution, request.GetService(), declared),
	}
	c.admission.inUse[institution]++
	c.noteWaiting(s.sub, -1)
	c.admission.quotas.Started(institution, s.terms.team)
	if s.attempt == 0 {
		c.budgets.Started(institution, s.slot.Upstream)
	}
}

// noteEnd takes account of a start that is settled.
func (c *Core) noteEnd(s *start) {
	institution := s.sub.id.Institution
	c.admission.inUse[institution]--
	c.admission.quotas.Ended(institution, s.terms.team)
}

// noteResult tells the health of upstreams and the estimate of run times what
// came of a start.
func (c *Core) noteResult(s *start, r task.Result) {
	took := c.now - s.sent
	o, telling := outcomeOf(s, r, took)
	if !telling {
		return
	}
	slowness := 0.0
	if o == health.Succeeded {
		c.admission.estimate.Observe(s.sub.id.Institution, s.terms.service, s.terms.declared, took)
		slowness = float64(took) / float64(max(s.terms.expected, time.Millisecond))
	}
	c.health.Observe(c.now, health.Result{
		Upstream: s.slot.Upstream,
		Service:  s.terms.service,
		Outcome:  o,
		Sent:     s.sent,
		Slowness: slowness,
	})
	c.reweigh()
}

// outcomeOf says what a result tells of its upstream, if anything. A task that
// was told to stop fails for that reason, unless it was long overdue.
func outcomeOf(s *start, r task.Result, took time.Duration) (health.Outcome, bool) {
	wanted := s.sub.phase == held
	switch r.Verdict {
	case task.Finished:
		return health.Succeeded, true
	case task.Failed, task.Unknown:
		return health.TaskFailed, wanted || took > overdue*s.terms.expected
	case task.NotStarted:
		if r.Refused {
			return health.Refused, wanted
		}
		return health.Unreachable, wanted
	case task.Lost:
		return health.Unreachable, true
	}
	return 0, false
}

// reweigh passes changed weights on to the slots.
func (c *Core) reweigh() {
	for _, change := range c.health.TakeChanges() {
		c.pool.SetWeight(change.Upstream, change.Weight)
		if change.NewState {
			c.emit(UpstreamHealth{change.Upstream, change.State, change.Weight})
		}
		if change.Weight == 0 {
			c.after(change.Until-c.now, c.healthDue)
		}
	}
}

func (c *Core) healthDue() {
	c.health.Tick(c.now)
	c.reweigh()
}

// retryLater makes a task startable again that never ran, after a back-off and
// within the budgets. A retry that would come too late isn't waited for.
func (c *Core) retryLater(s *start) {
	sub := s.sub
	c.noteWaiting(sub, 1)
	r := c.budgets.Next(c.now, sub.deadline, sub.id.Institution, s.slot.Upstream, s.attempt)
	if r.UpstreamExhausted {
		c.health.Close(c.now, s.slot.Upstream)
		c.reweigh()
	}
	if !r.OK {
		c.giveUp(sub, pb.Reason_REASON_OVERLOADED, "upstreams refuse it and it can't be tried again in its time")
		return
	}
	ref := queue.Ref{Job: sub.job, Index: s.index}
	c.after(r.Delay, func() { c.queue.Requeue(ref) })
}

// upstreamsListed takes the upstreams to be reckoned with.
func (c *Core) upstreamsListed(m task.Members) {
	for _, u := range m.Upstreams {
		if c.upstreams[u.Name] == nil {
			c.upstreams[u.Name] = &upstream{}
		}
	}
	c.health.SetMembers(m.Upstreams)
	c.budgets.SetMembers(m.Upstreams)
	c.admission.workers = sizesOf(m.Upstreams)
	c.reweigh()
}

// addTerms lets what peers need to know of quotas and upstreams ride on a
// status.
func (c *Core) addTerms(to task.Incarnation, st *pb.PeerStatus) {
	st.Quotas = c.admission.quotas.Status(c.now, to)
	st.Ejected = c.health.Ejected()
}

// seeTerms takes what a peer's status says of quotas and upstreams.
func (c *Core) seeTerms(from task.Incarnation, st *pb.PeerStatus) {
	c.admission.quotas.Receive(c.now, from, st.GetQuotas())
	if !c.cfg.Health.Alone {
		c.health.Reported(from.Node, st.GetEjected())
	}
}

func (c *Core) termsPeerDown(p task.Incarnation) {
	c.admission.quotas.PeerDown(p)
	c.health.Reported(p.Node, nil)
}
