package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/client"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
	"sapphirepoint.example/sapphirepoint/standin/faults"
)

const testTimeout = 20 * time.Second

// testEntry is an entry process for tests: it issues ids and answers the n-th
// submission with the n-th of its answers, and further ones with the last.
type testEntry struct {
	node    string
	validMs uint32
	answers []func(*pb.Submission) (*pb.Answer, error)

	mu       sync.Mutex
	issued   uint64
	received []*pb.Submission
	server   *httptest.Server
	faults   *faults.Listener
}

func (e *testEntry) IssueIds(_ context.Context, req *connect.Request[pb.IssueIdsRequest]) (*connect.Response[pb.IssueIdsResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.issued + 1
	e.issued += uint64(req.Msg.GetCount())
	return connect.NewResponse(&pb.IssueIdsResponse{Block: &pb.IdBlock{
		Holder: &pb.Incarnation{Node: e.node, Run: 1}, First: first, Count: req.Msg.GetCount(), ValidMs: e.validMs,
	}}), nil
}

func (e *testEntry) Submit(_ context.Context, req *connect.Request[pb.Submission]) (*connect.Response[pb.Answer], error) {
	e.mu.Lock()
	step := e.answers[min(len(e.received), len(e.answers)-1)]
	e.received = append(e.received, req.Msg)
	e.mu.Unlock()
	a, err := step(req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

func (e *testEntry) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	return connect.NewResponse(&pb.CancelResponse{Answer: &pb.Answer{Id: req.Msg.GetId(), Outcome: pb.Outcome_OUTCOME_NOT_RUN}}), nil
}

func (e *testEntry) submissions() []*pb.Submission {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

func startEntry(t *testing.T, node string, script ...func(*pb.Submission) (*pb.Answer, error)) *testEntry {
	t.Helper()
	e := &testEntry{node: node, validMs: 600_000, answers: script}
	mux := http.NewServeMux()
	mux.Handle(sapphirepointv1connect.NewCallerServiceHandler(e))
	e.server = httptest.NewUnstartedServer(mux)
	e.server.Config.Protocols = new(http.Protocols)
	e.server.Config.Protocols.SetUnencryptedHTTP2(true)
	e.server.Config.Protocols.SetHTTP1(true)
	e.faults = faults.NewListener(e.server.Listener)
	e.server.Listener = e.faults
	e.server.Start()
	t.Cleanup(e.server.Close)
	return e
}

func job() *pb.Submission {
	return &pb.Submission{Service: "labels", Tasks: []*pb.Task{{Payload: []byte("milk")}, {Payload: []byte("sesame")}}}
}

func newAnswer(s *pb.Submission, o pb.Outcome, retryAfterMs uint32) *pb.Answer {
	d := task.DigestOf(s)
	return &pb.Answer{Id: s.GetId(), Digest: d[:], Outcome: o, RetryAfterMs: retryAfterMs}
}

func complete(s *pb.Submission) (*pb.Answer, error) {
	a := newAnswer(s, pb.Outcome_OUTCOME_COMPLETE, 0)
	for i, t := range s.GetTasks() {
		a.Results = append(a.Results, &pb.TaskResult{Index: uint32(i), Output: t.GetPayload()})
	}
	return a, nil
}

func retryLater(s *pb.Submission) (*pb.Answer, error) {
	return newAnswer(s, pb.Outcome_OUTCOME_UNKNOWN, 20), nil
}

func notRun(s *pb.Submission) (*pb.Answer, error) {
	return newAnswer(s, pb.Outcome_OUTCOME_NOT_RUN, 20), nil
}

func breakConnection(*pb.Submission) (*pb.Answer, error) { panic(http.ErrAbortHandler) }

func mismatchedAnswer(s *pb.Submission) (*pb.Answer, error) {
	other := job()
	other.Id = client.OwnKey("another caller's")
	return complete(other)
}

func incompleteAnswer(s *pb.Submission) (*pb.Answer, error) {
	a, _ := complete(s)
	a.Results = a.Results[:1]
	return a, nil
}

func setup(t *testing.T, entries ...*testEntry) (*gomega.WithT, context.Context, client.Config) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	cfg := client.Config{Token: "t"}
	for _, e := range entries {
		cfg.URLs = append(cfg.URLs, e.server.URL)
	}
	return gomega.NewWithT(t), ctx, cfg
}

func expectSameID(g *gomega.WithT, sent ...*pb.Submission) {
	for _, s := range sent {
		g.Expect(task.IDOf("", s.GetId())).To(gomega.Equal(task.IDOf("", sent[0].GetId())))
	}
}

// The connection breaks after the entry process received a job and before it
// answered. The job must be sent again under the same id; under a new one the
// kitchen's labels would be printed twice.
func TestLostReplyIsResubmittedUnderTheSameIDElsewhere(t *testing.T) {
	first, second := startEntry(t, "a", breakConnection), startEntry(t, "b", complete)
	g, ctx, cfg := setup(t, first, second)
	c := client.New(cfg)
	defer c.Close()
	s := job()
	var err error
	for len(first.submissions()) == 0 {
		s.Id = nil
		_, err = c.Submit(ctx, s)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	last := second.submissions()[len(second.submissions())-1]
	expectSameID(g, first.submissions()[0], last)
	g.Expect(last.GetId().GetIssued().GetHolder().GetNode()).To(gomega.Equal("a"))
	g.Expect(c.Stats().Resubmissions).To(gomega.BeEquivalentTo(1))
}

// A call returns another submission's answer. Accepted, it would put another
// kitchen's allergens on the label; it must be rejected, counted and the job sent
// again.
func TestMismatchedAndIncompleteAnswersAreRejectedAndCounted(t *testing.T) {
	e := startEntry(t, "a", mismatchedAnswer, incompleteAnswer, complete)
	g, ctx, cfg := setup(t, e)
	c := client.New(cfg)
	a, err := c.Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.GetResults()).To(gomega.HaveLen(2))
	g.Expect(c.Stats().RejectedAnswers).To(gomega.BeEquivalentTo(2))
	expectSameID(g, e.submissions()...)
}

// An entry process returns only answers to other submissions. Submit must end with
// an error and not return one of them.
func TestOnlyMismatchedAnswersIsAnError(t *testing.T) {
	g, ctx, cfg := setup(t, startEntry(t, "a", mismatchedAnswer))
	a, err := client.New(cfg).Submit(ctx, job())
	g.Expect(a).To(gomega.BeNil())
	g.Expect(errors.Is(err, client.ErrMismatchedAnswer)).To(gomega.BeTrue())
}

// The holder is unreachable for a while, and the answer has a retry time. If the
// caller gave up or used a new id, the labels would be printed twice.
func TestUnknownOutcomeIsResubmittedAfterRetryTime(t *testing.T) {
	e := startEntry(t, "a", retryLater, retryLater, complete)
	g, ctx, cfg := setup(t, e)
	began := time.Now()
	a, err := client.New(cfg).Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 40*time.Millisecond))
	expectSameID(g, e.submissions()...)
}

