package claim

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Holder is the content of the claim row of a caller's own key.
type Holder struct {
	Incarnation task.Incarnation
	// Digest is that of the submission, to detect another submission under the same key.
	Digest task.Digest
	// Number is the holder's number for the claim. It distinguishes this claim from other claims
	// that the same incarnation made for the key.
	Number uint64
}

// Holders caches claim rows that name other incarnations, so that further resubmissions
// through this process need no write. A row's holder never changes, so an entry is correct
// as long as the row exists.
type Holders struct {
	// limit is the maximum number of rows.
	limit int
	rows  map[task.ID]holderRow
	// order has the ids of the rows in the order in which they were first put.
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

// Put caches a row until the given time, the end of the period in which the caller may resubmit. If
// the limit is exceeded, it evicts the row that was put first.
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

// Get returns the cached holder of a claim, if there is one.
func (h *Holders) Get(id task.ID) (Holder, bool) {
	row, ok := h.rows[id]
	return row.holder, ok
}

// Expire removes the rows whose time has passed, in the order of Put.
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
