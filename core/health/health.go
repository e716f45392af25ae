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
	"math"
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

type state uint8

const (
	// open: the upstream may use its whole share of slots.
	open state = iota
	// unavailable, "away" by name: unreachable, refusing tasks, or suspected of failing every task.
	// The upstream is closed until upstream.until, and has one slot open from then on.
	unavailable
	// ejected: closed because of failures.
	ejected
	// probing: one slot is open until the first outcome, which decides whether the upstream returns
	// or is ejected again.
	probing
	// returning: the share of slots doubles with each success, until all are open.
	returning
)

var stateNames = [...]string{"open", "away", "ejected", "probing", "returning"}

func (s state) String() string { return stateNames[s] }

const (
	// refusalThreshold is the number of consecutive refusals that make an open upstream unavailable.
	// A single refusal may concern only the slot. In any other state one refusal is enough.
	refusalThreshold = 3
	// slownessThreshold is the mean slowness (run time over expected run time) from which an
	// upstream gets fewer slots. The mean is geometric and gives newer run times more weight.
	slownessThreshold = 1.75
	// slownessGain is the weight of the newest task's slowness in that mean.
	slownessGain = 1.0 / 16
	// maxSlowness limits the slowness of a single task, and its inverse, so that no single task
	// decides about an upstream.
	maxSlowness = 8
	// initialShare is the share of slots that an upstream gets after a successful probe.
	initialShare = 1.0 / 8
	// levelResetFactor decides when an upstream counts as recovered: when it hasn't been ejected
	// again for this many times the length of its latest ejection, counted from the start of that
	// ejection. Its next ejection then lasts BaseEjectionTime again.
	levelResetFactor = 10
	// MinWeight is a weight so small that it leaves one slot open.
	MinWeight = 1e-9
)

// upstream is the health of one upstream.
type upstream struct {
	name  string
	state state
	// reportedState is the state in the latest Change.
	reportedState state
	// until is when an ejected or unavailable upstream may be used again; 0 after that.
	until task.Time
	// ejectionLevel and unavailableLevel are the levels of the backoff: the ejection time and the
	// unavailable time double with each level.
	ejectionLevel    int
	unavailableLevel int
	// ejectedAt and ejectionTime are the time and the length of the latest ejection.
	ejectedAt    task.Time
	ejectionTime task.Time
	// consecutiveRefusals counts the refusals since a task last ran, or since the upstream last
	// became unavailable.
	consecutiveRefusals int
	// suspect: the upstream is unavailable because its failures aren't confirmed yet.
	suspect bool
	// share is the share of slots that a returning or open upstream may use, before its slowness is
	// taken into account.
	share float64
	// logSlowness is the logarithm of the mean slowness of the upstream's tasks.
	logSlowness float64
	// weight is the weight in the latest Change; 1 before the first.
	weight float64
	// histories has the outcomes of each service, by the index in Tracker.serviceIndexes.
	histories []history
	// lastSuccess is when the task with the latest success was sent.
	lastSuccess task.Time
	// institutionPool holds the upstreams of the same institution, domainPool those of the same
	// institution and failure domain.
	institutionPool *pool
	// poolIndex is the index of this upstream in institutionPool.
	poolIndex  int
	domainPool *pool
	// groups are the worker and the rack; nil if unknown.
	groups [2]*group
	// reporters are the names of the peers that have ejected the upstream.
	reporters []string
	spec      task.Upstream
}

func (u *upstream) history(service int) *history {
	if service >= len(u.histories) {
		return nil
	}
	return &u.histories[service]
}

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
		x := math.Log(min(max(r.Slowness, 1.0/maxSlowness), maxSlowness))
		u.logSlowness += slownessGain * (x - u.logSlowness)
	}
	h := t.historyFor(u, r.Service)
	if h.failed&1 == 1 && r.Sent < h.failingSince {
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
		u.suspect = false
	}
	t.updateWeight(u)
}