// The outcome is still unknown when the context ends. The error holds the id, so
// that the caller can submit again later.
func TestUnsettledErrorHoldsTheID(t *testing.T) {
	g, _, cfg := setup(t, startEntry(t, "a", retryLater))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := client.New(cfg).Submit(ctx, job())
	var unsettled *client.UnsettledError
	g.Expect(errors.As(err, &unsettled)).To(gomega.BeTrue())
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
	g.Expect(unsettled.ID.GetIssued().GetHolder().GetNode()).To(gomega.Equal("a"))
	g.Expect(unsettled.Last.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_UNKNOWN))
}

// A job is rejected under load and has not run. It may run later, but only under a
// new id, and only if the caller configured that.
func TestNotRunIsResubmittedUnderANewIDOnlyIfConfigured(t *testing.T) {
	e := startEntry(t, "a", notRun, notRun, complete)
	g, ctx, cfg := setup(t, e)
	a, err := client.New(cfg).Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_NOT_RUN))
	cfg.MaxNewIDs = 3
	a, err = client.New(cfg).Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))
	sent := e.submissions()
	g.Expect(sent[1].GetId().GetIssued().GetNumber()).NotTo(gomega.Equal(sent[2].GetId().GetIssued().GetNumber()))
}

// One entry process is down. Jobs go through another one, without a timeout of a
// second for each job.
func TestEntryThatIsDownIsAvoided(t *testing.T) {
	down, up := startEntry(t, "a", complete), startEntry(t, "b", complete)
	g, ctx, cfg := setup(t, down, up)
	down.server.Close()
	c := client.New(cfg)
	for range 10 {
		_, err := c.Submit(ctx, job())
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(up.submissions()).To(gomega.HaveLen(10))
	g.Expect(c.Stats().IDBlocks).To(gomega.BeNumerically("<=", 4))
}

// A caller uses an id after its block has expired. Sent, it would be answered
// "failed, may have run"; a new block must be obtained instead.
func TestExpiredIDsAreNotUsed(t *testing.T) {
	e := startEntry(t, "a", complete)
	e.validMs = 1
	g, ctx, cfg := setup(t, e)
	c := client.New(cfg)
	for range 3 {
		_, err := c.NewID(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(2 * time.Millisecond)
	}
	g.Expect(c.Stats().IDBlocks).To(gomega.BeEquivalentTo(3))
}

// The connection to the entry process closes, for example at a restart, and a load
// balancer may route the next one to another process. The holder of the old ids no
// longer exists: the first job under one of them would fail as "may have run"
// though it never ran.
func TestIDsAreDroppedWithTheirConnection(t *testing.T) {
	e := startEntry(t, "a", complete)
	g, ctx, cfg := setup(t, e)
	c := client.New(cfg)
	_, err := c.Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e.server.CloseClientConnections()
	g.Eventually(func() uint64 {
		_, err := c.NewID(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c.Stats().IDBlocks
	}, 4*time.Second, 50*time.Millisecond).Should(gomega.BeEquivalentTo(2), "the calls use up at most 80 of the block's 256 ids")
}

// A middlebox between caller and entry process drops the state of an open
// connection: packets on it are lost, while new connections work. Without pings the
// answer would never arrive.
func TestSilentConnectionIsDetected(t *testing.T) {
	release := make(chan struct{})
	e := startEntry(t, "a", func(s *pb.Submission) (*pb.Answer, error) {
		<-release
		return complete(s)
	}, complete)
	defer close(release)
	g, ctx, cfg := setup(t, e)
	go func() {
		for len(e.submissions()) == 0 {
			time.Sleep(time.Millisecond)
		}
		e.faults.Silence()
	}()
	a, err := client.New(cfg).Submit(ctx, job())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_COMPLETE))
	expectSameID(g, e.submissions()...)
}

// An answer exceeds the configured limit. The caller gets an error and doesn't run
// out of memory.
func TestAnswerOverTheLimitIsAnError(t *testing.T) {
	g, ctx, cfg := setup(t, startEntry(t, "a", func(s *pb.Submission) (*pb.Answer, error) {
		a, err := complete(s)
		a.Results[0].Output = make([]byte, 1<<16)
		return a, err
	}))
	cfg.MaxAnswerBytes = 1 << 12
	_, err := client.New(cfg).Submit(ctx, job())
	g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeResourceExhausted))
}

