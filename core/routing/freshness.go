package routing

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// ConfirmInterval is the age at which the operator's settings are to be confirmed again, and so
	// the longest wait of a call for changes.
	ConfirmInterval = 1250 * time.Millisecond
	// maxSettingsAge is the age from which on requests await a confirmation. The platform
	// expects a change to apply to requests that are sent 2 s after its acknowledgement.
	maxSettingsAge = 1900 * time.Millisecond
	// confirmTimeout is how long requests await a confirmation, from when the store was asked for it, if the
	// process has had confirmTicks ticks since. With fewer it is short of processor time, and the answer may wait
	// to be read; requests then wait for up to maxConfirmTimeout.
	confirmTimeout    = 350 * time.Millisecond
	confirmTicks      = 14
	maxConfirmTimeout = 1500 * time.Millisecond
)

// Freshness records how current a copy of the operator's settings is: up to which time it has all
// changes that the store has acknowledged. An open connection on which nothing arrives is no
// evidence of that, and a process that was paused may have missed changes.
//
// The zero value is a copy that was never confirmed.
type Freshness struct {
	// confirmed: the copy was confirmed as of confirmedAt.
	confirmed   bool
	confirmedAt task.Time
	// asked: the store was asked at askedAt, and hasn't confirmed the copy since. ticks counts the calls of
	// Tick since then.
	asked   bool
	askedAt task.Time
	ticks   int
	// failed: a call that asked for a confirmation has failed since.
	failed bool
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

// Ask records that the store is to be asked for a confirmation, and reports whether this is the
// first call since the last confirmation. Only that one counts.
func (f *Freshness) Ask(now task.Time) bool {
	if f.asked {
		return false
	}
	f.asked, f.askedAt, f.ticks = true, now, 0
	return true
}

// Tick is to be called every 20 ms. Calls that come late show that the process is short of processor time.
func (f *Freshness) Tick() { f.ticks++ }

// Confirm records that the copy has all changes up to a time. It answers a call for a confirmation
// only if that was made before.
func (f *Freshness) Confirm(asOf task.Time) {
	if !f.confirmed || asOf > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, asOf
	}
	if asOf >= f.askedAt {
		f.asked, f.failed = false, false
	}
}

// Fail records that the store has rejected a call that asked for a confirmation, or left it unanswered.
func (f *Freshness) Fail() { f.failed = true }

// Await returns how long a request has to await a confirmation of the copy; 0 if it doesn't: the
// copy is current, or the store can't be asked, and what is known is better than no answer.
func (f *Freshness) Await(now task.Time) time.Duration {
	if f.Current(now) || f.failed {
		return 0
	}
	if !f.asked {
		return confirmTimeout
	}
	if f.ticks < confirmTicks {
		return max(0, f.askedAt+maxConfirmTimeout-now)
	}
	return max(0, f.askedAt+confirmTimeout-now)
}

// Current reports whether the copy is recent enough to decide by.
func (f *Freshness) Current(now task.Time) bool {
	return f.confirmed && now-f.confirmedAt <= maxSettingsAge
}
