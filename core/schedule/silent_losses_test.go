package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Guards against an accepted job that fails because runners are out of reach, one after the other: none is known to have
// crashed, and no run to have failed.
func TestRunnersThatStaySilentFailNoJob(t *testing.T) {
	c := leadingBorn(t, "r1", "r2", "r3", "r4", "r5", "r6")
	j := testJob(1, 20*time.Second)
	j.Stored, j.Objective = true, 100*time.Second
	c.submit(j, 20*time.Second)
	c.pass(20 * ms)
	for n := range maxLosses {
		list := take[Start](c.harness)
		if len(list) != 1 {
			t.Fatal(n, len(list), c.s.State(j.ID, c.now))
		}
		c.started(list[0])
		c.pass(40 * ms)
		c.silent[list[0].Runner] = true
		c.pass(20 * time.Second)
	}
	c.g.Expect(c.s.State(j.ID, c.now).Outcome).NotTo(Equal(workload.JobFailed))
}
