package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/task"
)

// upstreamTotals are the number of slots of an institution's listed upstreams and
// the size of its largest worker; 0 means that the size is unknown.
type upstreamTotals struct {
	slots                int
	cpuMillis, memoryMiB uint32
}

// totalsOf sums up the list by institution. If the size of any worker is unknown,
// it may be the largest, so the size is reported as unknown.
func totalsOf(list []task.Upstream) map[string]upstreamTotals {
	totals := make(map[string]upstreamTotals)
	unknown := make(map[string]bool)
	for _, u := range list {
		s := totals[u.Institution]
		s.slots += int(u.Slots)
		s.cpuMillis = max(s.cpuMillis, u.CPUMillis)
		s.memoryMiB = max(s.memoryMiB, u.MemoryMiB)
		totals[u.Institution] = s
		unknown[u.Institution] = unknown[u.Institution] || u.CPUMillis == 0 || u.MemoryMiB == 0
	}
	for name := range unknown {
		if unknown[name] {
			totals[name] = upstreamTotals{slots: totals[name].slots}
		}
	}
	return totals
}

// teamQueue counts the waiting tasks of a team. since is when the first of them arrived after
// the team had none waiting.
type teamQueue struct {
	tasks int
	since task.Time
}

// countWaiting adds n to the waiting tasks of a submission's team.
func (c *Core) countWaiting(sub *submission, n int) {
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

// teamCapacity returns the capacity available to a team within its quota; false if
// no quota limits it.
func (c *Core) teamCapacity(sub *submission, j admission.Job, all admission.Capacity) (admission.Capacity, bool) {
	key := admission.Key{Institution: sub.id.Institution, Team: sub.request.GetTeam()}
	q, waits := c.admission.teams[key]
	overloaded := waits && c.now-q.since > c.cfg.AdmissionPolicy.OverloadAfter
	units, binding := c.usableUnits(key, overloaded)
	if key.Team == "" || !binding || c.cfg.AdmissionPolicy.AdmitAll {
		return all, false
	}
	all.Slots = min(all.Slots, units)
	all.Queued = time.Duration(q.tasks) * j.Work / time.Duration(len(sub.request.GetTasks()))
	all.WaitPercent = c.cfg.AdmissionPolicy.WaitPercent
	if overloaded {
		all.WaitPercent = c.cfg.AdmissionPolicy.OverloadWaitPercent
	}
	return all, true
}

// usableUnits returns how many tasks a quota or ceiling lets run at this process,
// and whether the limit is binding.
//
// A unit of a quota or ceiling is the right to use one slot. Unused units are lent to
// processes that request them, and return within a second or two when they are needed
// here. If only the units present were counted, an idle process that has lent its units
// would refuse jobs while slots are idle, so the whole limit counts at first. Once tasks
// have been waiting for OverloadAfter (overloaded), the units are evidently not available
// and only those present count.
func (c *Core) usableUnits(key admission.Key, overloaded bool) (int, bool) {
	units, binding := c.admission.quotas.Usable(c.now, key)
	if binding && !overloaded {
		units = max(units, c.admission.quotas.MaxSlots(key.Institution, key.Team))
	}
	return units, binding
}

// queuedWork returns the expected run time of the tasks that wait for a slot. Tasks
// that wait for their team's quota take no slot from others and are not counted;
// otherwise the backlog of one team would cause jobs of all teams to be refused.
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

// capacity returns the slots and the backlog of a submission's institution, from which
// admission.Decide derives the expected wait.
func (c *Core) capacity(sub *submission) admission.Capacity {
	name := sub.id.Institution
	s := c.admission.totals[name]
	maxSlots := s.slots
	if limit := c.admission.quotas.MaxSlots(name, sub.request.GetTeam()); limit > 0 && (maxSlots == 0 || limit < maxSlots) {
		maxSlots = limit
	}
	// Lent slots count as idle, because they are returned as soon as their borrower does
	// not need them. If they did not count, a process that has lent most of its slots would
	// expect a wait of half a minute for a short queue, and refuse jobs for as long.
	idle := c.pool.Idle(name) + c.pool.Lent(name)
	for _, s := range c.lending.reports {
		idle += s.idle[name]
	}
	usable := c.admission.inUse[name] + idle
	overloaded := c.now-c.admission.lastEmpty[name] > c.cfg.AdmissionPolicy.OverloadAfter
	if units, binding := c.usableUnits(admission.Key{Institution: name}, overloaded); binding {
		usable = min(usable, units)
	}
	return admission.Capacity{
		Slots:       usable,
		MaxSlots:    maxSlots,
		Queued:      c.queuedWork(name),
		WaitPercent: c.maxWaitPercent(name),
		CPUMillis:   s.cpuMillis,
		MemoryMiB:   s.memoryMiB,
	}
}

// maxWaitPercent returns the maximum expected wait, as a percentage of a job's time.
//
// A burst is short, and its jobs finish in time. Under lasting overload the queue
// would stay at the maximum wait; then every job that runs longer than declared
// misses its deadline after it has used slots, and throughput drops. So the maximum
// wait is short from then on.
func (c *Core) maxWaitPercent(institution string) int {
	if c.now-c.admission.lastEmpty[institution] > c.cfg.AdmissionPolicy.OverloadAfter {
		return c.cfg.AdmissionPolicy.OverloadWaitPercent
	}
	return c.cfg.AdmissionPolicy.WaitPercent
}

// recordEmptyQueue records the time if the institution has no waiting tasks.
func (c *Core) recordEmptyQueue(institution string) {
	if c.queue.Tasks(institution) == 0 {
		c.admission.lastEmpty[institution] = c.now
	}
}
