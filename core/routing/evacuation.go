package routing

import "slices"

// Evacuations are the failure domains whose runners get no new tasks, by the
// operator's word.
type Evacuations struct {
	// Version grows with each change of what the operator has written; 0 says that
	// nothing is known.
	Version uint64
	// Domains are in order.
	Domains []string
}

// Apply takes a later word, and reports whether it names other domains.
//
// It comes from the store and from peers in any order. A domain that was evacuated
// again must not be opened by the word of its opening before, which comes late.
func (e *Evacuations) Apply(newer Evacuations) (changed bool) {
	if newer.Version <= e.Version {
		return false
	}
	changed = !slices.Equal(e.Domains, newer.Domains)
	*e = newer
	return changed
}
