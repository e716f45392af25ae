package schedule

import (
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Another writer may change a runner's entry. So what the entry says doesn't show alone that a run can't be on the
// runner, or that the run's incarnation has been at an address: a scheduler that knew the right entry may have started
// the run. It does once this process has known the runner for entryTrustDelay, if the entry has said the same all the
// time. An entry that has changed never does.

// entryTrustDelay is how long an entry must have been known: as long as prior runs may live on a silent runner.
const entryTrustDelay = maxPriorRunLife + MaxLateEnd

// entryTrusted reports whether the runner's entry shows what can't be on the runner.
func (r *runner) entryTrusted(now Time) bool { return now >= r.entryTrustedAt }

// noteEntryChange records that the runner's entry is about to be replaced.
func (r *runner) noteEntryChange(info workload.Runner) {
	if describesOther(r.info, info) {
		r.entryTrustedAt = never
	}
}

// describesOther reports whether two entries of a runner differ in which tasks it can take, or in where it is.
func describesOther(a, b workload.Runner) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Capacity != b.Capacity || !slices.Equal(a.Labels, b.Labels)
}

// mayServe reports whether the runner may have runs of a service.
func (r *runner) mayServe(service string, now Time) bool {
	return r.info.Service == service || !r.entryTrusted(now)
}

// mayTake reports whether the runner, if it serves the step's service, may have runs of the step's tasks.
func (r *runner) mayTake(step *workload.Step, now Time) bool {
	return !r.entryTrusted(now) || r.info.HasLabel(step.Requires) && step.Need.Fits(r.info.Capacity)
}

// wasAt reports whether the incarnation that this process knows is shown to have been at the address in the runner's
// entry: it has answered there, or it hasn't answered anywhere and its entry is trusted.
func (r *runner) wasAt(now Time) bool {
	if r.answeredAddress == "" {
		return r.entryTrusted(now)
	}
	return r.answeredAddress == r.info.Address
}
