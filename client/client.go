// Package client is the library for callers: it obtains ids, submits jobs
// idempotently, verifies that an answer belongs to the submission, and submits
// again after the time that an answer asks for.
//
// A submission has the same id until its outcome is final, however often it is
// sent and through whichever entry process, so that none of its tasks starts
// twice. Three outcomes are final: complete, with every task's result; not run,
// which means that the job will never run under this id; and failed, which says
// whether tasks may have run.
package client

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// DefaultMaxAnswerBytes is the default limit of the size of an answer.
	DefaultMaxAnswerBytes = 64 << 20
	bearerPrefix          = "Bearer "
)

var errNoURL = connect.NewError(connect.CodeInvalidArgument, errors.New("no URL is configured"))

// Config configures a Client.
type Config struct {
	// URL is the base URL of an entry process or of a load balancer.
	URL string
	// URLs are further entry processes. New submissions use them in rotation. One
	// that fails is tried only after the others for a second.
	URLs []string
	// Token authenticates the institution. It is sent with each call: use https
	// URLs unless the network is trusted. If it is empty, the client certificate
	// in TLS authenticates the institution.
	Token string
	// TLS is used for https URLs; nil means the system's certificate authorities.
	TLS *tls.Config
	// HTTPClient is used for all calls; nil means one for each URL, with pings
	// that detect a dead connection within about two seconds. If it is set, ids
	// aren't dropped when the connection that delivered them closes.
	HTTPClient *http.Client
	// MaxAnswerBytes bounds an answer; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int
	// MaxNewIDs is how often Submit may submit a job again under a new id after
	// an answer "not run" with a retry time. It applies only to ids that Submit
	// obtained itself; with 0 the answer is returned to the caller.
	MaxNewIDs int
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg       Config
	entries   []*entry
	nextEntry atomic.Uint64
	stats     counters
	unsettled unsettledIDs
}

type counters struct {
	calls, idBlocks, resubmissions, rejectedAnswers atomic.Uint64
}

// Stats are the counters of a client.
type Stats struct {
	// Calls is the number of requests sent.
	Calls uint64
	// IDBlocks is the number of calls for blocks of ids.
	IDBlocks uint64
	// Resubmissions is the number of calls that sent a submission again.
	Resubmissions uint64
	// RejectedAnswers is the number of answers discarded because they belonged to
	// another submission or were incomplete.
	RejectedAnswers uint64
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	c := &Client{cfg: cfg}
	urls := cfg.URLs
	if cfg.URL != "" {
		urls = append([]string{cfg.URL}, urls...)
	}
	for _, u := range urls {
		c.entries = append(c.entries, newEntry(u, cfg, &c.stats))
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, e := range c.entries {
		e.close()
	}
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Calls:           c.stats.calls.Load(),
		IDBlocks:        c.stats.idBlocks.Load(),
		Resubmissions:   c.stats.resubmissions.Load(),
		RejectedAnswers: c.stats.rejectedAnswers.Load(),
	}
}

// OwnKey makes an id from the caller's own key.
func OwnKey(key string) *pb.SubmissionId {
	return &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: key}}
}

// NewID returns an unused id from the first entry that issues one.
func (c *Client) NewID(ctx context.Context) (*pb.SubmissionId, error) {
	var err error = errNoURL
	for _, e := range c.entryOrder(nil) {
		var id *pb.SubmissionId
		if id, err = e.newID(ctx); err == nil {
			return id, nil
		}
		if ctx.Err() != nil || isPermanent(err) {
			break
		}
	}
	return nil, errors.Wrap(err, "obtain an id")
}

// Cancel cancels a submission and returns its answer.
func (c *Client) Cancel(ctx context.Context, id *pb.SubmissionId) (*pb.Answer, error) {
	var err error = errNoURL
	for _, e := range c.entryOrder(id) {
		var a *pb.Answer
		if a, err = e.cancel(ctx, id); err == nil {
			return a, nil
		}
		if ctx.Err() != nil || isPermanent(err) {
			break
		}
		e.setDown(time.Now())
	}
	return nil, errors.Wrap(err, "cancel")
}

// entryOrder lists the entries to try: first the one that issued the id, since its
// process holds the claim, i.e. is the one that may run the job, and doesn't have to
// forward the request, then the others in rotation, and last those that failed recently.
func (c *Client) entryOrder(id *pb.SubmissionId) []*entry {
	n := len(c.entries)
	if n == 0 {
		return nil
	}
	// The rotation was advanced for an issued id when the id was obtained.
	turn := c.nextEntry.Load()
	if id.GetIssued() == nil {
		turn = c.nextEntry.Add(1)
	}
	first := int(turn % uint64(n))
	now := time.Now()
	var issuers, up, down []*entry
	for i := range n {
		e := c.entries[(first+i)%n]
		switch {
		case e.isDown(now):
			down = append(down, e)
		case e.issued(id):
			issuers = append(issuers, e)
		default:
			up = append(up, e)
		}
	}
	return append(append(issuers, up...), down...)
}
