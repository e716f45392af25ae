package soak

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// A stored job fails once runners have crashed under one of its tasks as often as maxCrashes.

// maxCrashes is the number of runners that may crash under a task; its job fails with the last one.
const maxCrashes = 3

// crashesRunners reports whether so many runners have crashed under a task of a job that the job may fail. The caller holds
// the lock.
func (c *checker) crashesRunners(job string) bool {
	for task, n := range c.crashes {
		if n >= maxCrashes && jobOfTask(task) == job {
			return true
		}
	}
	return false
}

// Guards against a checker that overlooks a job which fails though fewer than three runners have crashed under each of its tasks.
func TestCheckerNoticesAJobThatFailsWithoutCause(t *testing.T) {
	g := NewWithT(t)
	c := newChecker()
	runner := &deployment.Runner{ID: "i-1"}
	const job = "0000000300000001"
	crash := func(task string, run int) {
		c.RunStarted(runner, deployment.RunID{Task: task, Run: run})
		c.RunEnded(runner, deployment.RunID{Task: task, Run: run}, "crashed")
	}
	c.recordAccepted(job, 2)
	crash(job+".0.0.0", 1)
	crash(job+".0.0.0", 2)
	crash(job+".0.0.1", 1)
	c.checkJobState(job, http.StatusOK, "failed")
	g.Expect(c.allViolations()).To(HaveLen(1))
	crash(job+".0.0.0", 3)
	g.Expect(c.checkJobState(job, http.StatusOK, "failed")).To(BeTrue())
	g.Expect(c.allViolations()).To(HaveLen(1))
	g.Expect(c.unfinishedJobs()).To(BeEmpty())
}
