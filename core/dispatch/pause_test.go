package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// pausedJob returns a core with a job whose tasks are started, and the time at which the process
// resumes after a pause, past the job's deadline.
func pausedJob(g *gomega.WithT, tasks int) (*Core, []StartTask, task.Time) {
	c := readyCore(func(*Config) {})
	block := c.IssueIDs(1*ms, 1)
	id := &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: block.GetHolder(), Number: block.GetFirst()}}}
	s := &pb.Submission{Id: id, Service: "labels"}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("label")})
	}
	c.Step(1*ms, Submit{1, inst, s})
	starts := takeCommandsOf[StartTask](c)
	g.Expect(starts).NotTo(gomega.BeEmpty())
	resumed := starts[0].Deadline + time.Second
	c.Tick(resumed)
	return c, starts, resumed
}

// Guards against a job that is given up although it is done: the process was paused until after the
// job's deadline, and its timers are due before it reads the results from its buffers.
func TestResultsThatArrivedDuringAPauseCount(t *testing.T) {
	g := gomega.NewWithT(t)
	c, starts, resumed := pausedJob(g, 2)
	g.Expect(takeCommandsOf[Reply](c)).To(gomega.BeEmpty())
	for _, s := range starts {
		c.Step(resumed+resultWindow/2, StartResult{s.Start, task.Result{Verdict: task.Finished}})
	}
	replies := takeCommandsOf[Reply](c)
	g.Expect(replies).To(gomega.HaveLen(1))
	g.Expect(replies[0].Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))
	c.Tick(resumed + time.Second)
	g.Expect(c.Stats().Pauses).To(gomega.BeEquivalentTo(1))
}

// Guards against a caller who waits on for a job that can't complete after a pause: no result comes,
// not all tasks were started, or one turns out not to have been started.
func TestAJobThatIsNotDoneAfterAPauseIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	c, _, resumed := pausedJob(g, 2)
	c.Tick(resumed + resultWindow)
	replies := takeCommandsOf[Reply](c)
	g.Expect(replies).To(gomega.HaveLen(1))
	g.Expect(replies[0].Answer.GetReason()).To(gomega.Equal(pb.Reason_REASON_DEADLINE))
	g.Expect(replies[0].Answer.GetMayHaveRun()).To(gomega.BeTrue())

	c, _, _ = pausedJob(g, 5)
	g.Expect(takeCommandsOf[Reply](c)).To(gomega.HaveLen(1), "three slots for five tasks")

	c, starts, resumed := pausedJob(g, 2)
	c.Step(resumed+resultWindow/2, StartResult{starts[0].Start, task.Result{Verdict: task.NotStarted}})
	g.Expect(takeCommandsOf[Reply](c)).To(gomega.HaveLen(1))
}
