package dispatch

import (
	"fmt"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// start is one start of one task.
type start struct {
	id      task.StartID
	sub     *submission
	index   int
	slot    task.Slot
	name    string
	sent    task.Time
	attempt int
	settles int
	// run is the upstream's run known when the task was sent.
	run string
}

// upstream is what this process knows of one upstream.
type upstream struct {
	run string
}

// place starts waiting tasks while there are idle slots.
func (c *Core) place() {
	for _, inst := range c.settings.Current().GetInstitutions() {
		for c.pool.Idle(inst.GetName()) > 0 {
			ref, ok := c.queue.Next(c.now, inst.GetName())
			if !ok {
				break
			}
			slot, _ := c.pool.Acquire(inst.GetName())
			c.startTask(ref, slot)
		}
	}
}

func taskName(id task.ID, index int) string {
	return fmt.Sprintf("%s/%d", id, index)
}

func (c *Core) startTask(ref queue.Ref, slot task.Slot) {
	sub := c.jobs[ref.Job]
	c.mustHold(sub)
	c.lastStart++
	s := &start{
		id:      c.lastStart,
		sub:     sub,
		index:   ref.Index,
		slot:    slot,
		name:    taskName(sub.id, ref.Index),
		sent:    c.now,
		attempt: sub.attempts[ref.Index],
	}
	if u := c.upstreams[slot.Upstream]; u != nil {
		s.run = u.run
	}
	sub.assembly.Start(ref.Index, s.id)
	c.starts[s.id] = s
	sub.running[s.id] = s
	c.stats.Starts++
	if s.attempt == 0 {
		c.budgets[sub.id.Institution].Started()
	}
	c.emit(StartTask{
		Start:    s.id,
		Upstream: slot.Upstream,
		Name:     s.name,
		Service:  sub.request.GetService(),
		Payload:  sub.request.GetTasks()[ref.Index].GetPayload(),
		Deadline: sub.deadline,
	})
}
