package routing

import "slices"

// Evacuations are the failure domains whose runners get no new tasks, as set by the operator.
type Evacuations struct {
	// Version grows with each change by the operator; 0 means unknown.
	Version uint64
	// Domains are in order.
	Domains []string
}

// Apply replaces the evacuations by a newer version, and reports whether the domains differ.
//
// Versions come from the store and from peers in any order. Without the check, a domain that
// was evacuated again could be reopened by a late message about its earlier reopening.
func (e *Evacuations) Apply(newer Evacuations) (changed bool) {
	if newer.Version <= e.Version {
		return false
	}
	changed = !slices.Equal(e.Domains, newer.Domains)
	*e = newer
	return changed
}
