package admission

import (
	"cmp"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/rendezvous"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// LoanValidity is how long units of a quota may be used after the borrower's
	// clock reading that the lender echoes.
	LoanValidity = 3 * time.Second
	// MaxListAge is how long after its last reading of the platform's list a
	// process may use the units that the list gives it.
	MaxListAge = 5 * time.Second
	// remainderWait is how long such units wait for a former owner that can't be
	// asked: the time that the list may lag at it, MaxListAge, and its loans.
	remainderWait = 2*MaxListAge + 2*LoanValidity
	// StatusInterval is how often a peer is told of quotas.
	StatusInterval = 500 * time.Millisecond
	// clockDriftDivisor is the part by which clocks may run at different speeds.
	clockDriftDivisor = 64
)

// Key names one limit: a team's quota, or an institution's ceiling if there is
// no team.
type Key struct {
	Institution string
	Team        string
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Institution, b.Institution), cmp.Compare(a.Team, b.Team))
}

// loan is units lent to or borrowed from one process.
type loan struct {
	units  int
	serial uint64
	// until is when the borrower stops to use them; at the lender, when that
	// is certain.
	until task.Time
}

// limit is one quota or ceiling as this process sees it.
type limit struct {
	key   Key
	total int
	// floor is the part that is this process's whatever happens, remainder the
	// remaining units that the platform's list gives it.
	floor, remainder int
	held, peak       int
	lent             int
	blocked          bool
	requested        int
	// slots is how many the institution's listed upstreams have: a limit that
	// they can't exceed needs no sharing.
	slots    int
	lentTo   map[task.Incarnation]*loan
	borrowed map[task.Incarnation]*loan
}

// Quotas keeps quotas and ceilings that hold over all entry processes, with no
// message per job.
//
// Each limit is divided by the declared number of entry VMs; that part is a
// process's own even if it is cut off from everybody. The units that are left
// over go to processes by rendezvous hashing over the platform's list, and are
// used only while the list is fresh. What a process doesn't use it lends, and a
// loan ends by the borrower's clock before it ends by the lender's.
//
// It isn't safe for concurrent use.
type Quotas struct {
	self         task.Incarnation
	limits       map[Key]*limit
	sortedLimits []*limit
	entryVMs     int
	// maxTaskOverrun is how long a task may hold a unit after the right to it ended:
	// the longest response time of all institutions.
	maxTaskOverrun time.Duration
	peers          map[task.Incarnation]*quotaPeer
	list           memberList
	demand         []*pb.HeldSlots
	serial         uint64
	// floorUsableFrom is when units lent by a former run of this node are certainly
	// back.
	floorUsableFrom    task.Time
	noPredecessorLoans bool
}

// quotaPeer is what a connected process last said.
type quotaPeer struct {
	clockMs               uint64
	listVersion           uint64
	nodesHash             uint64
	withinLimits          bool
	statusReceived        bool
	holdsPredecessorLoans bool
	// statusSentAt is when it was last statusSentAt of quotas.
	statusSentAt task.Time
}

// NewQuotas returns the state of a process that has just started.
func NewQuotas(self task.Incarnation) *Quotas {
	return &Quotas{
		self:            self,
		limits:          make(map[Key]*limit),
		peers:           make(map[task.Incarnation]*quotaPeer),
		floorUsableFrom: LoanValidity,
	}
}

// ApplySettings takes the declared limits. A lowered one is in force at once for
// new starts.
func (q *Quotas) ApplySettings(s *pb.Settings) {
	q.entryVMs = int(s.GetEntryVms())
	q.maxTaskOverrun = 0
	declared := make(map[Key]int)
	for _, inst := range s.GetInstitutions() {
		q.maxTaskOverrun = max(q.maxTaskOverrun, time.Duration(inst.GetResponseTimeMs())*time.Millisecond)
		if n := inst.GetCeilingSlots(); n > 0 {
			declared[Key{Institution: inst.GetName()}] = int(n)
		}
		for _, t := range inst.GetTeams() {
			declared[Key{inst.GetName(), t.GetName()}] = int(t.GetQuotaSlots())
		}
	}
	if !q.noPredecessorLoans {
		q.floorUsableFrom = LoanValidity + q.maxTaskOverrun
	}
	q.setLimits(declared)
	q.divideUnits()
}

func (q *Quotas) setLimits(declared map[Key]int) {
	for key, l := range q.limits {
		if _, still := declared[key]; !still && l.held == 0 {
			delete(q.limits, key)
		}
	}
	for key, total := range declared {
		l := q.limits[key]
		if l == nil {
			l = &limit{
				key:      key,
				lentTo:   make(map[task.Incarnation]*loan),
				borrowed: make(map[task.Incarnation]*loan),
			}
			q.limits[key] = l
		}
		l.total = total
	}
	q.sortedLimits = q.sortedLimits[:0]
	for _, l := range q.limits {
		q.sortedLimits = append(q.sortedLimits, l)
	}
	slices.SortFunc(q.sortedLimits, func(a, b *limit) int { return compareKeys(a.key, b.key) })
}

