package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// size is the largest worker and the number of slots of an institution's
// listed upstreams.
type size struct {
	slots                int
	cpuMillis, memoryMiB uint32
}

// sizesOf sums up the list. A worker of unknown size may be the largest.
func sizesOf(list []task.Upstream) map[string]size {
	sizes := make(map[string]size)
	unknown := make(map[string]bool)
	for _, u := range list {
		s := sizes[u.Institution]
		s.slots += int(u.Slots)
		s.cpuMillis = max(s.cpuMillis, u.CPUMillis)
		s.memoryMiB = max(s.memoryMiB, u.MemoryMiB)
		sizes[u.Institution] = s
		unknown[u.Institution] = unknown[u.Institution] || u.CPUMillis == 0 || u.MemoryMiB == 0
	}
	for name := range unknown {
		if unknown[name] {
			sizes[name] = size{slots: sizes[name].slots}
		}
	}
	return sizes
}

// teamQueue is the waiting tasks of a team, without a break since a time.
type teamQueue struct {
	tasks int
	since task.Time
}

// noteWaiting counts the waiting tasks of a submission's team.
func (c *Core) noteWaiting(sub *submission, n int) {
	key := admission.Key{Institution: sub.id.Institution, Team: sub.request.GetTeam()}
	q, known := c.admission.teams[key]
	if !known {
		q.since = c.now
	}
	q.tasks += n
	if q.tasks == 0 {
		delete(c.admission.teams, key)
		return
	}
	c.admission.teams[key] = q
}

// teamCapacity is what there is for a team within its quota; false if no quota
// limits it.
func (c *Core) teamCapacity(sub *submission, j admission.Job, all admission.Capacity) (admission.Capacity, bool) {
	key := admission.Key{Institution: sub.id.Institution, Team: sub.request.GetTeam()}
	q, waits := c.admission.teams[key]
	stands := waits && c.now-q.since > c.cfg.AdmissionPolicy.OverloadAfter
	units, binding := c.limitUnits(key, stands)
	if key.Team == "" || !binding || c.cfg.AdmissionPolicy.AdmitAll {
		return all, false
	}
	all.Slots = min(all.Slots, units)
	all.Queued = time.Duration(q.tasks) * j.Work / time.Duration(len(sub.request.GetTasks()))
	all.WaitPercent = c.cfg.AdmissionPolicy.WaitPercent
	if stands {
		all.WaitPercent = c.cfg.AdmissionPolicy.OverloadWaitPercent
	}
	return all, true
}

// limitUnits is how many tasks a quota or ceiling will let run here, and
// whether it binds.
//
// Units that aren't used here go to processes that ask for them and come back
// when they are wanted, all within a second or two. Counting only those here at
// the moment, an idle process took itself for exhausted and sent callers away
// from slots that stood idle. What can't be had shows by tasks that wait for
// longer than that; until then the whole limit counts.
func (c *Core) limitUnits(key admission.Key, stands bool) (int, bool) {
	units, binding := c.admission.quotas.Usable(c.now, key)
	if binding && !stands {
		units = max(units, c.admission.quotas.MaxSlots(key.Institution, key.Team))
	}
	return units, binding
}

// queuedWork is the expected run time of the tasks that wait for a slot. Those
// that wait for their team's quota keep no slot from the others; counted, one
// team's backlog would have all teams refused.
func (c *Core) queuedWork(institution string) time.Duration {
	tasks := c.queue.Tasks(institution)
	if tasks == 0 {
		return 0
	}
	blocked := 0
	for key, q := range c.admission.teams {
		if key.Institution == institution && key.Team != "" && !c.admission.quotas.HasCapacity(c.now, key) {
			blocked += q.tasks
		}
	}
	rest := max(tasks-blocked, 0)
	return c.queue.Work(institution) / time.Duration(tasks) * time.Duration(rest)
}

func (c *Core) capacity(sub *submission) admission.Capacity {
	name := sub.id.Institution
	s := c.admission.workers[name]
	most := s.slots
	if limit := c.admission.quotas.MaxSlots(name, sub.request.GetTeam()); limit > 0 && (most == 0 || limit < most) {
		most = limit
	}
	// Lent slots come home as soon as they are spare there. Left out, a process
	// that has lent most of its slots takes a short queue for one that lasts
	// half a minute, and sends callers away for as long.
	idle := c.pool.Idle(name) + c.pool.Lent(name)
	for _, s := range c.lending.seen {
		idle += s.idle[name]
	}
	usable := c.admission.inUse[name] + idle
	stands := c.now-c.admission.lastIdle[name] > c.cfg.AdmissionPolicy.OverloadAfter
	if units, binding := c.limitUnits(admission.Key{Institution: name}, stands); binding {
		usable = min(usable, units)
	}
	return admission.Capacity{
		Slots:       usable,
		MaxSlots:    most,
		Queued:      c.queuedWork(name),
		WaitPercent: c.waitPercent(name),
		CPUMillis:   s.cpuMillis,
		MemoryMiB:   s.memoryMiB,
	}
}

// waitPercent is the part of its time that a job may be expected to wait.
//
// A burst passes, and its jobs are done in time. Under lasting overload the
// queue would stay as long as the longest wait permitted; then every job that
// turns out longer than declared misses its time after it has used slots, and
// less is completed than could be. So the wait is kept short from then on.
func (c *Core) waitPercent(institution string) int {
	if c.now-c.admission.lastIdle[institution] > c.cfg.AdmissionPolicy.OverloadAfter {
		return c.cfg.AdmissionPolicy.OverloadWaitPercent
	}
	return c.cfg.AdmissionPolicy.WaitPercent
}

// noteQueue notes when nothing waits.
func (c *Core) noteQueue(institution string) {
	if c.queue.Tasks(institution) == 0 {
		c.admission.lastIdle[institution] = c.now
	}
}
