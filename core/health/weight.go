package health

import (
	"math"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// The weights of upstreams, which follow from their states and their slowness.

const (
	// slownessThreshold is the mean slowness (run time over expected run time) from which an
	// upstream gets fewer slots. The mean is geometric and gives newer run times more weight.
	slownessThreshold = 1.75
	// slownessGain is the weight of the newest task's slowness in that mean.
	slownessGain = 1.0 / 16
	// maxSlowness limits the slowness of a single task, and its inverse, so that no single task
	// decides about an upstream.
	maxSlowness = 8
	// MinWeight is a weight so small that it leaves one slot open.
	MinWeight = 1e-9
)

// Change is a new weight of an upstream: 0 closes it, otherwise it is the share of its slots
// that may be used, but at least one slot.
type Change struct {
	Upstream string
	Weight   float64
	// Until is when a closed upstream may be used again; 0 if it isn't closed.
	Until task.Time
	// State is the name of the upstream's state. NewState is set if it differs from the state in
	// the upstream's previous Change.
	State    string
	NewState bool
}

// updateWeight emits a Change if the weight that follows from the state has changed.
func (t *Tracker) updateWeight(u *upstream) {
	w := 1.0
	until := task.Time(0)
	switch {
	case u.state == ejected, u.state == unavailable && u.until > 0:
		w = 0
		until = u.until
	case u.state == probing, u.state == unavailable:
		w = MinWeight
	default:
		w = u.share * slownessShare(u.logSlowness)
	}
	if w == u.weight && until == 0 {
		return
	}
	u.weight = w
	t.changes = append(t.changes, Change{u.name, w, until, u.state.String(), u.state != u.reportedState})
	u.reportedState = u.state
}

// addSlowness adds the slowness of a task to the mean.
func (u *upstream) addSlowness(slowness float64) {
	x := math.Log(min(max(slowness, 1.0/maxSlowness), maxSlowness))
	u.logSlowness += slownessGain * (x - u.logSlowness)
}

// slownessShare is the share of slots for an upstream whose tasks run longer than expected, in
// steps of an eighth so that noise doesn't make the weight fluctuate.
func slownessShare(logSlowness float64) float64 {
	factor := math.Exp(logSlowness)
	if factor < slownessThreshold {
		return 1
	}
	const steps = 8
	return max(math.Ceil(steps/factor), 1) / steps
}