// divideUnits works out which units are this process's own.
func (q *Quotas) divideUnits() {
	n := q.entryVMs
	if n == 0 {
		n = max(len(q.list.nodes), 1)
	}
	for _, l := range q.sortedLimits {
		l.floor = l.total / n
		l.remainder = 0
		name := l.key.Institution + "\x00" + l.key.Team
		for i := l.floor * n; i < l.total; i++ {
			if rendezvous.Owner(q.list.nodes, name, uint32(i)) == q.self.Node {
				l.remainder++
			}
		}
		l.slots = q.list.slots[l.key.Institution]
	}
}

// Allow says whether one more task of a team, of which one waits, may start; an
// empty team asks for the institution's ceiling only. A refusal is remembered
// as demand, which keeps units from being lent and asks others for theirs.
func (q *Quotas) Allow(now task.Time, institution, team string) bool {
	if team != "" && !q.allow(now, Key{institution, team}) {
		return false
	}
	return q.allow(now, Key{Institution: institution})
}

func (q *Quotas) allow(now task.Time, k Key) bool {
	if q.HasCapacity(now, k) {
		return true
	}
	q.limits[k].blocked = true
	return false
}

// HasCapacity says whether a limit lets one more task start.
func (q *Quotas) HasCapacity(now task.Time, k Key) bool {
	l := q.limits[k]
	return l == nil || l.freeUnits(q, now) > 0
}

// Usable is how many tasks a limit lets run here at once, with the units that
// are lent and will come home, and whether it is one that can be exceeded.
func (q *Quotas) Usable(now task.Time, k Key) (units int, binding bool) {
	l := q.limits[k]
	if l == nil || l.nonBinding() {
		return 0, false
	}
	return l.held + max(l.freeUnits(q, now), 0) + l.lent, true
}

// freeUnits is how many more tasks the limit lets start here.
func (l *limit) freeUnits(q *Quotas, now task.Time) int {
	if l.nonBinding() {
		return l.total
	}
	return l.ownUnits(q, now) - l.lent + l.usableBorrowed(now) - l.held
}

// nonBinding says that the limit can't be exceeded, since the upstreams don't have
// more slots.
func (l *limit) nonBinding() bool {
	return l.slots > 0 && l.slots <= l.total
}

// ownUnits is the units that are this process's, the lent ones included.
func (l *limit) ownUnits(q *Quotas, now task.Time) int {
	n := 0
	if now >= q.floorUsableFrom {
		n += l.floor
	}
	if q.remainderUsable(now) {
		n += l.remainder
	}
	return n
}

// usableBorrowed is the borrowed units whose time hasn't passed.
func (l *limit) usableBorrowed(now task.Time) int {
	n := 0
	for _, b := range l.borrowed {
		if now < b.until {
			n += b.units
		}
	}
	return n
}

// Started takes account of a task start.
func (q *Quotas) Started(institution, team string) { q.adjustHeld(institution, team, 1) }

// Ended takes account of the end of a task that was started.
func (q *Quotas) Ended(institution, team string) { q.adjustHeld(institution, team, -1) }

func (q *Quotas) adjustHeld(institution, team string, n int) {
	if l := q.limits[Key{Institution: institution}]; l != nil {
		l.adjustHeld(n)
	}
	if team == "" {
		return
	}
	if l := q.limits[Key{institution, team}]; l != nil {
		l.adjustHeld(n)
	}
}

func (l *limit) adjustHeld(n int) {
	l.held = max(l.held+n, 0)
	l.peak = max(l.peak, l.held)
}

// Held is how many slots a team's or an institution's tasks hold here.
func (q *Quotas) Held(k Key) int {
	if l := q.limits[k]; l != nil {
		return l.held
	}
	return 0
}

// MaxSlots is how many slots a team may hold at once over all processes; 0 if that
// isn't limited.
func (q *Quotas) MaxSlots(institution, team string) int {
	most := 0
	for _, k := range []Key{{institution, team}, {Institution: institution}} {
		if l := q.limits[k]; l != nil && (most == 0 || l.total < most) {
			most = l.total
		}
	}
	return most
}

// LimitState is the state of one limit for operators.
type LimitState struct {
	Institution string `json:"institution"`
	Team        string `json:"team,omitempty"`
	// Limit holds over all processes; Own, less Lent, and Borrowed may be used
	// here; Held is used.
	Limit    int `json:"limit_slots"`
	Own      int `json:"own_slots"`
	Lent     int `json:"lent_slots"`
	Borrowed int `json:"borrowed_slots"`
	Held     int `json:"held_slots"`
	// Wanted is what is asked of the other processes.
	Wanted int `json:"wanted_slots"`
	// Binding is false if the institution's upstreams have no more slots.
	Binding bool `json:"binding"`
}

// Dump lists the limits in order of name.
func (q *Quotas) Dump(now task.Time) []LimitState {
	list := make([]LimitState, 0, len(q.sortedLimits))
	for _, l := range q.sortedLimits {
		list = append(list, LimitState{l.key.Institution, l.key.Team, l.total, l.ownUnits(q, now), l.lent, l.usableBorrowed(now), l.held, l.requested, !l.nonBinding()})
	}
	return list
}
