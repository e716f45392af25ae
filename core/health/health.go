// Package health decides from the outcomes of tasks how many slots of each upstream may be
// used. No separate probe messages are sent: a probe is a task.
//
// An upstream on which every task fails quickly looks idle and fast. It is ejected after a few
// failures that the other upstreams don't share, alone or with its whole worker or rack, and
// returns through a single slot after a wait that doubles with each ejection. One that is
// unreachable or refuses tasks is closed for a short time. One that is slow gets fewer slots.
// The number of upstreams ejected at once is limited.
//
// A service is what a task runs, such as "label"; an upstream may run several. Outcomes are recorded
// for each service on each upstream, because a fault may be that of the service.
package health

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Outcome is the outcome of a task start as far as it concerns the upstream.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the task ran to its end.
	Succeeded Outcome = iota
	// TaskFailed: the task ran and failed, or its result is unknown.
	TaskFailed
	// Refused: the upstream answered that it doesn't run the task.
	Refused
	// Unreachable: there is no connection, or the upstream stopped answering.
	Unreachable
)

// Config configures a tracker.
type Config struct {
	// BaseEjectionTime is how long the first ejection of an upstream lasts. Each further
	// consecutive ejection lasts twice as long, up to MaxEjectionTime. A random part of up to a
	// quarter is deducted from each.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// BaseUnavailableTime and MaxUnavailableTime are the corresponding times for an upstream that is
	// unreachable, refuses tasks or is suspected of failing every task.
	BaseUnavailableTime, MaxUnavailableTime time.Duration
	// MaxEjectedPercent is the maximum percentage of the upstreams of one institution in one failure
	// domain that are ejected or probing at once.
	MaxEjectedPercent int
	// Self is the name by which peers list this process. It is compared with their names to
	// determine which process probes an ejected upstream.
	Self string
	// IgnorePeers ignores the ejections that peers report.
	IgnorePeers bool
	// Disabled gives every upstream its full weight, for comparison runs.
	Disabled bool
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		BaseEjectionTime:    2 * time.Second,
		MaxEjectionTime:     5 * time.Minute,
		BaseUnavailableTime: 50 * time.Millisecond,
		MaxUnavailableTime:  2 * time.Second,
		MaxEjectedPercent:   50,
	}
}

// Stats counts the decisions of a tracker.
type Stats struct {
	// Ejections counts ejections of single upstreams, including those of GroupEjections.
	Ejections uint64 `json:"ejections"`
	// GroupEjections counts ejections of a whole worker or rack.
	GroupEjections uint64 `json:"group_ejections"`
	// CeilingHits counts ejections that MaxEjectedPercent prevented.
	CeilingHits uint64 `json:"ceiling_hits"`
	// Unavailable counts how often an upstream became unavailable, or failed again while it was or
	// while it was being probed.
	Unavailable uint64 `json:"away"`
	// Probes counts single slots opened after an ejection, Returns the probes that succeeded.
	Probes  uint64 `json:"probes"`
	Returns uint64 `json:"returns"`
}

// Tracker tracks the health of the upstreams from the outcomes of the tasks that one process sends.
type Tracker struct {
	cfg       Config
	rng       *rand.Rand
	upstreams map[string]*upstream
	// serviceIndexes numbers the services in the order of their first outcome.
	serviceIndexes map[string]int
	// sorted holds the upstreams in the order of their names.
	sorted  []*upstream
	changes []Change
	// reports holds the upstreams that each peer has ejected.
	reports map[string][]string
	// ejected is the number of upstreams that are ejected or probing.
	ejected int
	stats   Stats
}

// New returns an empty tracker. The random source supplies the jitter of ejection times and
// unavailable times.
func New(cfg Config, rng *rand.Rand) *Tracker {
	return &Tracker{
		cfg:            cfg,
		rng:            rng,
		upstreams:      make(map[string]*upstream),
		serviceIndexes: make(map[string]int),
		reports:        make(map[string][]string),
	}
}

// Stats returns the counters.
func (t *Tracker) Stats() Stats { return t.stats }

// Result is the result of one task start.
type Result struct {
	Upstream, Service string
	Outcome           Outcome
	// Sent is when the task was sent.
	Sent task.Time
	// Slowness is the task's run time divided by the expected one; 0 if it isn't known.
	Slowness float64
}

// Observe records a result.
func (t *Tracker) Observe(now task.Time, r Result) {
	u := t.upstreams[r.Upstream]
	if u == nil || t.cfg.Disabled {
		return
	}
	switch r.Outcome {
	case Succeeded:
		t.observeSuccess(now, u, r)
	case TaskFailed:
		t.observeFailure(now, u, t.historyFor(u, r.Service))
	case Refused:
		u.consecutiveRefusals++
		if u.consecutiveRefusals >= refusalThreshold || u.state != open {
			t.setUnavailable(now, u)
		}
	case Unreachable:
		t.setUnavailable(now, u)
	}
}

func (t *Tracker) historyFor(u *upstream, name string) *history {
	i, ok := t.serviceIndexes[name]
	if !ok {
		i = len(t.serviceIndexes)
		t.serviceIndexes[name] = i
	}
	for len(u.histories) <= i {
		u.histories = append(u.histories, history{})
	}
	return &u.histories[i]
}

func (t *Tracker) observeSuccess(now task.Time, u *upstream, r Result) {
	if r.Slowness > 0 {
		u.addSlowness(r.Slowness)
	}
	h := t.historyFor(u, r.Service)
	if h.lastFailed() && r.Sent < h.failingSince {
		// The task was sent before the upstream began to fail. Tasks that were already running may
		// still succeed for seconds. If they counted, they would hide that all later ones fail.
		return
	}
	h.add(now, false)
	u.consecutiveRefusals = 0
	u.lastSuccess = r.Sent
	switch u.state {
	case ejected:
		// The task was sent before the ejection and doesn't show that the upstream has recovered.
		return
	case probing:
		t.startReturning(u)
		t.startGroupProbes(now, u)
	case returning:
		u.share = min(2*u.share, 1)
		if u.share == 1 {
			u.state = open
		}
	case unavailable:
		u.state = open
		u.until = 0
		u.suspect = false
	}
	t.updateWeight(u)
}

func (t *Tracker) observeFailure(now task.Time, u *upstream, h *history) {
	h.add(now, true)
	u.consecutiveRefusals = 0
	switch u.state {
	case ejected:
		return
	case probing:
		t.countEjected(u, -1)
		t.eject(now, u)
		t.postponeGroupProbes(now, u)
		return
	}
	switch t.assess(u, t.ejectionThresholdFor(u)) {
	case suspect:
		u.suspect = true
		t.setUnavailable(now, u)
	case broken:
		t.eject(now, u)
		t.ejectGroups(now, u)
	}
}

// Tick probes the ejected upstreams that are due and reopens the unavailable ones.
func (t *Tracker) Tick(now task.Time) {
	for _, u := range t.sorted {
		if now < u.until || u.until == 0 {
			continue
		}
		switch u.state {
		case ejected:
			if t.deferProbe(now, u) {
				continue
			}
			t.stats.Probes++
			u.state = probing
			u.until = 0
			t.updateWeight(u)
		case unavailable:
			t.endUnavailable(now, u)
		}
	}
}
