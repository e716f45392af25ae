package claim

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Unsettled is a claim that was given up while its write may still take effect. No task was
// started under it, so this incarnation may resume it if the row turns out to be its own.
type Unsettled struct {
	Digest task.Digest
	// Number is the number in the claim's row, if the row was written.
	Number uint64
	// Cancelled: the claim must not run any more, whoever resubmits it.
	Cancelled bool
}

// UnsettledSet retains unsettled claims until their rows are deleted. A claim that was evicted
// is never run: its row is taken for that of a finished job.
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

// Put adds a claim.
func (u *UnsettledSet) Put(id task.ID, c Unsettled, until task.Time) {
	u.claims[id] = claimEntry{c, until}
	u.order = append(u.order, id)
	for len(u.order) > u.limit {
		u.evictFirst()
	}
}

// evictFirst removes the first entry of the order with its claim. The claim may have been taken
// already; if it was put again, it is removed although its later entry remains.
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

// Get returns a claim.
func (u *UnsettledSet) Get(id task.ID) (Unsettled, bool) {
	c, ok := u.claims[id]
	return c.Unsettled, ok
}

// Expire removes the claims whose time has passed.
func (u *UnsettledSet) Expire(now task.Time) {
	for len(u.order) > 0 && u.claims[u.order[0]].until <= now {
		u.evictFirst()
	}
}

// Len is the number of claims in the set.
func (u *UnsettledSet) Len() int { return len(u.claims) }
