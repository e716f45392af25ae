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

// maxSettles is how often an upstream is asked about a lost start before its
// slot is given up.
const maxSettles = 10

// startResult handles the news of a start. News of a start that is settled is
// late or doubled, and dropped.
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
	c.noteResult(s, r)
	switch r.Verdict {
	case task.Finished:
		c.finished(s, r)
	case task.Failed:
		c.settled(s)
		c.taskFailed(s, pb.Reason_REASON_TASK_FAILED, r.Detail)
	case task.NotStarted:
		c.notStarted(s, r)
	case task.Running, task.Lost:
		c.settleLater(s)
	case task.Unknown:
		s.hold = unknownHold
		c.settled(s)
		c.taskFailed(s, pb.Reason_REASON_TASK_UNKNOWN, r.Detail)
	}
}

// settled ends the account of a start and frees its slot.
func (c *Core) settled(s *start) {
	delete(c.starts, s.id)
	delete(s.sub.running, s.id)
	c.noteEnd(s)
	c.release(s)
}

func (c *Core) finished(s *start, r task.Result) {
	c.settled(s)
	c.observe(s.sub.id.Institution, c.now-s.sent)
	sub := s.sub
	if sub.phase != held {
		c.stats.LateResults++
		return
	}
	sub.assembly.Finish(s.index, s.id, r.Output)
	sub.longest = max(sub.longest, c.now-s.sent)
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

// notStarted makes a task startable again, after a back-off.
func (c *Core) notStarted(s *start, r task.Result) {
	if r.Refused {
		s.hold = refusedHold
	}
	c.settled(s)
	c.stats.NotStarted++
	sub := s.sub
	if sub.phase != held {
		return
	}
	if !sub.assembly.NotStarted(s.index, s.id) {
		panic("dispatch: not-started verdict on a task that isn't started: " + s.name)
	}
	sub.attempts[s.index]++
	c.retryLater(s)
}

// settleLater asks the upstream what became of a start whose connection fell
// silent. The task may be running, so nobody may start it again before the
// upstream says that it never will.
func (c *Core) settleLater(s *start) {
	s.settles++
	c.stats.Settles++
	if s.settles > maxSettles {
		s.hold = unknownHold
		c.settled(s)
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

// stopRunning tells upstreams that the results of an ended job aren't wanted:
// one message a running task.
func (c *Core) stopRunning(sub *submission) {
	ids := slices.Sorted(maps.Keys(sub.running))
	for _, id := range ids {
		s := sub.running[id]
		c.stats.Stops++
		c.emit(StopTask{s.id, s.slot.Upstream, s.name})
	}
}
