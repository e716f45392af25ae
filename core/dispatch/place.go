package dispatch

import (
	"strconv"
	"time"

	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// refusedSlotCooldown is how long a slot stays unused after a start on it was
	// refused by a working upstream: another process is using the slot.
	refusedSlotCooldown = 100 * time.Millisecond
	// unknownSlotCooldown is how long a slot whose task may still be running stays
	// unused.
	unknownSlotCooldown = 2 * time.Second
)

// start is one start of one task.
type start struct {
	id    task.StartID
	sub   *submission
	index int
	slot  task.Slot
	name  string
	sent  task.Time
	// attempt is the number of earlier starts of the task, none of which ran it.
	attempt int
	// settles is how often the upstream was asked for the outcome.
	settles int
	// run is the run of the upstream known when the task was sent.
	run string
	// slotCooldown is how long the slot stays unused after the start is closed.
	slotCooldown time.Duration
	taskInfo     taskInfo
}

// place starts waiting tasks on idle slots, and borrows slots for tasks that would
// wait too long.
func (c *Core) place() {
	c.pool.EndCooldowns(c.now)
	for _, inst := range c.settings.Current().GetInstitutions() {
		c.placeFor(inst)
	}
}

func (c *Core) placeFor(inst *pb.Institution) {
	name := inst.GetName()
	c.recordEmptyQueue(name)
	for c.pool.Idle(name) > 0 {
		ref, ok := c.nextTask(name)
		if !ok {
			c.lendIdleSlots(name)
			c.scheduleReturn(inst)
			return
		}
		if c.giveUpInfeasible(ref) {
			continue
		}
		slot, _ := c.pool.Acquire(name)
		c.startTask(ref, slot)
	}
	if c.belowCeiling(name) {
		c.borrow(inst)
	}
}

// release frees the slot of a closed start, at once or after its cooldown.
func (c *Core) release(s *start) {
	if s.slotCooldown == 0 {
		c.pool.Release(s.slot)
		return
	}
	c.pool.ReleaseWithCooldown(s.slot, c.now+s.slotCooldown)
	c.after(s.slotCooldown, func() { c.pool.EndCooldowns(c.now) })
}

func taskName(id task.ID, index int) string {
	return taskPrefix(id) + strconv.Itoa(index)
}

func taskPrefix(id task.ID) string {
	return id.String() + "/"
}

func (c *Core) startTask(ref queue.Ref, slot task.Slot) {
	sub := c.jobs[ref.Job]
	c.assertMayStart(sub)
	if sub.taskPrefix == "" {
		sub.taskPrefix = taskPrefix(sub.id)
	}
	c.lastStart++
	s := &start{
		id:      c.lastStart,
		sub:     sub,
		index:   ref.Index,
		slot:    slot,
		name:    sub.taskPrefix + strconv.Itoa(ref.Index),
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
	c.recordStart(s)
	c.emit(StartTask{
		Start:    s.id,
		Upstream: slot.Upstream,
		Name:     s.name,
		Service:  sub.request.GetService(),
		Payload:  sub.request.GetTasks()[ref.Index].GetPayload(),
		Deadline: sub.deadline,
	})
}
