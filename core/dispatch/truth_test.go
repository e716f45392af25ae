package dispatch

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// slack is how late a reply may be in virtual time.
const slack = 20 * ms

// truth knows what was asked, what ran and what was answered over all
// incarnations, and fails the run on the first broken promise.
type truth struct {
	w        *world
	fail     func(format string, args ...any)
	jobs     []*fakeJob
	byTask   map[string]*fakeJob
	open     map[uint64]*fakeRequest
	last     uint64
	outcomes map[string]int
	// words are the outcomes given, in order.
	words []pb.Outcome
}

// fakeJob is one submission id.
type fakeJob struct {
	wire     *pb.SubmissionId
	id       task.ID
	request  *pb.Submission
	first    time.Duration
	due      time.Duration
	starts   map[string]int
	notRun   bool
	complete *pb.Answer
	failed   bool
}

// fakeRequest is one request that waits for its reply.
type fakeRequest struct {
	number  uint64
	entry   *fakeEntry
	job     *fakeJob
	request *pb.Submission
	due     time.Duration
	// gone is set when its caller doesn't wait any more.
	gone bool
}

func newTruth(w *world, fail func(string, ...any)) *truth {
	return &truth{w: w, fail: fail, byTask: make(map[string]*fakeJob), open: make(map[uint64]*fakeRequest), outcomes: make(map[string]int)}
}

func (tr *truth) newJob(wire *pb.SubmissionId, service string, tasks int) *fakeJob {
	j := &fakeJob{wire: wire, id: task.IDOf(inst, wire), first: tr.w.now, starts: make(map[string]int)}
	j.request = &pb.Submission{Id: wire, Service: service}
	for i := range tasks {
		j.request.Tasks = append(j.request.Tasks, &pb.Task{Payload: fmt.Appendf(nil, "p%d.%d", len(tr.jobs), i)})
		tr.byTask[taskName(j.id, i)] = j
	}
	tr.jobs = append(tr.jobs, j)
	return j
}

// submit sends a request to an entry; it arrives a moment later.
func (tr *truth) submit(e *fakeEntry, j *fakeJob, s *pb.Submission) {
	wait := time.Duration(responseMs) * ms
	if t := time.Duration(s.GetTimeoutMs()) * ms; t > 0 {
		wait = min(wait, t)
	}
	tr.ask(e, j, s, wait, func(n uint64) Event { return Submit{n, inst, proto.CloneOf(s)} })
}

func (tr *truth) cancel(e *fakeEntry, j *fakeJob) {
	tr.ask(e, j, nil, time.Duration(responseMs)*ms, func(n uint64) Event { return Cancel{n, inst, j.wire} })
}

func (tr *truth) ask(e *fakeEntry, j *fakeJob, s *pb.Submission, wait time.Duration, event func(uint64) Event) {
	tr.last++
	n := tr.last
	sent := tr.w.now
	e.do(tr.w.jitter(ms), func() {
		tr.open[n] = &fakeRequest{number: n, entry: e, job: j, request: s, due: tr.w.now + wait}
		if s != nil {
			j.due = max(j.due, sent+wait)
		}
		e.step(event(n))
	})
}

func (tr *truth) callerGone(r *fakeRequest) {
	r.entry.do(0, func() {
		r.gone = true
		r.entry.step(CallerGone{r.number})
		delete(tr.open, r.number)
	})
}

// forget drops the requests of a run that ended: their callers see it.
func (tr *truth) forget(e *fakeEntry) {
	for n, r := range tr.open {
		if r.entry == e {
			delete(tr.open, n)
		}
	}
}

func (tr *truth) drained(e *fakeEntry) {
	for _, r := range tr.open {
		if r.entry == e && !r.gone {
			tr.fail("a planned stop cut off request %d for %s", r.number, r.job.id)
		}
	}
}

// overdue looks for requests without a reply past their deadline.
func (tr *truth) overdue() {
	for _, r := range tr.open {
		late := tr.w.now > r.due+slack && tr.w.now > r.entry.resumed+slack
		if late && r.entry.alive && !r.entry.paused {
			tr.fail("request %d for %s at %s has no reply by its deadline", r.number, r.job.id, r.entry.self())
		}
	}
}

