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
	// LoanValidity is how long lent units may be used, counted from the borrower's clock
	// reading that the lender echoes.
	LoanValidity = 3 * time.Second
	// MaxListAge is how long after its last reading of the platform's member list a process
	// may use the units that the list assigns to it.
	MaxListAge = 5 * time.Second
	// remainderWait is how long newly assigned units stay unused in case a former owner that
	// can't be reached still uses them. One MaxListAge is the delay with which the list may
	// reach that owner, and the other is how long that owner uses the units by the list that it
	// has read. 2*LoanValidity is for the loans of these units that it has made.
	remainderWait = 2*MaxListAge + 2*LoanValidity
	// StatusInterval is the time between two statuses sent to a peer.
	StatusInterval = 500 * time.Millisecond
	// clockDriftDivisor: two clocks may differ in speed by one part in this number.
	clockDriftDivisor = 64
)

// Key identifies a limit: the quota of a team, or the ceiling of an institution if Team is empty.
type Key struct {
	Institution string
	Team        string
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Institution, b.Institution), cmp.Compare(a.Team, b.Team))
}

// loan is the units lent to or borrowed from one process.
type loan struct {
	units int
	// serial identifies the state of the loan. The lender changes it with the number of units.
	serial uint64
	// until is when the loan expires. The borrower stops using the units then. The lender's value
	// is a time by which the borrower must have stopped.
	until task.Time
}

// limit is the state of one quota or ceiling in this process.
type limit struct {
	key   Key
	total int
	// floor is the number of units that this process owns whether or not it is listed,
	// remainder the number that the platform's member list assigns to it.
	floor, remainder int
	// held is the number of units in use, peak the largest number since the last Tick.
	held, peak int
	lent       int
	// blocked: a task start was refused since the last Tick.
	blocked bool
	// requested is the number of units requested of the peers.
	requested int
	// slots is the number of slots of the institution's listed upstreams. A limit at or above
	// that number can't be exceeded and needs no sharing.
	slots    int
	lentTo   map[task.Incarnation]*loan
	borrowed map[task.Incarnation]*loan
}

// Quotas enforces quotas and ceilings across all entry processes, without a message per job.
//
// A limit of n slots consists of n units; each running task holds one. Each limit is divided by the
// declared number of entry VMs. Every process owns that part, the floor, even if it is disconnected
// from all others. The remaining units are assigned by rendezvous hashing over the platform's member
// list, and are used only while the list is recent. A process lends the units that it doesn't use. A
// loan expires by the borrower's clock before it expires by the lender's.
//
// Quotas isn't safe for concurrent use.
type Quotas struct {
	self         task.Incarnation
	limits       map[Key]*limit
	sortedLimits []*limit
	entryVMs     int
	// maxTaskOverrun is how long a task may hold a unit after the right to use the unit ended:
	// the longest response time of all institutions.
	maxTaskOverrun time.Duration
	peers          map[task.Incarnation]*quotaPeer
	list           memberList
	// demand is the units requested of the peers, as sent with each status until the next Tick.
	demand []*pb.HeldSlots
	serial uint64
	// floorUsableFrom is when all units lent by a former run of this node must have been
	// returned.
	floorUsableFrom task.Time
	// noPredecessorLoans: no peer holds units lent by a former run of this node any more.
	noPredecessorLoans bool
}

// quotaPeer is the latest status received from a connected process.
type quotaPeer struct {
	clockMs        uint64
	listVersion    uint64
	nodesHash      uint64
	withinLimits   bool
	statusReceived bool
	// holdsPredecessorLoans: the process has borrowed units from a former run of this node.
	holdsPredecessorLoans bool
	// statusSentAt is when the last status was sent to the process.
	statusSentAt task.Time
}

// NewQuotas returns the quotas of a process that has just started.
func NewQuotas(self task.Incarnation) *Quotas {
	return &Quotas{
		self:            self,
		limits:          make(map[Key]*limit),
		peers:           make(map[task.Incarnation]*quotaPeer),
		floorUsableFrom: LoanValidity,
	}
}

// ApplySettings applies the declared limits. A lowered limit applies at once to new task starts.
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

// divideUnits computes the units of each limit that this process owns.
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

// Allow reports whether a waiting task of a team may start. With an empty team, only the
// institution's ceiling is checked. A refusal counts as demand: the limit's units aren't lent, and
// more are requested of the peers.
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

// HasCapacity reports whether a limit allows one more task to start.
func (q *Quotas) HasCapacity(now task.Time, k Key) bool {
	l := q.limits[k]
	return l == nil || l.freeUnits(q, now) > 0
}

// Usable returns the number of tasks that a limit allows to run here at once, including units that
// are lent and will be returned. binding is false if the limit can't be exceeded; units is then 0.
func (q *Quotas) Usable(now task.Time, k Key) (units int, binding bool) {
	l := q.limits[k]
	if l == nil || l.nonBinding() {
		return 0, false
	}
	return l.held + max(l.freeUnits(q, now), 0) + l.lent, true
}

// freeUnits returns how many more tasks the limit allows to start here.
func (l *limit) freeUnits(q *Quotas, now task.Time) int {
	if l.nonBinding() {
		return l.total
	}
	return l.ownUnits(q, now) - l.lent + l.usableBorrowed(now) - l.held
}

// nonBinding reports whether the limit can't be exceeded, because the upstreams have no more slots
// than it allows.
func (l *limit) nonBinding() bool {
	return l.slots > 0 && l.slots <= l.total
}

// ownUnits returns the number of units that this process owns, including lent ones.
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

// usableBorrowed returns the number of borrowed units that haven't expired.
func (l *limit) usableBorrowed(now task.Time) int {
	n := 0
	for _, b := range l.borrowed {
		if now < b.until {
			n += b.units
		}
	}
	return n
}

// Started counts a task start.
func (q *Quotas) Started(institution, team string) { q.adjustHeld(institution, team, 1) }

// Ended counts the end of a task counted by Started.
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

// Held returns the number of slots that tasks of a team or an institution hold in this process.
func (q *Quotas) Held(k Key) int {
	if l := q.limits[k]; l != nil {
		return l.held
	}
	return 0
}

// MaxSlots returns the number of slots that a team may hold at once over all processes, 0 if
// unlimited.
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
	// Limit applies over all processes. This process may use Own - Lent + Borrowed units.
	// Held is the number in use.
	Limit    int `json:"limit_slots"`
	Own      int `json:"own_slots"`
	Lent     int `json:"lent_slots"`
	Borrowed int `json:"borrowed_slots"`
	Held     int `json:"held_slots"`
	// Wanted is the number of units requested of other processes.
	Wanted int `json:"wanted_slots"`
	// Binding is false if the institution's upstreams have no more slots than the limit.
	Binding bool `json:"binding"`
}

// Dump returns the state of all limits in the order of their names.
func (q *Quotas) Dump(now task.Time) []LimitState {
	list := make([]LimitState, 0, len(q.sortedLimits))
	for _, l := range q.sortedLimits {
		list = append(list, LimitState{l.key.Institution, l.key.Team, l.total, l.ownUnits(q, now), l.lent, l.usableBorrowed(now), l.held, l.requested, !l.nonBinding()})
	}
	return list
}
