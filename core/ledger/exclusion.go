package ledger

import (
	"slices"
	"time"
)

// Exclusion of VMs from a shard. A VM that was removed for good can't be distinguished from one
// behind a network partition, whose process may claim the shard in the store. Therefore an owner
// that has had no contact with a VM for long has the store refuse the shard to that VM for
// ExclusionTime, and renews this exclusion while it can. Until the exclusion expires, only processes
// that have contact with the owner can claim the shard, also while the owner can't reach the store.

const (
	// ExclusionTime is how long the store refuses the shard to excluded VMs after each
	// renewal. A store outage that lasts longer stops stored jobs.
	ExclusionTime = 30 * time.Second
	// exclusionRenewal is the time between renewals.
	exclusionRenewal = 10 * time.Second
	// exclusionMargin covers the difference between two readings of the store's clock.
	exclusionMargin = time.Second
)

// exclusion is the state of the VMs to which the store refuses the shard.
type exclusion struct {
	// wanted are the VMs to be refused, and requested those in the Claim in flight.
	wanted, requested []string
	// refused are the VMs that the store certainly refuses until the time until. since is
	// when that set began, and renewedAt is when it was last renewed.
	refused          []string
	until            Time
	since, renewedAt Time
}

// Exclude sets the VMs to which the store is to refuse the shard, in order.
func (l *Ledger) Exclude(vms []string) { l.exclusion.wanted = vms }

// Excludes reports whether the store refuses the shard to all of the VMs, and since when.
func (l *Ledger) Excludes(now Time, vms []string) (since Time, all bool) {
	for _, vm := range vms {
		if !slices.Contains(l.exclusion.refused, vm) {
			return 0, false
		}
	}
	return l.exclusion.since, now < l.exclusion.until
}

// due reports whether a Claim is needed to change or renew the exclusion.
func (x *exclusion) due(now Time) bool {
	if !slices.Equal(x.wanted, x.refused) {
		return true
	}
	return len(x.wanted) > 0 && now-x.renewedAt >= exclusionRenewal
}

// claimSent records that a Claim is sent. It may be carried out without an answer, so the VMs
// that it omits may claim the shard from now on.
func (x *exclusion) claimSent() {
	x.requested = x.wanted
	x.refused = slices.DeleteFunc(slices.Clone(x.refused), func(vm string) bool { return !slices.Contains(x.requested, vm) })
}

// claimApplied records that the Claim that was sent at the time sentAt was carried out.
func (x *exclusion) claimApplied(sentAt Time) {
	if !slices.Equal(x.refused, x.requested) {
		x.refused, x.since = x.requested, sentAt
	}
	x.renewedAt = sentAt
	x.until = sentAt + ExclusionTime - exclusionMargin
}
