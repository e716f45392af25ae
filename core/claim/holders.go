package claim

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Holder is the content of a claim row.
type Holder struct {
	Incarnation task.Incarnation
	Digest      task.Digest
	// Number is the number that the holder gave to the claim.
	Number uint64
}

// Holders caches claim rows that name other incarnations, so that further resubmissions
// through this process need no write. A row's holder never changes, so an entry is correct
// as long as the row exists.
type Holders struct {
	limit int
	rows  map[task.ID]holderRow
	order []task.ID
}

type holderRow struct {
	holder Holder
	until  task.Time
}

// NewHolders returns a cache of up to limit rows.
func NewHolders(limit int) *Holders {
	return &Holders{limit: limit, rows: make(map[task.ID]holderRow)}
}

// Put caches a row until the given time, the end of the caller's resubmissions.
func (h *Holders) Put(id task.ID, holder Holder, until task.Time) {
	if _, known := h.rows[id]; !known {
		h.order = append(h.order, id)
	}
	h.rows[id] = holderRow{holder, until}
	for len(h.order) > h.limit {
		h.evictFirst()
	}
}

func (h *Holders) evictFirst() {
	delete(h.rows, h.order[0])
	h.order = h.order[1:]
}

// Get returns the holder of a claim.
func (h *Holders) Get(id task.ID) (Holder, bool) {
	row, ok := h.rows[id]
	return row.holder, ok
}

// Expire removes the rows whose time has passed.
func (h *Holders) Expire(now task.Time) {
	for len(h.order) > 0 && h.rows[h.order[0]].until <= now {
		h.evictFirst()
	}
}

// Len is the number of rows cached.
func (h *Holders) Len() int { return len(h.rows) }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