// A first call fails without an answer and the second is rejected. The first may
// have started the job, so the error must not say that nothing ran.
func TestRejectionAfterALostReplyIsUnsettled(t *testing.T) {
	g, ctx, cfg := setup(t, startEntry(t, "a", breakConnection, func(*pb.Submission) (*pb.Answer, error) {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the token isn't known"))
	}))
	_, err := client.New(cfg).Submit(ctx, job())
	var unsettled *client.UnsettledError
	g.Expect(errors.As(err, &unsettled)).To(gomega.BeTrue())
}

// The context's deadline becomes the submission's timeout, and a resubmission doesn't
// extend the caller's own timeout.
func TestDeadlinesAreSentAsTimeouts(t *testing.T) {
	e := startEntry(t, "a", retryLater, complete)
	g, ctx, cfg := setup(t, e)
	s := job()
	s.TimeoutMs = 5000
	_, err := client.New(cfg).Submit(ctx, s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.submissions()[1].GetTimeoutMs()).To(gomega.BeNumerically("<=", 4980))
	s = job()
	_, err = client.New(cfg).Submit(ctx, s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.submissions()[2].GetTimeoutMs()).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", testTimeout.Milliseconds())))
}

func TestNoURLIsAnError(t *testing.T) {
	g, ctx, cfg := setup(t)
	_, err := client.New(cfg).Submit(ctx, job())
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no URL")))
}

