package claim

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

// Unsettled is a claim that was given up before the outcome of the write of its row was known, so
// that the write may still take effect, or a cancelled claim. No task was started under it, so this
// incarnation may resume it if the row turns out to be that of this claim.
type Unsettled struct {
	Digest task.Digest
	// Number is the claim's number, which the row has if it was written.
	Number uint64
	// Cancelled: the caller cancelled the submission. It must not run, even if it is resubmitted.
	Cancelled bool
}

// UnsettledSet retains unsettled claims until their rows are deleted. If an evicted claim's row was
// written, its submission is never run: the row is taken for that of a finished job.
type UnsettledSet struct {
	// limit is the maximum length of order.
	limit  int
	claims map[task.ID]claimEntry
	// order has an entry for each Put, oldest first. Take leaves the entry in it.
	order []task.ID
}

type claimEntry struct {
	Unsettled
	// until is when the claim may be removed.
	until task.Time
}

// NewUnsettledSet returns a set of up to limit claims.
func NewUnsettledSet(limit int) *UnsettledSet {
	return &UnsettledSet{limit: limit, claims: make(map[task.ID]claimEntry)}
}

// Put adds a claim, to be retained until the given time. If the limit is exceeded, it evicts the
// claim that was put first.
func (u *UnsettledSet) Put(id task.ID, c Unsettled, until task.Time) {
	u.claims[id] = claimEntry{c, until}
	u.order = append(u.order, id)
	for len(u.order) > u.limit {
		u.evictFirst()
	}
}

// evictFirst removes the first entry of order and the claim of its id. The claim may have been taken
// already. If it was taken and put again, it is removed although its later entry remains in order.
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

// Expire removes the claims whose time has passed, in the order of Put.
func (u *UnsettledSet) Expire(now task.Time) {
	for len(u.order) > 0 && u.claims[u.order[0]].until <= now {
		u.evictFirst()
	}
}

// Len is the number of claims in the set.
func (u *UnsettledSet) Len() int { return len(u.claims) }