// startReturning opens initialShare of an upstream's slots after a successful probe. The outcomes
// from before the ejection are dropped.
func (t *Tracker) startReturning(u *upstream) {
	t.stats.Returns++
	t.countEjected(u, -1)
	u.state = returning
	u.share = initialShare
	clear(u.histories)
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

// ejectionThresholdFor returns the log-likelihood ratio from which an upstream is ejected.
func (t *Tracker) ejectionThresholdFor(u *upstream) float64 {
	if u.state == returning || len(u.reporters) > 0 || t.groupHasEjection(u) {
		return reducedEjectionThreshold
	}
	return ejectionThreshold
}

// eject ejects an upstream. If MaxEjectedPercent doesn't allow it, the upstream keeps one slot
// instead and becomes returning: its share grows from there with each success.
func (t *Tracker) eject(now task.Time, u *upstream) {
	if (u.domainPool.ejected+1)*100 > t.cfg.MaxEjectedPercent*len(u.domainPool.members) {
		t.stats.CeilingHits++
		u.state = returning
		u.share = MinWeight
		t.updateWeight(u)
		return
	}
	t.stats.Ejections++
	t.countEjected(u, 1)
	u.ejectionLevel++
	if u.ejectedAt > 0 && now-u.ejectedAt > levelResetFactor*u.ejectionTime {
		u.ejectionLevel = 1
	}
	u.state = ejected
	u.ejectedAt = now
	u.ejectionTime = backoff(t.rng, t.cfg.BaseEjectionTime, t.cfg.MaxEjectionTime, u.ejectionLevel-1)
	u.until = now + u.ejectionTime
	t.updateWeight(u)
}

// countEjected adds n to the numbers of ejected upstreams.
func (t *Tracker) countEjected(u *upstream, n int) {
	u.domainPool.ejected += n
	t.ejected += n
}

// setUnavailable closes an upstream that is unreachable, refuses tasks or is suspect. A probing
// upstream is ejected again instead.
func (t *Tracker) setUnavailable(now task.Time, u *upstream) {
	if u.state == ejected || u.state == unavailable && now < u.until {
		return
	}
	t.stats.Unavailable++
	switch u.state {
	case probing:
		t.countEjected(u, -1)
		t.eject(now, u)
		return
	case unavailable:
		u.unavailableLevel++
	default:
		u.unavailableLevel = 0
	}
	u.state = unavailable
	u.until = now + backoff(t.rng, t.cfg.BaseUnavailableTime, t.cfg.MaxUnavailableTime, u.unavailableLevel)
	u.consecutiveRefusals = 0
	t.updateWeight(u)
}

// MarkUnavailable closes an upstream for a while for another reason than an outcome, such as
// an exhausted retry budget.
func (t *Tracker) MarkUnavailable(now task.Time, name string) {
	if u := t.upstreams[name]; u != nil && !t.cfg.Disabled {
		t.setUnavailable(now, u)
	}
}

// backoff returns a jittered wait that doubles with each level, starting at level 0.
func backoff(rng *rand.Rand, first, limit time.Duration, level int) task.Time {
	d := limit
	if level < 20 {
		d = min(first<<level, limit)
	}
	return d - time.Duration(rng.Int64N(int64(d)/4+1))
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

// endUnavailable opens one slot of an upstream that was unavailable. If the upstream was
// suspect and enough others have succeeded in the meantime, it ejects the upstream instead. The
// state stays unavailable until a task succeeds, so that after another failure the upstream is
// closed for longer than before.
func (t *Tracker) endUnavailable(now task.Time, u *upstream) {
	u.until = 0
	wasSuspect := u.suspect
	u.suspect = false
	if wasSuspect && t.assess(u, t.ejectionThresholdFor(u)) == broken {
		t.eject(now, u)
		t.ejectGroups(now, u)
		return
	}
	t.updateWeight(u)
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
