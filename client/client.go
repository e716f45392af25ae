// Package client is the library of callers: it obtains ids, submits jobs
// safely, checks that an answer is the caller's own, and comes back when told.
package client

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

const (
	// idsPerBlock is the number of ids asked for at once.
	idsPerBlock = 64
	// idMargin is kept from the end of a block's validity.
	idMargin = 5 * time.Second
	// resubmitDelay is the wait after a call that failed without an answer.
	resubmitDelay = 50 * time.Millisecond
	bearer        = "Bearer "
)

// ErrForeignAnswer reports an answer to another submission.
var ErrForeignAnswer = errors.New("the answer isn't for this submission")

// Config says whom to call and how.
type Config struct {
	// URL is the base URL of an entry process or of the balancer before them.
	URL   string
	Token string
	// HTTPClient is used for all calls; nil means one of its own.
	HTTPClient *http.Client
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	rpc   sapphirepointv1connect.CallerServiceClient
	token string

	mu      sync.Mutex
	block   *pb.IdBlock
	next    uint32
	expires time.Time
}

// New returns a client.
func New(cfg Config) *Client {
	hc := cfg.HTTPClient
	if hc == nil {
		var p http.Protocols
		p.SetUnencryptedHTTP2(true)
		hc = &http.Client{Transport: &http.Transport{
			Protocols: &p,
			HTTP2:     &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 2 * time.Second},
		}}
	}
	return &Client{rpc: sapphirepointv1connect.NewCallerServiceClient(hc, cfg.URL), token: cfg.Token}
}

func authorized[T any](c *Client, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", bearer+c.token)
	return r
}

// NewID returns an unused id, with a new block if the present one is used up.
func (c *Client) NewID(ctx context.Context) (*pb.SubmissionId, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.block == nil || c.next >= c.block.GetCount() || time.Now().After(c.expires) {
		if err := c.fetchBlock(ctx); err != nil {
			return nil, err
		}
	}
	id := &pb.IssuedId{Holder: c.block.GetHolder(), Number: c.block.GetFirst() + uint64(c.next)}
	c.next++
	return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: id}}, nil
}

func (c *Client) fetchBlock(ctx context.Context) error {
	asked := time.Now()
	res, err := c.rpc.IssueIds(ctx, authorized(c, &pb.IssueIdsRequest{Count: idsPerBlock}))
	if err != nil {
		return errors.Wrap(err, "obtain ids")
	}
	c.block = res.Msg.GetBlock()
	c.next = 0
	c.expires = asked.Add(time.Duration(c.block.GetValidMs())*time.Millisecond - idMargin)
	return nil
}

// OwnKey makes an id from the caller's own key.
func OwnKey(key string) *pb.SubmissionId {
	return &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: key}}
}

// Submit sends a submission until it has a final word or the context ends. It
// sends the same id each time, so no task starts twice. An id is filled in if
// there is none.
func (c *Client) Submit(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	if s.GetId() == nil {
		id, err := c.NewID(ctx)
		if err != nil {
			return nil, err
		}
		s.Id = id
	}
	for {
		a, err := c.SubmitOnce(ctx, s)
		wait := resubmitDelay
		if err == nil {
			if a.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN {
				return a, nil
			}
			wait = time.Duration(a.GetRetryAfterMs()) * time.Millisecond
		} else if final(err) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return a, errors.Wrap(ctx.Err(), "the outcome is unknown")
		case <-time.After(wait):
		}
	}
}

// final says whether asking again can't help.
func final(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAlreadyExists, connect.CodeUnauthenticated, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return true
	}
	return errors.Is(err, ErrForeignAnswer)
}

// SubmitOnce sends a submission once.
func (c *Client) SubmitOnce(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	res, err := c.rpc.Submit(ctx, authorized(c, s))
	if err != nil {
		return nil, err
	}
	a := res.Msg
	digest := task.DigestOf(s)
	if task.IDOf("", a.GetId()) != task.IDOf("", s.GetId()) || !bytes.Equal(a.GetDigest(), digest[:]) {
		return nil, ErrForeignAnswer
	}
	return a, nil
}

// Cancel ends a submission and returns the word on it.
func (c *Client) Cancel(ctx context.Context, id *pb.SubmissionId) (*pb.Answer, error) {
	res, err := c.rpc.Cancel(ctx, authorized(c, &pb.CancelRequest{Id: id}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetAnswer(), nil
}
