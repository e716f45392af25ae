package routing

import "slices"

// Evacuations lists the failure domains that an operator has evacuated: their runners get no new
// tasks.
type Evacuations struct {
	// Version grows with each change by an operator; 0 means that no version is known yet.
	Version uint64
	// Domains are in the order of their names.
	Domains []string
}

// Apply replaces the evacuations if the given ones have a newer version, and reports whether the
// domains have changed.
//
// Versions come from the store and from peers in any order. Without the check, a domain that was
// evacuated, reopened and evacuated again could be reopened by a late message with the version in
// between.
func (e *Evacuations) Apply(newer Evacuations) (changed bool) {
	if newer.Version <= e.Version {
		return false
	}
	changed = !slices.Equal(e.Domains, newer.Domains)
	*e = newer
	return changed
}
