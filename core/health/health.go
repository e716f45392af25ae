// Package health decides how much work each upstream attracts, from what its
// own tasks came to. No probe messages are sent: the tasks are the probes.
//
// An upstream that fails everything looks idle and fast. It is closed after a
// couple of failures that the other upstreams don't share, alone or with its
// whole worker or rack, and comes back through a single slot after a wait that
// doubles. One that can't be reached or refuses is closed for a short wait.
// One that is slow gets fewer slots. How many may be closed for failures at
// once is limited.
package health

import (
	"math"
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Outcome is what a task start says of the upstream.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the task ran to its end.
	Succeeded Outcome = iota
	// TaskFailed: it ran and failed, or nobody can tell what became of it.
	TaskFailed
	// Refused: the upstream answered that it won't run it.
	Refused
	// Unreachable: no connection, or it fell silent.
	Unreachable
)

// Config is the limits; times as durations.
type Config struct {
	// BaseEjectionTime is how long an upstream stays closed after its first
	// ejection; each further one in a row doubles it up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// BaseUnavailableTime and MaxUnavailableTime are the same for one that can't be reached.
	BaseUnavailableTime, MaxUnavailableTime time.Duration
	// MaxEjectedPercent limits the upstreams of an institution in a failure
	// domain that are closed for failures at once.
	MaxEjectedPercent int
	// Self is the name by which peers list this process.
	Self string
	// IgnorePeers ignores what peers report.
	IgnorePeers bool
	// Disabled gives every upstream its full weight, to compare with.
	Disabled bool
}

// DefaultConfig returns the usual limits.
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
	open state = iota
	// unavailable: unreachable, refusing, or suspect of failing everything.
	unavailable
	// ejected: closed for failures.
	ejected
	// probing: one slot is open until the first outcome.
	probing
	// returning: the share doubles with each success.
	returning
)

var stateNames = [...]string{"open", "away", "ejected", "probing", "returning"}

func (s state) String() string { return stateNames[s] }

const (
	// refusalThreshold in a row that close an upstream for a while; one refusal alone
	// is a matter of the slot.
	refusalThreshold = 3
	// slownessThreshold is how much longer than expected tasks must run, in the mean,
	// before an upstream gets less.
	slownessThreshold = 1.75
	// slownessGain is the weight of the newest run time in that mean.
	slownessGain = 1.0 / 16
	// maxSlowness keeps a single run time from deciding.
	maxSlowness = 8
	// initialShare is the first share of one that comes back.
	initialShare = 1.0 / 8
	// levelResetFactor is after how many times its last wait a closed upstream counts as
	// cured, so that the next ejection begins with the first wait again.
	levelResetFactor = 10
	// MinWeight is the weight that leaves one slot open.
	MinWeight = 1e-9
)

type upstream struct {
	name  string
	state state
	// reportedState is the state at the last change of weight.
	reportedState    state
	until            task.Time
	ejectionLevel    int
	unavailableLevel int
	ejectedAt        task.Time
	ejectionTime     task.Time
	refused          int
	suspect          bool
	share            float64
	slowness         float64
	weight           float64
	services         []history
	lastSuccess      task.Time
	institutionPool  *pool
	poolIndex        int
	domainPool       *pool
	groups           [2]*group
	// reporters are the peers that have closed it for failures.
	reporters []string
	spec      task.Upstream
}

func (u *upstream) history(service int) *history {
	if service >= len(u.services) {
		return nil
	}
	return &u.services[service]
}

// Change is a new weight of an upstream: 0 closes it, else it is the share of
// its slots that may be used, one slot at least.
type Change struct {
	Upstream string
	Weight   float64
	// Until is when a closed one is due for a trial; 0 if it isn't closed.
	Until task.Time
	// State is the name of its state; NewState says that the last change had
	// another.
	State    string
	NewState bool
}

// Stats counts decisions.
type Stats struct {
	Ejections      uint64 `json:"ejections"`
	GroupEjections uint64 `json:"group_ejections"`
	CeilingHits    uint64 `json:"ceiling_hits"`
	Away           uint64 `json:"away"`
	Probes         uint64 `json:"probes"`
	Returns        uint64 `json:"returns"`
}

// Tracker is the health of the upstreams as one process sees it.
type Tracker struct {
	cfg       Config
	rng       *rand.Rand
	upstreams map[string]*upstream
	services  map[string]int
	sorted    []*upstream
	changes   []Change
	reports   map[string][]string
	// ejected counts upstreams closed for failures or on trial.
	ejected int
	stats   Stats
}

