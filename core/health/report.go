package health

import "math"

// TakeChanges returns the changes of weights since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// Weight is the current weight of an upstream, as in Change; 1 if the upstream isn't known.
func (t *Tracker) Weight(name string) float64 {
	if u := t.upstreams[name]; u != nil {
		return u.weight
	}
	return 1
}

// Status is the health of one upstream that isn't open with its full weight.
type Status struct {
	Upstream string  `json:"upstream"`
	State    string  `json:"state"`
	Weight   float64 `json:"weight"`
	// UntilMs is when a closed upstream may be used again, in milliseconds since the process
	// started.
	UntilMs int64 `json:"until_ms,omitempty"`
	// Slowness is the mean of the ratios of its tasks' run times to the expected ones, see
	// slownessThreshold.
	Slowness float64 `json:"slowness"`
}

// Dump lists the upstreams that aren't open with their full weight, ordered by name.
func (t *Tracker) Dump() []Status {
	var list []Status
	for _, u := range t.sorted {
		if u.state == open && u.weight == 1 {
			continue
		}
		list = append(list, Status{u.name, u.state.String(), u.weight, u.until.Milliseconds(), math.Exp(u.logSlowness)})
	}
	return list
}
