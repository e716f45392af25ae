package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/upstream"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingIdleTime is the idle time after which a connection is pinged, and pingTimeout
	// the timeout of the ping.
	pingIdleTime  = time.Second
	pingTimeout   = time.Second
	settleTimeout = 2 * time.Second
	stopTimeout   = 2 * time.Second
	// unlistedRetention is how long an upstream can still be queried after it left the
	// list of members.
	unlistedRetention = 10 * time.Minute
	// maxOutputBytes is the limit of the size of one task's output.
	maxOutputBytes = 4 << 20
)

// upstreamClient sends tasks to upstreams over HTTP.
//
// Each upstream has one HTTP/2 connection. A middlebox may drop the state of the
// connection while new ones work; then nothing more arrives on it and no error is
// reported. Pings detect that within two seconds, and the starts sent on it are then
// settled over another connection.
type upstreamClient struct {
	node *Node

	mu    sync.Mutex
	conns map[string]*upstreamConn
}

// upstreamConn is the client for an upstream, which has one connection.
type upstreamConn struct {
	address string
	client  *http.Client
	// unlistedAt is when the upstream left the list; zero while it is listed.
	unlistedAt time.Time
}

func newUpstreamClient(n *Node) *upstreamClient {
	return &upstreamClient{node: n, conns: make(map[string]*upstreamConn)}
}

func newTransport() *http.Transport {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   &p,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
			// Each task has a different path, and entries for the paths would evict the
			// other headers from the table.
			MaxEncoderHeaderTableSize: 1,
		},
	}
}

// setMembers sets the list of upstreams. An upstream that is no longer listed gets no new
// tasks, but can be queried for a while about the tasks that it was sent. Otherwise a
// connection lost at that moment would leave the outcome of a finished job unknown.
func (u *upstreamClient) setMembers(m task.Members) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(m.Upstreams))
	for _, up := range m.Upstreams {
		listed[up.Name] = true
		if conn := u.conns[up.Name]; conn != nil && conn.address == up.Address {
			conn.unlistedAt = time.Time{}
			continue
		}
		u.conns[up.Name] = &upstreamConn{address: up.Address, client: &http.Client{Transport: newTransport()}}
	}
	for name, c := range u.conns {
		switch {
		case listed[name]:
		case c.unlistedAt.IsZero():
			c.unlistedAt = time.Now()
		case time.Since(c.unlistedAt) > unlistedRetention:
			c.client.CloseIdleConnections()
			delete(u.conns, name)
		}
	}
}

// conn returns a copy, because the list may change concurrently.
func (u *upstreamClient) conn(name string) (upstreamConn, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.conns[name]
	if c == nil {
		return upstreamConn{}, false
	}
	return *c, true
}

// start sends a task once and posts the result, in the background.
func (u *upstreamClient) start(ctx context.Context, cmd dispatch.StartTask) {
	go func() {
		u.node.post(dispatch.StartResult{Start: cmd.Start, Result: u.sendStart(ctx, cmd)})
	}()
}

// sendStart sends a task and waits for its result, until stopTimeout after the deadline.
func (u *upstreamClient) sendStart(ctx context.Context, cmd dispatch.StartTask) task.Result {
	c, known := u.conn(cmd.Upstream)
	if !known || !c.unlistedAt.IsZero() {
		return task.Result{Verdict: task.NotStarted, Detail: "the upstream isn't listed"}
	}
	left := cmd.Deadline - u.node.elapsed()
	if left <= 0 {
		return task.Result{Verdict: task.NotStarted, Detail: "the deadline passed before the task was sent"}
	}
	query := url.Values{}
	query.Set(upstream.ParamTask, cmd.Name)
	query.Set(upstream.ParamService, cmd.Service)
	query.Set(upstream.ParamTimeoutMs, strconv.FormatInt(left.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, left+stopTimeout)
	defer cancel()
	req, err := newRequest(ctx, c.address, upstream.PathStart, query, cmd.Payload)
	if err != nil {
		return task.Result{Verdict: task.NotStarted, Detail: err.Error()}
	}
	return doRequest(c.client, req)
}

// newRequest returns a request that the transport can't send twice.
func newRequest(ctx context.Context, address, path string, query url.Values, body []byte) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the body again: a retry by the transport
	// would be a second start that isn't accounted for.
	req.GetBody = nil
	return req, nil
}