func rejected(*pb.Submission) (*pb.Answer, error) {
	return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the token isn't known"))
}

// Guards against a caller who submits an unsettled job again, as it was told, and takes the rejection of
// that call for the outcome of the earlier one.
func TestRejectedResubmissionOfAnUnsettledJobIsUnsettled(t *testing.T) {
	for name, submit := range map[string]func(*client.Client, context.Context, *pb.Submission) (*pb.Answer, error){
		"Submit": (*client.Client).Submit, "SubmitOnce": (*client.Client).SubmitOnce,
	} {
		t.Run(name, func(t *testing.T) {
			g, ctx, cfg := setup(t, startEntry(t, "a", retryLater, rejected, rejected, complete, rejected))
			c := client.New(cfg)
			s := job()
			var err error
			s.Id, err = c.NewID(ctx)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			short, cancel := context.WithTimeout(ctx, 15*time.Millisecond)
			defer cancel()
			_, _ = submit(c, short, s)
			var unsettled *client.UnsettledError
			for range 2 {
				_, err = c.Submit(ctx, s)
				g.Expect(errors.As(err, &unsettled)).To(gomega.BeTrue())
				g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeUnauthenticated))
			}
			_, err = c.Submit(ctx, s)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = c.Submit(ctx, s)
			g.Expect(errors.As(err, &unsettled)).To(gomega.BeFalse(), "its outcome is known")
		})
	}
}

// Guards against a caller who takes a job that has run for one that was rejected, as its answer was too large.
func TestAnswerOverTheLimitIsUnsettled(t *testing.T) {
	g, ctx, cfg := setup(t, startEntry(t, "a", func(s *pb.Submission) (*pb.Answer, error) {
		a, err := complete(s)
		a.Results[0].Output = make([]byte, 1<<16)
		return a, err
	}))
	cfg.MaxAnswerBytes = 1 << 12
	_, err := client.New(cfg).Submit(ctx, job())
	var unsettled *client.UnsettledError
	g.Expect(errors.As(err, &unsettled)).To(gomega.BeTrue())
	g.Expect(unsettled.ID).NotTo(gomega.BeNil())
}

// Guards against a caller who is told to ask again for a job that an entry process has rejected as too large.
func TestRejectionAsTooLargeIsFinal(t *testing.T) {
	g, ctx, cfg := setup(t, startEntry(t, "a", func(*pb.Submission) (*pb.Answer, error) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the submission is too large"))
	}))
	_, err := client.New(cfg).Submit(ctx, job())
	var unsettled *client.UnsettledError
	g.Expect(errors.As(err, &unsettled)).To(gomega.BeFalse())
	g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeResourceExhausted))
}
