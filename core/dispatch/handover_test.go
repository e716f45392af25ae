package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (w *world) issue(e *fakeEntry) *pb.SubmissionId {
	e.record(logEntry{at: e.clock(), issued: 1})
	b := e.core.IssueIDs(e.clock(), 1)
	if b == nil {
		return nil
	}
	return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: b.GetHolder(), Number: b.GetFirst()}}}
}

// outcomesOf submits every job again at an entry and counts the answers by outcome.
func (w *world) outcomesOf(e *fakeEntry, jobs []*fakeJob) map[pb.Outcome]int {
	before := len(w.oracle.outcomeLog)
	for _, j := range jobs {
		w.oracle.submit(e, j, proto.CloneOf(j.request))
		w.advance(10 * ms)
	}
	w.advance(500 * ms)
	outcomes := make(map[pb.Outcome]int)
	for _, o := range w.oracle.outcomeLog[before:] {
		outcomes[o]++
	}
	return outcomes
}

// An entry VM is replaced in a rolling restart. Callers that lost the answer to a finished
// job, or hold ids not used yet, ask through other entry VMs. Without the handover they would
// be answered "failed, may have run" and would have to check by hand what was done.
func TestPlannedStopHandsItsAnswersOver(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(1, 3, false, t.Fatalf)
	var done, unused []*fakeJob
	for range 3 {
		done = append(done, w.oracle.newJob(w.issue(w.entries[0]), "labels", 2), w.oracle.newJob(ownKey(string(rune('a'+len(done)))), "settle", 1))
		unused = append(unused, w.oracle.newJob(w.issue(w.entries[0]), "labels", 1))
	}
	g.Expect(w.outcomesOf(w.entries[0], done)).To(gomega.Equal(map[pb.Outcome]int{pb.Outcome_OUTCOME_COMPLETE: 6}))
	// There are two planned stops in a row: the second process hands on what it has
	// adopted from the first, and the third gets notice of both.
	for i := range 2 {
		w.entries[i].post(0, Drain{})
		w.advance(8 * time.Second)
		for _, e := range w.entries {
			g.Expect(w.outcomesOf(e, done)).To(gomega.Equal(map[pb.Outcome]int{pb.Outcome_OUTCOME_COMPLETE: 6}))
			g.Expect(w.outcomesOf(e, unused)).To(gomega.Equal(map[pb.Outcome]int{pb.Outcome_OUTCOME_NOT_RUN: 3}))
		}
	}
}

// An entry VM is replaced while two others are partitioned, and the one that adopted its
// answers is unreachable from the other. The other one is connected with the new run, but must
// not conclude that the old run is gone: its caller would submit the job again.
func TestHolderIsNotGoneWhileItsSuccessorMayBeCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(3, 3, false, t.Fatalf)
	j := w.oracle.newJob(w.issue(w.entries[0]), "labels", 1)
	jobs := []*fakeJob{j}
	g.Expect(w.outcomesOf(w.entries[0], jobs)).To(gomega.HaveKey(pb.Outcome_OUTCOME_COMPLETE))
	l, _ := w.link(1, 2)
	l.cut = true
	w.disconnect(1, 2, idleTimeout)
	w.entries[0].post(0, Drain{})
	w.advance(8 * time.Second)
	for range 5 {
		g.Expect(w.outcomesOf(w.entries[1], jobs)).To(gomega.HaveKey(pb.Outcome_OUTCOME_UNKNOWN))
	}
	l.cut = false
	w.advance(time.Second)
	g.Expect(w.outcomesOf(w.entries[1], jobs)).To(gomega.HaveKey(pb.Outcome_OUTCOME_COMPLETE))
}

// A client loses its answer and resubmits five times, through every entry VM in turn, while
// the holder of the claim is paused beyond every timeout, resumed and finally killed. Each
// task must start at most once, and no entry may answer that the job was not run.
func TestFiveResubmissionsWhileTheHolderIsPausedAndKilled(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, id := range []func(w *world) *pb.SubmissionId{
		func(w *world) *pb.SubmissionId { return w.issue(w.entries[0]) },
		func(w *world) *pb.SubmissionId { return ownKey("bid") },
	} {
		w := newWorld(2, 3, false, t.Fatalf)
		j := w.oracle.newJob(id(w), "labels", 3)
		holder := w.entries[0]
		w.oracle.submit(holder, j, j.request)
		w.advance(30 * ms)
		w.pause(holder)
		for i := range 5 {
			w.advance(3 * time.Second)
			if i == 2 {
				w.resume(holder)
			}
			if i == 3 {
				w.replace(holder)
			}
			w.oracle.submit(w.entries[(i+1)%3], j, proto.CloneOf(j.request))
		}
		w.advance(10 * time.Second)
		g.Expect(len(j.starts)).To(gomega.BeNumerically(">", 0))
		g.Expect(w.oracle.outcomeLog).NotTo(gomega.ContainElement(pb.Outcome_OUTCOME_NOT_RUN))
		g.Expect(len(w.oracle.outcomeLog)).To(gomega.BeNumerically(">=", 5))
	}
}

