package ledger

import (
	"slices"
	"time"
)

// A VM that was removed for good can't be told from one behind a cut, whose process
// may take the shard in the store. So an owner that hasn't heard a VM for long has the
// store refuse the shard to that VM for a time, and renews this while it can. Meanwhile
// only processes that it hears could take the shard, also while the store is away from
// this one.

const (
	// ExclusionTime is how long the store refuses the shard to VMs from each renewal
	// on. An outage of the store that lasts longer stops stored jobs.
	ExclusionTime = 30 * time.Second
	// exclusionRenewal is how often that is renewed.
	exclusionRenewal = 10 * time.Second
	// exclusionMargin covers what two readings of the store's clock may differ by.
	exclusionMargin = time.Second
)

// exclusion is what the store refuses the shard to.
type exclusion struct {
	// wanted are the VMs that are to be refused, and requested those in the Claim on its
	// way.
	wanted, requested []string
	// refused are those that the store surely refuses until a time.
	refused          []string
	until            Time
	since, renewedAt Time
}

// Exclude says to which VMs the store is to refuse the shard, in order.
func (l *Ledger) Exclude(vms []string) { l.exclusion.wanted = vms }

// Excludes reports whether the store refuses the shard to all of some VMs, and since
// when.
func (l *Ledger) Excludes(now Time, vms []string) (since Time, all bool) {
	for _, vm := range vms {
		if !slices.Contains(l.exclusion.refused, vm) {
			return 0, false
		}
	}
	return l.exclusion.since, now < l.exclusion.until
}

// due reports whether the store is to be told.
func (x *exclusion) due(now Time) bool {
	if !slices.Equal(x.wanted, x.refused) {
		return true
	}
	return len(x.wanted) > 0 && now-x.renewedAt >= exclusionRenewal
}

// claimSent notes that a Claim is sent. It may be carried out without an answer, so VMs that
// it leaves out may take the shard from now on.
func (x *exclusion) claimSent() {
	x.requested = x.wanted
	x.refused = slices.DeleteFunc(slices.Clone(x.refused), func(vm string) bool { return !slices.Contains(x.requested, vm) })
}

// claimApplied notes that a Claim was carried out that was sent at a time.
func (x *exclusion) claimApplied(sentAt Time) {
	if !slices.Equal(x.refused, x.requested) {
		x.refused, x.since = x.requested, sentAt
	}
	x.renewedAt = sentAt
	x.until = sentAt + ExclusionTime - exclusionMargin
}