// started checks the start of a task against the deadlines of its callers.
func (tr *truth) started(e *fakeEntry, cmd StartTask) {
	j := tr.byTask[cmd.Name]
	if e.clock() >= cmd.Deadline {
		tr.fail("%s started past its deadline", cmd.Name)
	}
	if e.born+cmd.Deadline > j.due+slack+tr.w.late(j.due-responseMs*ms) {
		tr.fail("%s has a deadline of %s, its last caller %s", cmd.Name, e.born+cmd.Deadline, j.due)
	}
}

// ran is the ground truth: a runner begins a task.
func (tr *truth) ran(cmd StartTask) {
	j := tr.byTask[cmd.Name]
	j.starts[cmd.Name]++
	if j.starts[cmd.Name] > 1 {
		tr.fail("%s started twice", cmd.Name)
	}
	if j.notRun {
		tr.fail("%s started after the answer not-run", cmd.Name)
	}
}

func (tr *truth) answered(e *fakeEntry, r Reply) {
	req := tr.open[r.Request]
	if req == nil || req.entry != e {
		tr.fail("a reply to request %d, which isn't open", r.Request)
		return
	}
	delete(tr.open, r.Request)
	if tr.w.now > req.due+slack && tr.w.now > e.resumed+slack {
		tr.fail("request %d for %s was answered %s late", r.Request, req.job.id, tr.w.now-req.due)
	}
	tr.outcomes[r.Answer.GetOutcome().String()+" "+r.Answer.GetReason().String()]++
	tr.words = append(tr.words, r.Answer.GetOutcome())
	tr.judge(req, r.Answer)
}

func (tr *truth) judge(req *fakeRequest, a *pb.Answer) {
	j := req.job
	if !proto.Equal(a.GetId(), j.wire) {
		tr.fail("request for %s got the answer of %s", j.id, a.GetId())
	}
	if req.request != nil {
		if d := task.DigestOf(req.request); !bytes.Equal(a.GetDigest(), d[:]) {
			tr.fail("request for %s got the answer to another payload", j.id)
		}
	}
	switch a.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETE:
		tr.judgeComplete(req, a)
	case pb.Outcome_OUTCOME_NOT_RUN:
		if len(j.starts) > 0 || j.complete != nil {
			tr.fail("false not-run for %s", j.id)
		}
		if j.failed && !tr.w.replacedPaused {
			tr.fail("not-run after failed for %s", j.id)
		}
		j.notRun = true
	case pb.Outcome_OUTCOME_FAILED:
		if !a.GetMayHaveRun() {
			tr.fail("failed without may-have-run for %s", j.id)
		}
		// An answer that isn't kept any more was given before, as another word.
		j.failed = j.failed || a.GetReason() != pb.Reason_REASON_ID_EXPIRED
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE && len(a.GetResults()) > 0 {
		tr.fail("a partial answer for %s", j.id)
	}
}

func (tr *truth) judgeComplete(req *fakeRequest, a *pb.Answer) {
	j := req.job
	if j.notRun {
		tr.fail("complete after not-run for %s", j.id)
	}
	if j.complete != nil && !proto.Equal(j.complete, a) {
		tr.fail("two complete answers for %s", j.id)
	}
	if j.failed && j.complete == nil && !tr.w.replacedPaused {
		tr.fail("complete after failed for %s", j.id)
	}
	j.complete = a
	if req.request == nil {
		return
	}
	if len(a.GetResults()) != len(req.request.GetTasks()) {
		tr.fail("%d results for %d tasks of %s", len(a.GetResults()), len(req.request.GetTasks()), j.id)
	}
	for i, t := range req.request.GetTasks() {
		want := "out " + taskName(j.id, i) + " " + string(t.GetPayload())
		if got := a.GetResults()[i]; int(got.GetIndex()) != i || string(got.GetOutput()) != want {
			tr.fail("task %d of %s: %q instead of %q", i, j.id, got.GetOutput(), want)
		}
	}
}
