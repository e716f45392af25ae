package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxSettles is how often an upstream is asked about a start without a final result, whose
// verdict is Lost or Running, before the start is given up as unknown.
const maxSettles = 10

// startResult handles the result of a start. Results of closed starts are late or
// duplicates, and are dropped.
func (c *Core) startResult(id task.StartID, r task.Result) {
	s := c.starts[id]
	if s == nil {
		c.stats.LateResults++
		return
	}
	if u := c.upstreams[s.slot.Upstream]; u != nil && r.UpstreamRun != "" {
		u.run = r.UpstreamRun
	}
	if r.Leaving {
		c.upstreamLeaving(s.slot.Upstream)
	}
	c.recordResult(s, r)
	switch r.Verdict {
	case task.Finished:
		c.taskFinished(s, r)
	case task.Failed:
		c.closeStart(s)
		c.taskFailed(s, pb.Reason_REASON_TASK_FAILED, r.Detail)
	case task.NotStarted:
		c.taskNotStarted(s, r)
	case task.Running, task.Lost:
		c.scheduleSettle(s)
	case task.Unknown:
		s.slotCooldown = unknownSlotCooldown
		c.closeStart(s)
		c.taskFailed(s, pb.Reason_REASON_TASK_UNKNOWN, r.Detail)
	}
}

// closeStart removes a start with a final result and frees its slot.
func (c *Core) closeStart(s *start) {
	delete(c.starts, s.id)
	delete(s.sub.running, s.id)
	c.recordEnd(s)
	c.release(s)
}

func (c *Core) taskFinished(s *start, r task.Result) {
	c.closeStart(s)
	c.recordRunTime(s.sub.id.Institution, c.now-s.sent)
	sub := s.sub
	if sub.phase != held {
		c.stats.LateResults++
		return
	}
	sub.assembly.Finish(s.index, s.id, r.Output)
	sub.longestRun = max(sub.longestRun, c.now-s.sent)
	if sub.assembly.Bytes() > c.cfg.MaxJobBytes {
		c.giveUp(sub, pb.Reason_REASON_TOO_LARGE, fmt.Sprintf("the results are larger than %d bytes", c.cfg.MaxJobBytes))
		return
	}
	if !sub.assembly.Complete() {
		return
	}
	a := answer(sub, pb.Outcome_OUTCOME_COMPLETE, pb.Reason_REASON_UNSPECIFIED, "")
	a.Results = sub.assembly.Results()
	c.end(sub, a)
}

func (c *Core) taskFailed(s *start, reason pb.Reason, detail string) {
	if s.sub.phase != held {
		c.stats.LateResults++
		return
	}
	c.giveUp(s.sub, reason, fmt.Sprintf("task %d: %s", s.index, detail))
}

// taskNotStarted makes a task startable again after a backoff.
func (c *Core) taskNotStarted(s *start, r task.Result) {
	if r.Refused {
		s.slotCooldown = refusedSlotCooldown
	}
	c.closeStart(s)
	c.stats.NotStarted++
	sub := s.sub
	if sub.phase != held {
		return
	}
	if !sub.assembly.NotStarted(s.index, s.id) {
		panic("dispatch: not-started verdict on a task that isn't started: " + s.name)
	}
	if c.now >= sub.deadline {
		c.deadlinePassed(sub)
		return
	}
	sub.attempts[s.index]++
	c.scheduleRetry(s)
}

// scheduleSettle asks the upstream for the outcome of a start whose connection stopped
// responding, or of which a former answer was that it is still running. The task may be
// running, so it must not be started again until the upstream confirms that it never will run.
func (c *Core) scheduleSettle(s *start) {
	s.settles++
	c.stats.Settles++
	if s.settles > maxSettles {
		s.slotCooldown = unknownSlotCooldown
		c.closeStart(s)
		c.taskFailed(s, pb.Reason_REASON_TASK_UNKNOWN, "the upstream can't be asked")
		return
	}
	delay := time.Duration(0)
	if s.settles > 1 {
		delay = retry.Delay(c.rng, s.settles+2)
	}
	c.after(delay, func() {
		if c.starts[s.id] == s {
			c.emit(Settle{s.id, s.slot.Upstream, s.name, s.run})
		}
	})
}

// stopRunning sends one StopTask per running task of an ended job, whose results are not
// needed any more.
func (c *Core) stopRunning(sub *submission) {
	ids := slices.Sorted(maps.Keys(sub.running))
	for _, id := range ids {
		s := sub.running[id]
		c.stats.Stops++
		c.emit(StopTask{s.id, s.slot.Upstream, s.name})
	}
}
