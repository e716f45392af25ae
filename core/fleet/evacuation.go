package fleet

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The operator's word on failure domains goes with each heartbeat, so that a leader which
// the store turns away hears of it, and a new one knows what the one before knew.

// ApplyEvacuations takes the operator's word on which failure domains get no new tasks, if it
// is later than what is known.
func (n *Node) ApplyEvacuations(now Time, e routing.Evacuations, source string) {
	first := n.evacuations.Version == 0 && e.Version > 0
	changed := n.evacuations.Apply(e)
	if first {
		n.setAble()
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
	n.heartbeatAll(now)
}

// knowsDomain reports whether a failure domain has a runner or an entry VM, as far as
// these are known yet.
func (n *Node) knowsDomain(domain string) bool {
	if !n.listKnown || n.members == nil {
		return true
	}
	return slices.ContainsFunc(n.runners.Runners, func(r workload.Runner) bool { return r.Domain == domain }) ||
		slices.ContainsFunc(n.members, func(m topology.Member) bool { return m.Domain == domain })
}

// Evacuations are the failure domains that get no new tasks.
func (n *Node) Evacuations() routing.Evacuations { return n.evacuations }
