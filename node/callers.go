package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// callerService serves CallerService and passes answers to the requests that wait for them.
type callerService struct {
	node *Node

	mu          sync.Mutex
	lastRequest uint64
	pending     map[uint64]chan *pb.Answer
}

func newCallerService(n *Node) *callerService {
	return &callerService{node: n, pending: make(map[uint64]chan *pb.Answer)}
}

func (n *Node) callerHandler() http.Handler {
	e := echo.New()
	n.healthRoutes(e)
	path, h := sapphirepointv1connect.NewCallerServiceHandler(n.callers, connect.WithReadMaxBytes(n.cfg.MaxRequestBytes), boundedCodecs())
	authenticated := n.requests.bounded(n.callers.authenticateRequest, h)
	e.Any(path+"*", echo.WrapHandler(withCertificateName(authenticated)))
	return e
}

// authenticateRequest authenticates a request before its body is read.
func (cs *callerService) authenticateRequest(r *http.Request) error {
	_, err := cs.institution(r.Context(), r.Header)
	return err
}

func (n *Node) healthRoutes(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !n.ready.Load() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}

// institution authenticates a request, by token or by client certificate.
func (cs *callerService) institution(ctx context.Context, h http.Header) (string, error) {
	token, hasToken := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	certificate, hasCertificate := certificateName(ctx)
	if !hasToken && !hasCertificate {
		return "", connect.NewError(connect.CodeUnauthenticated, errors.New("a bearer token or a client certificate is needed"))
	}
	current := cs.node.currentSettings.Load()
	if current.Version() == 0 {
		// Rejected as unauthenticated, a caller with a valid token would not retry.
		return "", connect.NewError(connect.CodeUnavailable, errors.New("the process has no settings yet"))
	}
	if !hasToken {
		name, ok := current.InstitutionOfCertificate(certificate)
		if !ok {
			return "", connect.NewError(connect.CodeUnauthenticated, errors.New("the certificate's name isn't known"))
		}
		return name, nil
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := current.InstitutionOfToken(hex.EncodeToString(sum[:]))
	if !ok {
		return "", connect.NewError(connect.CodeUnauthenticated, errors.New("the token isn't known"))
	}
	return name, nil
}

// IssueIds issues a block of ids.
func (cs *callerService) IssueIds(ctx context.Context, req *connect.Request[pb.IssueIdsRequest]) (*connect.Response[pb.IssueIdsResponse], error) {
	if _, err := cs.institution(ctx, req.Header()); err != nil {
		return nil, err
	}
	count := req.Msg.GetCount()
	if count == 0 || count > maxIDsPerBlock {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("count: must be 1 to %d", maxIDsPerBlock))
	}
	cs.node.metrics.idBlocks.Inc()
	var block *pb.IdBlock
	cs.node.call(func(c *dispatch.Core) { block = c.IssueIDs(cs.node.coreTime(), count) })
	if block == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the process is stopping or has no settings yet"))
	}
	return connect.NewResponse(&pb.IssueIdsResponse{Block: block}), nil
}

// checkID rejects empty ids, and own keys (ids that callers choose) that can't be part of
// row keys, task names and log lines.
func checkID(institution string, id *pb.SubmissionId) error {
	if !task.IDOf(institution, id).Valid() {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("id: an issued id or an own key is needed"))
	}
	key := id.GetOwnKey()
	unprintable := strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' })
	if len(key) > maxOwnKeyBytes || unprintable {
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("id.own_key: must be 1 to %d printable ASCII characters without spaces", maxOwnKeyBytes))
	}
	return nil
}

// authenticate authenticates a request about a submission and checks the id.
func (cs *callerService) authenticate(ctx context.Context, h http.Header, id *pb.SubmissionId) (string, error) {
	name, err := cs.institution(ctx, h)
	if err != nil {
		return "", err
	}
	return name, checkID(name, id)
}

// Submit runs a job and returns its answer.
func (cs *callerService) Submit(ctx context.Context, req *connect.Request[pb.Submission]) (*connect.Response[pb.Answer], error) {
	name, err := cs.authenticate(ctx, req.Header(), req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	a, err := cs.await(ctx, func(request uint64) dispatch.Event {
		return dispatch.Submit{Request: request, Institution: name, Submission: req.Msg}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

// Cancel cancels a submission and returns its answer.
func (cs *callerService) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	name, err := cs.authenticate(ctx, req.Header(), req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	a, err := cs.await(ctx, func(request uint64) dispatch.Event {
		return dispatch.Cancel{Request: request, Institution: name, ID: req.Msg.GetId()}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.CancelResponse{Answer: a}), nil
}

// await posts a request to the core and waits for the answer.
func (cs *callerService) await(ctx context.Context, event func(uint64) dispatch.Event) (*pb.Answer, error) {
	began := time.Now()
	request, replies := cs.register()
	cs.node.post(event(request))
	select {
	case a := <-replies:
		cs.node.metrics.observeAnswer(a, time.Since(began))
		return a, asError(a)
	case <-ctx.Done():
		cs.unregister(request)
		cs.node.post(dispatch.CallerGone{Request: request})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	case <-cs.node.stopped:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the process has stopped; the outcome is unknown"))
	}
}

// asError returns an error of the call for an answer that rejects the request itself.
func asError(a *pb.Answer) error {
	switch a.GetReason() {
	case pb.Reason_REASON_INVALID:
		return connect.NewError(connect.CodeInvalidArgument, errors.New(a.GetDetail()))
	case pb.Reason_REASON_CONFLICT:
		return connect.NewError(connect.CodeAlreadyExists, errors.New(a.GetDetail()))
	}
	return nil
}

// register returns a new request number and the channel for the request's answer.
func (cs *callerService) register() (uint64, chan *pb.Answer) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastRequest++
	replies := make(chan *pb.Answer, 1)
	cs.pending[cs.lastRequest] = replies
	return cs.lastRequest, replies
}

// unregister drops the answer of a request whose caller has left.
func (cs *callerService) unregister(request uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.pending, request)
}

// reply passes an answer to the request that waits for it.
func (cs *callerService) reply(r dispatch.Reply) {
	cs.mu.Lock()
	replies := cs.pending[r.Request]
	delete(cs.pending, r.Request)
	cs.mu.Unlock()
	if replies != nil {
		replies <- r.Answer
	}
}
