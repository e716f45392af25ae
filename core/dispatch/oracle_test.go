package dispatch

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// maxReplyDelay is how long after its deadline a reply may be sent, in virtual time.
const maxReplyDelay = 20 * ms

// oracle records what was requested, run and answered over all runs of the entry processes,
// and fails the test at the first violated guarantee.
type oracle struct {
	w        *world
	fail     func(format string, args ...any)
	jobs     []*fakeJob
	byTask   map[string]*fakeJob
	open     map[uint64]*fakeRequest
	last     uint64
	outcomes map[string]int
	// outcomeLog lists the outcomes of all replies in order.
	outcomeLog []pb.Outcome
}

// fakeJob is a job with one submission id.
type fakeJob struct {
	wire     *pb.SubmissionId
	id       task.ID
	request  *pb.Submission
	first    time.Duration
	deadline time.Duration
	starts   map[string]int
	notRun   bool
	complete *pb.Answer
	failed   bool
}

// fakeRequest is a request waiting for its reply.
type fakeRequest struct {
	number   uint64
	entry    *fakeEntry
	job      *fakeJob
	request  *pb.Submission
	deadline time.Duration
	// gone is set when its caller has stopped waiting.
	gone bool
}

func newOracle(w *world, fail func(string, ...any)) *oracle {
	return &oracle{w: w, fail: fail, byTask: make(map[string]*fakeJob), open: make(map[uint64]*fakeRequest), outcomes: make(map[string]int)}
}

func (o *oracle) newJob(wire *pb.SubmissionId, service string, tasks int) *fakeJob {
	j := &fakeJob{wire: wire, id: task.IDOf(inst, wire), first: o.w.now, starts: make(map[string]int)}
	j.request = &pb.Submission{Id: wire, Service: service}
	for i := range tasks {
		j.request.Tasks = append(j.request.Tasks, &pb.Task{Payload: fmt.Appendf(nil, "p%d.%d", len(o.jobs), i)})
		o.byTask[taskName(j.id, i)] = j
	}
	o.jobs = append(o.jobs, j)
	return j
}

// submit sends a request to an entry after a short delay.
func (o *oracle) submit(e *fakeEntry, j *fakeJob, s *pb.Submission) {
	wait := time.Duration(responseMs) * ms
	if t := time.Duration(s.GetTimeoutMs()) * ms; t > 0 {
		wait = min(wait, t)
	}
	o.ask(e, j, s, wait, func(n uint64) Event { return Submit{n, inst, proto.CloneOf(s)} })
}

func (o *oracle) cancel(e *fakeEntry, j *fakeJob) {
	o.ask(e, j, nil, time.Duration(responseMs)*ms, func(n uint64) Event { return Cancel{n, inst, j.wire} })
}

func (o *oracle) ask(e *fakeEntry, j *fakeJob, s *pb.Submission, wait time.Duration, event func(uint64) Event) {
	o.last++
	n := o.last
	sent := o.w.now
	e.schedule(o.w.jitter(ms), func() {
		o.open[n] = &fakeRequest{number: n, entry: e, job: j, request: s, deadline: o.w.now + wait}
		if s != nil {
			j.deadline = max(j.deadline, sent+wait)
		}
		e.step(event(n))
	})
}

func (o *oracle) callerGone(r *fakeRequest) {
	r.entry.schedule(0, func() {
		r.gone = true
		r.entry.step(CallerGone{r.number})
		delete(o.open, r.number)
	})
}

// forget drops the requests of a run that ended; their callers notice the failure.
func (o *oracle) forget(e *fakeEntry) {
	for n, r := range o.open {
		if r.entry == e {
			delete(o.open, n)
		}
	}
}

func (o *oracle) drained(e *fakeEntry) {
	for _, r := range o.open {
		if r.entry == e && !r.gone {
			o.fail("a planned stop cut off request %d for %s", r.number, r.job.id)
		}
	}
}

// checkOverdue checks that no request is without a reply past its deadline.
func (o *oracle) checkOverdue() {
	for _, r := range o.open {
		late := o.w.now > r.deadline+maxReplyDelay && o.w.now > r.entry.resumedAt+maxReplyDelay
		if late && r.entry.alive && !r.entry.paused {
			o.fail("request %d for %s at %s has no reply by its deadline", r.number, r.job.id, r.entry.self())
		}
	}
}

