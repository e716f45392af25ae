package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// admissionCore is the core of one entry process with two upstreams of two slots.
type admissionCore struct {
	*Core
	g        *gomega.WithT
	clock    task.Time
	requests uint64
	ids      uint64
	block    *pb.IdBlock
}

func newAdmissionCore(t *testing.T, change func(*pb.Institution)) *admissionCore {
	inst := &pb.Institution{
		Name: "hollowell", TokenSha256: []string{strings.Repeat("a", 64)}, CapacityPercent: 50,
		ResponseTimeMs: 2000, RetryPercent: 10, ResubmitWindowS: 60,
		Teams:    []*pb.Team{{Name: "kitchens", QuotaSlots: 1}},
		Services: []*pb.Service{{Name: "label", Idempotent: true, RunTimeMs: 200, MaxTasks: 1000, MaxPayloadBytes: 10, CpuMillis: 500}},
	}
	if change != nil {
		change(inst)
	}
	c := &admissionCore{g: gomega.NewWithT(t), Core: New(DefaultConfig(task.Incarnation{Node: "n", Run: 1}, "d"))}
	c.Step(0, SettingsRead{&pb.Settings{Version: 1, Institutions: []*pb.Institution{inst}}})
	m := task.Members{Version: 1, Nodes: []task.Node{{Name: "n", FailureDomain: "d"}}}
	for _, name := range []string{"u0", "u1"} {
		m.Upstreams = append(m.Upstreams, task.Upstream{Name: name, FailureDomain: "d", Institution: "hollowell", Slots: 2, CPUMillis: 4000, MemoryMiB: 1000})
	}
	c.Step(0, MembersChanged{m})
	c.block = c.IssueIDs(0, 1000)
	return c
}

func (c *admissionCore) submit(own, team string, tasks int, runMs uint32) uint64 {
	id := &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: own}}
	if own == "" {
		id = &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: c.block.GetHolder(), Number: c.block.GetFirst() + c.ids}}}
		c.ids++
	}
	s := &pb.Submission{Id: id, Service: "label", Team: team}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{RunTimeMs: runMs})
	}
	c.requests++
	c.Step(c.clock, Submit{c.requests, "hollowell", s})
	return c.requests
}

// takeSorted takes the commands since the last call: answers by request, task starts, and the
// number of claim writes.
func (c *admissionCore) takeSorted() (answers map[uint64]*pb.Answer, starts []StartTask, writes int) {
	answers = make(map[uint64]*pb.Answer)
	for _, cmd := range c.TakeCommands() {
		switch cmd := cmd.(type) {
		case Reply:
			answers[cmd.Request] = cmd.Answer
		case StartTask:
			starts = append(starts, cmd)
		case ClaimWrite:
			writes++
		}
	}
	return answers, starts, writes
}

// A burst brings more jobs than can finish in their time. The excess jobs must be
// refused at once with a retry delay, and the delays must differ, because otherwise all
// callers would retry at the same time.
func TestJobsBeyondTheTimeAreRefusedAtOnce(t *testing.T) {
	c := newAdmissionCore(t, nil)
	for range 100 {
		c.submit("", "", 4, 200)
	}
	answers, _, _ := c.takeSorted()
	c.g.Expect(len(answers)).To(gomega.BeNumerically(">", 80))
	var last uint32
	for n := uint64(1); n <= 100; n++ {
		a := answers[n]
		if a == nil {
			continue
		}
		c.g.Expect(a.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_NOT_RUN))
		c.g.Expect(a.GetReason()).To(gomega.Equal(pb.Reason_REASON_OVERLOADED))
		c.g.Expect(a.GetRetryAfterMs()).To(gomega.BeNumerically(">", last))
		last = a.GetRetryAfterMs()
	}
	c.g.Expect(last).To(gomega.BeNumerically("<", 30_000))
}

// A job of many tasks makes others wait briefly, but these still finish in time. Jobs may be
// refused only if tasks have been waiting for a while, as under lasting overload.
func TestShortQueueCausesNoRefusals(t *testing.T) {
	c := newAdmissionCore(t, nil)
	c.submit("", "", 12, 200)
	c.clock += 20 * time.Millisecond
	n := c.submit("", "", 1, 200)
	answers, _, _ := c.takeSorted()
	c.g.Expect(answers[n]).To(gomega.BeNil())
	for c.clock < 1500*time.Millisecond {
		c.clock += 10 * time.Millisecond
		c.Tick(c.clock)
	}
	c.takeSorted()
	n = c.submit("", "", 1, 200)
	answers, _, _ = c.takeSorted()
	c.g.Expect(answers[n].GetReason()).To(gomega.Equal(pb.Reason_REASON_OVERLOADED))
}

// A job under the caller's own key arrives during a burst. A refusal after its claim was
// written would use up the key, and the job could never be done; so it must be refused before
// the claim.
func TestOwnKeyIsRefusedBeforeItsClaim(t *testing.T) {
	c := newAdmissionCore(t, nil)
	for range 100 {
		c.submit("", "", 4, 200)
	}
	c.takeSorted()
	n := c.submit("settle-lot-17", "", 4, 200)
	answers, _, writes := c.takeSorted()
	c.g.Expect(writes).To(gomega.BeZero())
	c.g.Expect(answers[n].GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_UNKNOWN))
	c.g.Expect(answers[n].GetRetryAfterMs()).To(gomega.BeNumerically(">", 0))
	for c.clock < 5*time.Second {
		c.clock += 10 * time.Millisecond
		c.Tick(c.clock)
	}
	c.submit("settle-lot-17", "", 4, 200)
	_, _, writes = c.takeSorted()
	c.g.Expect(writes).To(gomega.Equal(1))
}

