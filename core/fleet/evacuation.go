package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Every heartbeat carries the evacuated failure domains. A leader that can't reach the store
// learns of a change from other processes, and a new leader knows what the one before knew.

// ApplyEvacuations sets the failure domains in which no new tasks are started, if e is newer
// than what is known.
func (n *Node) ApplyEvacuations(now Time, e routing.Evacuations, source string) {
	first := n.evacuations.Version == 0 && e.Version > 0
	changed := n.evacuations.Apply(e)
	if first {
		n.updateAble()
	}
	if !changed {
		return
	}
	n.notice("domains-evacuated", Field{"domains", e.Domains}, Field{"version", e.Version}, Field{"source", source})
	for _, domain := range e.Domains {
		if !n.knowsDomain(domain) {
			n.warn("evacuated-domain-unknown", Field{"domain", domain}, Field{"version", e.Version})
		}
	}
	for _, s := range n.own {
		s.schedule.SetEvacuated(now, e.Domains)
	}
	n.sendHeartbeats(now)
}

// knowsDomain reports whether a failure domain has a runner or an entry VM; true until
// both lists are known.
func (n *Node) knowsDomain(domain string) bool {
	if !n.listKnown || n.members == nil {
		return true
	}
	return slices.ContainsFunc(n.runners.Runners, func(r workload.Runner) bool { return r.Domain == domain }) ||
		slices.ContainsFunc(n.members, func(m topology.Member) bool { return m.Domain == domain })
}

// Evacuations are the failure domains in which no new tasks are started.
func (n *Node) Evacuations() routing.Evacuations { return n.evacuations }
