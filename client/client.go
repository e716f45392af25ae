// Package client is the library of callers: it obtains ids, submits jobs
// safely, checks that an answer is the caller's own, and comes back when told.
//
// A submission keeps its id until it has a final word, however often it is
// sent and through whichever entry process, so that none of its tasks starts
// twice. Three words are final: complete, with every task's result; not run,
// under this id never to be; and failed, which says whether tasks may have run.
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
	// DefaultMaxAnswerBytes is the largest answer taken, in bytes.
	DefaultMaxAnswerBytes = 64 << 20
	bearerPrefix          = "Bearer "
)

var errNoURL = connect.NewError(connect.CodeInvalidArgument, errors.New("no URL is configured"))

// Config says whom to call and how.
type Config struct {
	// URL is the base URL of an entry process or of the balancer before them.
	URL string
	// URLs are further entry processes. New submissions take them in turn; one
	// that fails is left out for a moment, and another is used.
	URLs []string
	// Token authenticates the institution. It is sent with each call, so use
	// https URLs wherever others can listen. Empty means that the certificate
	// in TLS authenticates it.
	Token string
	// TLS is used for https URLs; nil means the system's authorities.
	TLS *tls.Config
	// HTTPClient is used for all calls; nil means one for each URL, with pings
	// that notice a silent connection within about two seconds. With a client
	// of one's own, ids aren't dropped when the connection that gave them ends.
	HTTPClient *http.Client
	// MaxAnswerBytes bounds an answer; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int
	// MaxNewIDs is how often Submit may submit a job again under a new id after
	// "not run" with a time to come back. It concerns only ids that Submit
	// obtained itself; 0 returns the answer to the caller.
	MaxNewIDs int
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg       Config
	entries   []*entry
	nextEntry atomic.Uint64
	stats     counters
}

type counters struct {
	calls, idBlocks, resubmissions, rejectedAnswers atomic.Uint64
}

// Stats counts what a client did.
type Stats struct {
	// Calls is every request sent.
	Calls uint64
	// IDBlocks is the calls that obtained ids.
	IDBlocks uint64
	// Resubmissions is the calls that sent a submission again.
	Resubmissions uint64
	// RejectedAnswers is the answers dropped because they weren't for the
	// submission or weren't whole.
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

// NewID returns an unused id from the first entry that gives one.
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

// Cancel ends a submission and returns the word on it.
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

// entryOrder lists the entries to try: first the one that gave the id, since it
// holds the claim and needn't forward, then the others in turn, those that
// failed a moment ago last.
func (c *Client) entryOrder(id *pb.SubmissionId) []*entry {
	n := len(c.entries)
	if n == 0 {
		return nil
	}
	// An issued id took its turn when it was obtained.
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