// Some jobs can never run. A caller that gets a retry delay would retry for ever, so the
// answer must give the reason and no retry delay.
func TestJobsThatCanNeverRunAreRefusedWithTheReason(t *testing.T) {
	for name, job := range map[string]struct {
		change func(*pb.Institution)
		team   string
		tasks  int
		runMs  uint32
		detail string
	}{
		"processors": {func(i *pb.Institution) { i.Services[0].CpuMillis = 5000 }, "", 1, 200, "largest worker has 4000"},
		"memory":     {func(i *pb.Institution) { i.Services[0].MemoryMib = 1001 }, "", 1, 200, "largest worker has 1000"},
		"run time":   {nil, "", 1, 9000, "expected to run 9000 ms and the job has 2000 ms"},
		"quota":      {nil, "kitchens", 50, 200, "on 1 slots, the most it may ever hold"},
		"slots":      {nil, "", 200, 200, "on 4 slots, the most it may ever hold"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newAdmissionCore(t, job.change)
			n := c.submit("", job.team, job.tasks, job.runMs)
			answers, starts, _ := c.takeSorted()
			c.g.Expect(starts).To(gomega.BeEmpty())
			c.g.Expect(answers[n].GetReason()).To(gomega.Equal(pb.Reason_REASON_NEVER_RUNNABLE))
			c.g.Expect(answers[n].GetDetail()).To(gomega.ContainSubstring(job.detail))
			c.g.Expect(answers[n].GetRetryAfterMs()).To(gomega.BeZero())
		})
	}
}

// Two teams share the upstreams and one has more work than its quota. The other's tasks must
// not wait behind that work, and the dump must name the quota.
func TestTeamAtItsQuotaDoesNotDelayOthers(t *testing.T) {
	c := newAdmissionCore(t, nil)
	c.submit("", "kitchens", 3, 200)
	c.submit("", "", 2, 200)
	_, starts, _ := c.takeSorted()
	c.g.Expect(starts).To(gomega.HaveLen(3))
	c.g.Expect(c.Dump().Submissions[0].WaitsFor).To(gomega.Equal("the quota of its team"))
	c.g.Expect(c.Dump().Constraints.Limits[0].Held).To(gomega.Equal(1))
}

// One team has a backlog of seconds of work beyond its quota. Its further jobs must be
// refused, and those of others, for which slots are idle, must not be.
func TestBacklogOfOneTeamCausesNoOtherRefusals(t *testing.T) {
	c := newAdmissionCore(t, nil)
	c.submit("", "kitchens", 25, 200)
	others := c.submit("", "", 1, 200)
	kitchens := c.submit("", "kitchens", 1, 200)
	answers, starts, _ := c.takeSorted()
	c.g.Expect(starts).To(gomega.HaveLen(2))
	c.g.Expect(answers).NotTo(gomega.HaveKey(others))
	c.g.Expect(answers[kitchens].GetReason()).To(gomega.Equal(pb.Reason_REASON_OVERLOADED))
}

// A team is idle here and this process has lent its part of the team's quota to another.
// Then jobs arrive. The lent part returns within a second or two, so the jobs must not be
// refused while slots are idle.
func TestLentQuotaCausesNoRefusals(t *testing.T) {
	c := newAdmissionCore(t, func(i *pb.Institution) { i.Teams[0].QuotaSlots = 3 })
	other := task.Incarnation{Node: "m", Run: 2}
	list := c.view.List()
	list.Version++
	list.Nodes = append(list.Nodes, task.Node{Name: other.Node, FailureDomain: "e"})
	c.Step(0, MembersChanged{list})
	for c.clock < 10*time.Second {
		c.clock += 100 * time.Millisecond
		c.Tick(c.clock)
	}
	c.Step(c.clock, PeerUp{other, "e"})
	wanted := &pb.HeldSlots{Institution: "hollowell", Team: "kitchens", Wanted: 3}
	c.Step(c.clock, PeerMessage{other, &pb.PeerMessage{Status: &pb.PeerStatus{Sequence: 1, Quotas: &pb.QuotaStatus{Demand: []*pb.HeldSlots{wanted}}}}})
	limit := c.Dump().Constraints.Limits[0]
	c.g.Expect(limit.Lent).To(gomega.And(gomega.BeNumerically(">", 0), gomega.Equal(limit.Own)))
	c.submit("", "kitchens", 10, 200)
	n := c.submit("", "kitchens", 1, 200)
	answers, starts, _ := c.takeSorted()
	c.g.Expect(starts).To(gomega.BeEmpty(), "nothing has been returned yet")
	c.g.Expect(answers[n].String()).To(gomega.Equal("<nil>"))
}

// One of two upstreams begins to fail all its tasks. After a few failures it must get no
// more tasks, although its slots are idle.
func TestFailingUpstreamGetsNoMoreTasks(t *testing.T) {
	c := newAdmissionCore(t, nil)
	failed := 0
	for range 200 {
		c.clock += 10 * time.Millisecond
		c.submit("", "", 4, 200)
		_, starts, _ := c.takeSorted()
		for _, s := range starts {
			r := task.Result{Verdict: task.Finished}
			if s.Upstream == "u0" && c.clock > time.Second {
				r.Verdict = task.Failed
				failed++
			}
			c.Step(c.clock+time.Millisecond, StartResult{s.Start, r})
		}
	}
	c.g.Expect(c.Dump().Constraints.Health.Ejections).To(gomega.BeNumerically(">=", 1))
	c.g.Expect(failed).To(gomega.BeNumerically("<=", 8), "four jobs with two tasks each on u0: with one other upstream to compare with, ejection takes more failures than in a fleet")
	c.g.Expect(c.Dump().Constraints.Upstreams[0].State).To(gomega.Equal("ejected"))
}
