package health

import (
	"cmp"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// group is the upstreams of one worker or one rack.
type group struct {
	members []*upstream
}

// pool is the upstreams of one institution, or those of one institution in one failure domain.
type pool struct {
	members []*upstream
	// ejected is the number of members that are ejected or probing. It is counted only in the pools
	// of one failure domain.
	ejected int
}

// SetMembers replaces the list of upstreams by that of the platform. The state of an upstream is
// retained if its address is the same; a new upstream is open.
func (t *Tracker) SetMembers(list []task.Upstream) {
	known := t.upstreams
	t.upstreams = make(map[string]*upstream, len(list))
	t.sorted = t.sorted[:0]
	for _, spec := range list {
		u := known[spec.Name]
		if u == nil || u.spec.Address != spec.Address {
			u = &upstream{name: spec.Name, weight: 1, share: 1}
		}
		u.spec = spec
		t.upstreams[spec.Name] = u
		t.sorted = append(t.sorted, u)
	}
	slices.SortFunc(t.sorted, func(a, b *upstream) int { return cmp.Compare(a.name, b.name) })
	t.regroup()
}

// regroup assigns all upstreams to new pools and groups, and counts the ejected ones anew.
func (t *Tracker) regroup() {
	institutionPools := make(map[string]*pool)
	domainPools := make(map[[2]string]*pool)
	groups := make(map[[3]string]*group)
	t.ejected = 0
	for _, u := range t.sorted {
		s := u.spec
		u.institutionPool = join(institutionPools, s.Institution, u)
		u.poolIndex = len(u.institutionPool.members) - 1
		u.domainPool = join(domainPools, [2]string{s.Institution, s.FailureDomain}, u)
		if u.state == ejected || u.state == probing {
			t.countEjected(u, 1)
		}
		u.groups = [2]*group{
			joinGroup(groups, [3]string{"worker", s.FailureDomain, s.Worker}, u),
			joinGroup(groups, [3]string{"rack", s.FailureDomain, s.Rack}, u),
		}
	}
}

// join adds an upstream to the pool of a key.
func join[K comparable](pools map[K]*pool, key K, u *upstream) *pool {
	p := pools[key]
	if p == nil {
		p = &pool{}
		pools[key] = p
	}
	p.members = append(p.members, u)
	return p
}

// joinGroup adds an upstream to the group of a key: the kind of group, the failure domain, and the
// name of the worker or rack. It returns nil if that name isn't known.
func joinGroup(groups map[[3]string]*group, key [3]string, u *upstream) *group {
	if key[2] == "" {
		return nil
	}
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	g.members = append(g.members, u)
	return g
}
