package claim

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Holder is what a claim row says.
type Holder struct {
	Incarnation task.Incarnation
	Digest      task.Digest
	// Number is the holder's own number of the claim.
	Number uint64
}

// Holders remembers claim rows that name other incarnations, so that further
// resubmissions through this process cost no attempt to write. A row never
// changes its holder, so an entry is true for as long as the row stands.
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

// Put remembers a row until the caller's time for resubmissions is over.
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

// Get finds the holder of a claim.
func (h *Holders) Get(id task.ID) (Holder, bool) {
	row, ok := h.rows[id]
	return row.holder, ok
}

// Expire drops rows past their time.
func (h *Holders) Expire(now task.Time) {
	for len(h.order) > 0 && h.rows[h.order[0]].until <= now {
		h.evictFirst()
	}
}

// Len is the number of rows remembered.
func (h *Holders) Len() int { return len(h.rows) }

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
