package fleet_test

import (
	"fmt"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// What is known of two runs of a task that were alive at the same time.

// pairKind says what led to two runs at the same time: the last decision on the older one, whether its
// lease was over, what its runner did, and whether one process ordered both.
func (w *world) pairKind(older workload.RunKey, r *fakeRunner, younger workload.RunKey, other *fakeRunner) string {
	lease, by := "lease over", "one process"
	if r.clock() < r.leaseEnd {
		lease = "lease valid"
	}
	if w.startedBy(older, r) != w.startedBy(younger, other) {
		by = "two processes"
	}
	return fmt.Sprintf("%s; %s; %s; %s", w.lastDecision(older), lease, r.state(), by)
}

// lastDecision is the last decision on a run that a process has logged.
func (w *world) lastDecision(k workload.RunKey) string {
	for _, e := range slices.Backward(w.history[k.Task.String()]) {
		if e.decision && e.key == k.String() {
			return e.what
		}
	}
	return "no decision"
}

// startedBy is the process that last ordered the start of a run on a runner.
func (w *world) startedBy(k workload.RunKey, r *fakeRunner) string {
	for _, e := range slices.Backward(w.history[k.Task.String()]) {
		if e.key == k.String() && e.what == "orders start on "+string(r.info.ID) {
			return e.by
		}
	}
	return ""
}