// New returns an empty tracker. The random source jitters waits.
func New(cfg Config, rng *rand.Rand) *Tracker {
	return &Tracker{
		cfg:       cfg,
		rng:       rng,
		upstreams: make(map[string]*upstream),
		services:  make(map[string]int),
		reports:   make(map[string][]string),
	}
}

// Stats returns the counters.
func (t *Tracker) Stats() Stats { return t.stats }

// Result is what became of one task start.
type Result struct {
	Upstream, Service string
	Outcome           Outcome
	// Sent is when the task was sent.
	Sent task.Time
	// Slowness is the task's run time over what was expected of it; 0 if it
	// isn't known.
	Slowness float64
}

// Observe takes a result.
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
		u.refused++
		if u.refused >= refusalThreshold || u.state != open {
			t.setUnavailable(now, u)
		}
	case Unreachable:
		t.setUnavailable(now, u)
	}
}

func (t *Tracker) historyFor(u *upstream, name string) *history {
	i, ok := t.services[name]
	if !ok {
		i = len(t.services)
		t.services[name] = i
	}
	for len(u.services) <= i {
		u.services = append(u.services, history{})
	}
	return &u.services[i]
}

func (t *Tracker) observeSuccess(now task.Time, u *upstream, r Result) {
	if r.Slowness > 0 {
		x := math.Log(min(max(r.Slowness, 1.0/maxSlowness), maxSlowness))
		u.slowness += slownessGain * (x - u.slowness)
	}
	h := t.historyFor(u, r.Service)
	if h.failed&1 == 1 && r.Sent < h.failingSince {
		// It began before the upstream began to fail. Counted, the tasks that
		// were running then would hide for seconds that all later ones fail.
		return
	}
	h.add(now, false)
	u.refused = 0
	u.lastSuccess = r.Sent
	switch u.state {
	case ejected:
		// A task sent before the ejection: it says nothing of the present.
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

// startReturning opens an upstream step by step.
func (t *Tracker) startReturning(u *upstream) {
	t.stats.Returns++
	t.countEjected(u, -1)
	u.state = returning
	u.share = initialShare
	clear(u.services)
}

func (t *Tracker) observeFailure(now task.Time, u *upstream, h *history) {
	h.add(now, true)
	u.refused = 0
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

// ejectionThresholdFor is the evidence that closes an upstream.
func (t *Tracker) ejectionThresholdFor(u *upstream) float64 {
	if u.state == returning || len(u.reporters) > 0 || t.groupHasEjection(u) {
		return reducedEjectionThreshold
	}
	return ejectionThreshold
}

// eject closes an upstream for failures, within the ceiling; beyond it, it
// keeps one slot.
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

// countEjected takes account of an upstream closed for failures, or no longer so.
func (t *Tracker) countEjected(u *upstream, n int) {
	u.domainPool.ejected += n
	t.ejected += n
}

// setUnavailable closes an upstream that can't be reached or refuses.
func (t *Tracker) setUnavailable(now task.Time, u *upstream) {
	if u.state == ejected || u.state == unavailable && now < u.until {
		return
	}
	t.stats.Away++
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
	u.refused = 0
	t.updateWeight(u)
}

// MarkUnavailable makes an upstream go away for a while at somebody else's wish, such
// as a retry budget that is spent.
func (t *Tracker) MarkUnavailable(now task.Time, name string) {
	if u := t.upstreams[name]; u != nil && !t.cfg.Disabled {
		t.setUnavailable(now, u)
	}
}

// backoff is a jittered wait that doubles with the level, counted from 0.
func backoff(rng *rand.Rand, first, limit time.Duration, level int) task.Time {
	d := limit
	if level < 20 {
		d = min(first<<level, limit)
	}
	return d - time.Duration(rng.Int64N(int64(d)/4+1))
}

// Tick opens what is due.
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

// endUnavailable lets one task try an upstream that was away, or closes one for good
// that was suspect if others have done well meanwhile. The state stays away,
// so that a second failure waits longer.
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

// updateWeight records the weight that follows from the state if it has changed.
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
		w = u.share * slownessShare(u.slowness)
	}
	if w == u.weight && until == 0 {
		return
	}
	u.weight = w
	t.changes = append(t.changes, Change{u.name, w, until, u.state.String(), u.state != u.reportedState})
	u.reportedState = u.state
}

// slownessShare is the share for an upstream whose tasks run longer than expected, in
// steps of an eighth so that noise doesn't make the weight flap.
func slownessShare(slowness float64) float64 {
	factor := math.Exp(slowness)
	if factor < slownessThreshold {
		return 1
	}
	const steps = 8
	return max(math.Ceil(steps/factor), 1) / steps
}
