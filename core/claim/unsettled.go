package claim

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Unsettled is a claim that was given up on while a write of it may yet have
// taken effect. Nothing was started under it, so this incarnation may take it
// up again if the row turns out to be its own.
type Unsettled struct {
	Digest task.Digest
	// Number is that of the claim's row, if it was written.
	Number uint64
	// Cancelled: it must not run any more, whoever asks.
	Cancelled bool
}

// UnsettledSet keeps unsettled claims until their rows are gone. A forgotten
// one is never run: its row is then taken for that of a finished job.
type UnsettledSet struct {
	limit  int
	claims map[task.ID]claimEntry
	order  []task.ID
}

type claimEntry struct {
	Unsettled
	until task.Time
}

// NewUnsettledSet returns a set of up to limit claims.
func NewUnsettledSet(limit int) *UnsettledSet {
	return &UnsettledSet{limit: limit, claims: make(map[task.ID]claimEntry)}
}

// Put remembers a claim.
func (u *UnsettledSet) Put(id task.ID, c Unsettled, until task.Time) {
	u.claims[id] = claimEntry{c, until}
	u.order = append(u.order, id)
	for len(u.order) > u.limit {
		u.evictFirst()
	}
}

// evictFirst forgets the claim that was put first. One that was taken, or put again,
// since then is found under a later entry or not at all.
func (u *UnsettledSet) evictFirst() {
	delete(u.claims, u.order[0])
	u.order = u.order[1:]
}

// Take removes and returns a claim.
func (u *UnsettledSet) Take(id task.ID) (Unsettled, bool) {
	c, ok := u.claims[id]
	delete(u.claims, id)
	return c.Unsettled, ok
}

// Get finds a claim.
func (u *UnsettledSet) Get(id task.ID) (Unsettled, bool) {
	c, ok := u.claims[id]
	return c.Unsettled, ok
}

// Expire drops claims past their time.
func (u *UnsettledSet) Expire(now task.Time) {
	for len(u.order) > 0 && u.claims[u.order[0]].until <= now {
		u.evictFirst()
	}
}

// Len is the number of claims kept.
func (u *UnsettledSet) Len() int { return len(u.claims) }
