package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

var self = task.Incarnation{Node: "entry-0", Run: 1}

// readyCore returns a core that owns the slots of one runner.
func readyCore(change func(*Config)) *Core {
	cfg := DefaultConfig(self, "domain-0")
	change(&cfg)
	c := New(cfg)
	c.Step(0, SettingsRead{declared()})
	runner := task.Upstream{Name: "runner-0", FailureDomain: "domain-0", Institution: inst, Slots: 3}
	c.Step(0, MembersChanged{task.Members{Version: 1, Upstreams: []task.Upstream{runner}}})
	c.TakeCommands()
	return c
}

func ownKey(key string) *pb.SubmissionId {
	return &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: key}}
}

func settlement(key string) *pb.Submission {
	return &pb.Submission{Id: ownKey(key), Service: "settle", Tasks: []*pb.Task{{Payload: []byte("pay")}}}
}

func takeCommandsOf[C Command](c *Core) []C {
	var list []C
	for _, cmd := range c.TakeCommands() {
		if cmd, ok := cmd.(C); ok {
			list = append(list, cmd)
		}
	}
	return list
}

// A job under the caller's own key was done and answered, and newer answers have displaced
// its answer. The caller, who lost the answer, submits again. The reply of the table service
// to the new claim is lost, and its second write finds the row of the first claim. If that
// row were taken for the new claim's own, the job, a payment for instance, would be done
// twice.
func TestRowOfForgottenClaimStartsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(cfg *Config) { cfg.MaxRetainedAnswerBytes = 1 })
	c.Step(1*ms, Submit{1, inst, settlement("k")})
	w := takeCommandsOf[ClaimWrite](c)[0]
	row := ClaimConflict{w.Claims[0].ID, self, w.Claims[0].Digest, w.Claims[0].Number}
	c.Step(2*ms, ClaimResult{Batch: w.Batch, OK: true})
	c.Step(3*ms, StartResult{takeCommandsOf[StartTask](c)[0].Start, task.Result{Verdict: task.Finished}})
	g.Expect(takeCommandsOf[Reply](c)[0].Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))

	c.Step(time.Second, Submit{2, inst, settlement("k")})
	c.Step(time.Second, ClaimResult{Batch: takeCommandsOf[ClaimWrite](c)[0].Batch})
	c.Tick(1100 * ms)
	c.Step(1100*ms, ClaimResult{Batch: takeCommandsOf[ClaimWrite](c)[0].Batch, OK: true, Conflicts: []ClaimConflict{row}})

	all := c.TakeCommands()
	g.Expect(all).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(StartTask{})))
	g.Expect(all).To(gomega.HaveLen(1))
	g.Expect(all[0].(Reply).Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_FAILED))
}

// A caller cancels a job while its claim is being written, and the store is so slow that the
// answer is "unknown". When the client automatically submits again, the job must not run.
func TestCancelledWhileClaimingNeverRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	c.Step(1*ms, Submit{1, inst, settlement("k")})
	w := takeCommandsOf[ClaimWrite](c)[0]
	c.Step(2*ms, Cancel{2, inst, ownKey("k")})
	c.Tick(5 * time.Second)
	g.Expect(takeCommandsOf[Reply](c)).To(gomega.HaveLen(2))

	c.Step(6*time.Second, Submit{3, inst, settlement("k")})
	c.Step(6*time.Second, ClaimResult{Batch: w.Batch})
	c.Tick(7 * time.Second)
	c.Step(7*time.Second, ClaimResult{Batch: takeCommandsOf[ClaimWrite](c)[0].Batch, OK: true})
	all := c.TakeCommands()
	g.Expect(all).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(StartTask{})))
	g.Expect(all[len(all)-1].(Reply).Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_NOT_RUN))
}

// The table service is down for ten seconds while callers keep submitting. If each submission
// began a write at once, the writes would overload the service again when it comes back.
func TestClaimWritesBackOffDuringOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	writes := 0
	for i := range 10_000 {
		now := time.Duration(i+1) * ms
		c.Step(now, Submit{uint64(i), inst, settlement(fmt.Sprint("k", i))})
		for _, w := range takeCommandsOf[ClaimWrite](c) {
			writes++
			c.Step(now, ClaimResult{Batch: w.Batch})
		}
	}
	// The backoff grows to half a second, less its jitter.
	g.Expect(writes).To(gomega.BeNumerically("<", 60))
	c.Tick(20 * time.Second)
	g.Expect(c.stateSizes()["requests"]).To(gomega.BeZero())
}

// The deployment has grown from seven entry VMs to a hundred, and all take jobs under own keys
// at once. If each process wrote as often as before, the table service would fall behind and no
// such job would be answered in time.
func TestClaimWritesOfAllProcessesStayWithinTheBudget(t *testing.T) {
	const nodes, writesPerSecond = 100, 250
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	m := task.Members{Version: 2, Nodes: []task.Node{{Name: self.Node, FailureDomain: "domain-0"}}}
	for i := 1; i < nodes; i++ {
		m.Nodes = append(m.Nodes, task.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: "domain-1"})
	}
	c.Step(1*ms, MembersChanged{m})
	writes := 0
	for now := 2 * ms; now < 10*time.Second; now += 25 * ms {
		c.Step(now, Submit{uint64(now), inst, settlement(fmt.Sprint(now))})
		for list := c.TakeCommands(); len(list) > 0; list = c.TakeCommands() {
			for _, cmd := range list {
				switch cmd := cmd.(type) {
				case ClaimWrite:
					writes++
					c.Step(now, ClaimResult{Batch: cmd.Batch, OK: true})
				case StartTask:
					c.Step(now, StartResult{cmd.Start, task.Result{Verdict: task.Finished}})
				}
			}
		}
	}
	g.Expect(writes).To(gomega.BeNumerically(">", 1))
	g.Expect(writes * nodes).To(gomega.BeNumerically("<=", 10*writesPerSecond+nodes))
}

// An entry VM begins its planned stop while a claim is being written. The job was accepted,
// so it must run and be answered before the stop.
func TestPlannedStopServesAClaimUnderWay(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	c.Step(1*ms, Submit{1, inst, settlement("k")})
	w := takeCommandsOf[ClaimWrite](c)[0]
	c.Step(2*ms, Drain{})
	c.Step(3*ms, ClaimResult{Batch: w.Batch, OK: true})
	c.Step(4*ms, StartResult{takeCommandsOf[StartTask](c)[0].Start, task.Result{Verdict: task.Finished}})
	all := c.TakeCommands()
	g.Expect(all[len(all)-2].(Reply).Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))
	g.Expect(all[len(all)-1]).To(gomega.Equal(Drained{}))
}
