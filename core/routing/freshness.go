package routing

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// ConfirmInterval is the age at which the operator's settings are to be confirmed again, and so
// the longest wait of a call for changes.
const ConfirmInterval = 1250 * time.Millisecond

// Freshness records how current a copy of the operator's settings is: up to which time it has all
// changes that the store has acknowledged. An open connection on which nothing arrives is no
// evidence of that, nor is a process that was paused aware of what it has missed.
//
// The zero value is a copy that was never confirmed.
type Freshness struct {
	// confirmed: the copy was confirmed as of confirmedAt.
	confirmed   bool
	confirmedAt task.Time
}

// Age returns the time since the copy was last confirmed; false if it never was.
func (f *Freshness) Age(now task.Time) (time.Duration, bool) { return now - f.confirmedAt, f.confirmed }

// NextWait returns how long the next call to the store may wait for a change. After 0 the store
// answers at once, which confirms the copy.
func (f *Freshness) NextWait(now task.Time) time.Duration {
	if !f.confirmed {
		return 0
	}
	return max(0, ConfirmInterval-(now-f.confirmedAt))
}

// Confirm records that the copy has all changes up to a time.
func (f *Freshness) Confirm(asOf task.Time) {
	if !f.confirmed || asOf > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, asOf
	}
}