// doRequest sends a request and reads the verdict.
func doRequest(client *http.Client, req *http.Request) task.Result {
	res, err := client.Do(req)
	if err != nil {
		return errorResult(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxOutputBytes+1))
	if err != nil {
		return task.Result{Verdict: task.Lost, Detail: err.Error()}
	}
	if len(body) > maxOutputBytes {
		return task.Result{Verdict: task.Failed, Detail: "the output is too large"}
	}
	return resultOf(res, body)
}

// errorResult returns the result of a failed request. Only a failure to connect proves
// that nothing was sent.
func errorResult(err error) task.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return task.Result{Verdict: task.NotStarted, Detail: err.Error()}
	}
	return task.Result{Verdict: task.Lost, Detail: err.Error()}
}

// resultOf converts an answer. Without a verdict in it the outcome is unknown.
func resultOf(res *http.Response, body []byte) task.Result {
	r := task.Result{
		UpstreamRun: res.Header.Get(upstream.HeaderRun),
		Leaving:     res.Header.Get(upstream.HeaderLeaving) != "",
	}
	switch res.Header.Get(upstream.HeaderVerdict) {
	case upstream.VerdictFinished:
		r.Verdict = task.Finished
		r.Output = body
	case upstream.VerdictFailed:
		r.Verdict = task.Failed
		r.Detail = string(body)
	case upstream.VerdictNotStarted:
		r.Verdict = task.NotStarted
		r.Refused = true
		r.Detail = string(body)
	case upstream.VerdictRunning:
		r.Verdict = task.Running
	default:
		r.Verdict = task.Lost
		r.Detail = "an answer without a verdict: " + res.Status
	}
	return r
}

// settle queries the state of a start over a new connection.
func (u *upstreamClient) settle(ctx context.Context, cmd dispatch.Settle) {
	go func() {
		r := u.queryOnNewConnection(ctx, cmd.Upstream, cmd.Name, upstream.PathSettle, settleTimeout)
		if r.Verdict == task.NotStarted && !r.Refused {
			// The query couldn't be sent, which proves nothing about the task.
			r.Verdict = task.Lost
		}
		if r.Verdict == task.NotStarted && (cmd.UpstreamRun == "" || r.UpstreamRun != cmd.UpstreamRun) {
			r.Verdict = task.Unknown
			r.Detail = "another run of the upstream answered"
		}
		u.node.post(dispatch.StartResult{Start: cmd.Start, Result: r})
	}()
}

// stop notifies an upstream that a result is no longer wanted. It uses the existing
// connection, since with many cancellations at once new connections would exceed the
// number that the upstream accepts. If the stop is lost on a dead connection, that only
// wastes a slot.
func (u *upstreamClient) stop(ctx context.Context, cmd dispatch.StopTask) {
	c, known := u.conn(cmd.Upstream)
	if !known {
		return
	}
	go queryTask(ctx, c.client, c.address, cmd.Name, upstream.PathStop, stopTimeout)
}

// queryOnNewConnection queries the state of a task over a new connection.
func (u *upstreamClient) queryOnNewConnection(ctx context.Context, name, taskName, path string, timeout time.Duration) task.Result {
	c, known := u.conn(name)
	if !known {
		return task.Result{Verdict: task.Unknown, Detail: "the upstream isn't listed"}
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	return queryTask(ctx, &http.Client{Transport: transport}, c.address, taskName, path, timeout)
}

// queryTask sends a request about a task that was started before.
func queryTask(ctx context.Context, client *http.Client, address, taskName, path string, timeout time.Duration) task.Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, address, path, url.Values{upstream.ParamTask: {taskName}}, nil)
	if err != nil {
		return task.Result{Verdict: task.Lost, Detail: err.Error()}
	}
	return doRequest(client, req)
}
