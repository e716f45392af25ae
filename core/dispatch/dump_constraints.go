package dispatch

import (
	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/health"
)

// DumpConstraints are the limits and upstreams that can keep tasks waiting.
type DumpConstraints struct {
	// Limits are the quotas and ceilings.
	Limits []admission.LimitState `json:"limits"`
	// Upstreams are the upstreams not in full use.
	Upstreams []health.Status `json:"upstreams_not_in_full_use"`
	Health    health.Stats    `json:"health"`
	// Refusals is the number of refused jobs by reason.
	Refusals     map[string]uint64          `json:"refusals"`
	Institutions map[string]DumpInstitution `json:"institutions"`
}

// DumpInstitution is the state of one institution at this process.
type DumpInstitution struct {
	WaitingTasks  int     `json:"waiting_tasks"`
	WaitingWorkMs int64   `json:"waiting_work_ms"`
	BusySlots     int     `json:"busy_slots"`
	IdleSlots     int     `json:"idle_slots"`
	RetriesLeft   float64 `json:"retries_left"`
	// RunTimeFactors are the ratios of observed to declared run time, by service.
	RunTimeFactors map[string]float64 `json:"run_time_factors"`
}

func (c *Core) dumpConstraints() DumpConstraints {
	d := DumpConstraints{
		Limits:       c.admission.quotas.Dump(c.now),
		Upstreams:    c.health.Dump(),
		Health:       c.health.Stats(),
		Refusals:     make(map[string]uint64),
		Institutions: make(map[string]DumpInstitution),
	}
	for reason, n := range c.admission.refusals {
		d.Refusals[reason.String()] = n
	}
	for _, inst := range c.settings.Current().GetInstitutions() {
		name := inst.GetName()
		di := DumpInstitution{
			WaitingTasks:   c.queue.Tasks(name),
			WaitingWorkMs:  c.queue.Work(name).Milliseconds(),
			BusySlots:      c.admission.inUse[name],
			IdleSlots:      c.pool.Idle(name),
			RetriesLeft:    c.budgets.Remaining(name),
			RunTimeFactors: make(map[string]float64),
		}
		for _, s := range inst.GetServices() {
			di.RunTimeFactors[s.GetName()] = c.admission.estimate.Factor(name, s.GetName())
		}
		d.Institutions[name] = di
	}
	return d
}

// blockedBy names the limit that keeps a submission's tasks waiting, if any.
func (c *Core) blockedBy(sub *submission) string {
	name, team := sub.id.Institution, sub.request.GetTeam()
	switch {
	case !c.admission.quotas.HasCapacity(c.now, admission.Key{Institution: name}):
		return "the ceiling of its institution"
	case team != "" && !c.admission.quotas.HasCapacity(c.now, admission.Key{Institution: name, Team: team}):
		return "the quota of its team"
	}
	return ""
}