// An entry VM stopped and handed over to a peer. That peer has since handed over to this
// process, without the first holder, whose record had expired. A request for an id of the
// first holder must still be answered; the process panicked instead.
func TestExpiredAdoptedHolderIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	first, second := task.Incarnation{Node: "entry-1", Run: 1}, task.Incarnation{Node: "entry-2", Run: 2}
	handed := func(holder task.Incarnation) []*pb.HandedHolder {
		return []*pb.HandedHolder{{Holder: holder.Proto(), KeepMs: 60_000}}
	}
	c.Step(ms, PeerUp{second, "domain-0"})
	c.Step(ms, PeerMessage{second, &pb.PeerMessage{Body: &pb.PeerMessage_HandoverNotice{HandoverNotice: &pb.HandoverNotice{Holders: handed(first)}}}})
	c.Step(ms, PeerMessage{second, &pb.PeerMessage{Body: &pb.PeerMessage_Handover{Handover: &pb.Handover{Sequence: 1, From: second.Proto(), Last: true, Holders: handed(second)}}}})
	id := task.ID{Institution: inst, Holder: first, Number: 1}
	c.Step(2*ms, Submit{1, inst, &pb.Submission{Id: id.Proto(), Service: "labels", Tasks: []*pb.Task{{}}}})
	g.Expect(takeCommandsOf[Reply](c)[0].Answer.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_FAILED))
}

// BenchmarkHandover builds the handover messages of a process that stops. Each message is
// acknowledged before the next is sent.
func BenchmarkHandover(b *testing.B) {
	const n = 20_000
	c := readyCore(func(*Config) {})
	for i := range n {
		id := task.ID{Institution: inst, Holder: self, Number: uint64(i + 1)}
		a := answerFor(id, task.Digest{1}, pb.Outcome_OUTCOME_COMPLETE, 0, "")
		for k := range 4 {
			a.Results = append(a.Results, &pb.TaskResult{Index: uint32(k), Output: make([]byte, 64)})
		}
		c.answers.Put(id, a, time.Hour)
	}
	var messages, bytes int
	for b.Loop() {
		messages, bytes = 0, 0
		for _, m := range c.handoverMessages() {
			messages++
			bytes += proto.Size(m)
		}
	}
	b.ReportMetric(float64(messages)/n*1000, "messages/1000-answers")
	b.ReportMetric(float64(bytes)/n, "bytes/answer")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/answer")
}

// A caller resubmits through the entry VM to which its answer is being handed over. The
// claim row of the key names the stopped process, and the answer arrived while the claim
// was being written. The caller must get that answer, not "failed".
func TestAnswerHandedOverDuringAClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	c := readyCore(func(*Config) {})
	stopped := task.Incarnation{Node: "entry-2", Run: 2}
	c.Step(ms, PeerUp{stopped, "domain-0"})
	c.Step(ms, Submit{1, inst, settlement("k")})
	w := takeCommandsOf[ClaimWrite](c)[0]
	done := answerFor(w.Claims[0].ID, w.Claims[0].Digest, pb.Outcome_OUTCOME_COMPLETE, 0, "")
	c.Step(2*ms, PeerMessage{stopped, &pb.PeerMessage{Body: &pb.PeerMessage_Handover{Handover: &pb.Handover{
		Sequence: 1, From: stopped.Proto(), Last: true,
		Claims:  []*pb.HandedClaim{{Institution: inst, Answer: done, KeepMs: 60_000}},
		Holders: []*pb.HandedHolder{{Holder: stopped.Proto(), KeepMs: 60_000}},
	}}}})
	c.Step(3*ms, ClaimResult{Batch: w.Batch, OK: true, Conflicts: []ClaimConflict{{w.Claims[0].ID, stopped, w.Claims[0].Digest, 7}}})
	g.Expect(takeCommandsOf[Reply](c)[0].Answer).To(gomega.BeIdenticalTo(done))
}