// started checks the start of a task against the deadlines of its callers.
func (o *oracle) started(e *fakeEntry, cmd StartTask) {
	j := o.byTask[cmd.Name]
	if e.clock() >= cmd.Deadline {
		o.fail("%s started past its deadline", cmd.Name)
	}
	if e.startedAt+cmd.Deadline > j.deadline+maxReplyDelay+o.w.maxLateness(j.deadline-responseMs*ms) {
		o.fail("%s has a deadline of %s, its last caller %s", cmd.Name, e.startedAt+cmd.Deadline, j.deadline)
	}
}

// ran records that a runner begins a task, and checks that it does so only once.
func (o *oracle) ran(cmd StartTask) {
	j := o.byTask[cmd.Name]
	j.starts[cmd.Name]++
	if j.starts[cmd.Name] > 1 {
		o.fail("%s started twice", cmd.Name)
	}
	if j.notRun {
		o.fail("%s started after the answer not-run", cmd.Name)
	}
}

func (o *oracle) answered(e *fakeEntry, r Reply) {
	req := o.open[r.Request]
	if req == nil || req.entry != e {
		o.fail("a reply to request %d, which isn't open", r.Request)
		return
	}
	delete(o.open, r.Request)
	if o.w.now > req.deadline+maxReplyDelay && o.w.now > e.resumedAt+maxReplyDelay {
		o.fail("request %d for %s was answered %s late", r.Request, req.job.id, o.w.now-req.deadline)
	}
	o.outcomes[r.Answer.GetOutcome().String()+" "+r.Answer.GetReason().String()]++
	o.outcomeLog = append(o.outcomeLog, r.Answer.GetOutcome())
	o.checkAnswer(req, r.Answer)
}

func (o *oracle) checkAnswer(req *fakeRequest, a *pb.Answer) {
	j := req.job
	if !proto.Equal(a.GetId(), j.wire) {
		o.fail("request for %s got the answer of %s", j.id, a.GetId())
	}
	if req.request != nil {
		if d := task.DigestOf(req.request); !bytes.Equal(a.GetDigest(), d[:]) {
			o.fail("request for %s got the answer to another payload", j.id)
		}
	}
	switch a.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETE:
		o.checkComplete(req, a)
	case pb.Outcome_OUTCOME_NOT_RUN:
		if len(j.starts) > 0 || j.complete != nil {
			o.fail("false not-run for %s", j.id)
		}
		if j.failed && !o.w.replacedPaused {
			o.fail("not-run after failed for %s", j.id)
		}
		j.notRun = true
	case pb.Outcome_OUTCOME_FAILED:
		if !a.GetMayHaveRun() {
			o.fail("failed without may-have-run for %s", j.id)
		}
		// ID_EXPIRED follows an earlier, different answer that is no longer
		// retained.
		j.failed = j.failed || a.GetReason() != pb.Reason_REASON_ID_EXPIRED
	}
	if a.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE && len(a.GetResults()) > 0 {
		o.fail("a partial answer for %s", j.id)
	}
}

func (o *oracle) checkComplete(req *fakeRequest, a *pb.Answer) {
	j := req.job
	if j.notRun {
		o.fail("complete after not-run for %s", j.id)
	}
	if j.complete != nil && !proto.Equal(j.complete, a) {
		o.fail("two complete answers for %s", j.id)
	}
	if j.failed && j.complete == nil && !o.w.replacedPaused {
		o.fail("complete after failed for %s", j.id)
	}
	j.complete = a
	if req.request == nil {
		return
	}
	if len(a.GetResults()) != len(req.request.GetTasks()) {
		o.fail("%d results for %d tasks of %s", len(a.GetResults()), len(req.request.GetTasks()), j.id)
	}
	for i, t := range req.request.GetTasks() {
		want := "out " + taskName(j.id, i) + " " + string(t.GetPayload())
		if got := a.GetResults()[i]; int(got.GetIndex()) != i || string(got.GetOutput()) != want {
			o.fail("task %d of %s: %q instead of %q", i, j.id, got.GetOutput(), want)
		}
	}
}
