package client

import (
	"context"
	"net"
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
	// idsPerBlock is the number of ids requested at once.
	idsPerBlock = 256
	// idMargin is how long before its expiry a block is no longer used, to allow
	// for the transmission of the submission. It is at most the validity divided
	// by idMarginDivisor.
	idMargin        = 5 * time.Second
	idMarginDivisor = 10
	// downDuration is how long an entry that failed is tried after the others.
	downDuration = time.Second
	dialTimeout  = 2 * time.Second
	// pingIdleTime and pingTimeout bound how long a dead connection goes
	// undetected.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
)

// entry is one URL with the current block of ids obtained from it.
type entry struct {
	rpc       sapphirepointv1connect.CallerServiceClient
	token     string
	stats     *counters
	transport *http.Transport
	// fetchSlot is held by the call that is obtaining a block.
	fetchSlot chan struct{}

	mu        sync.Mutex
	block     *pb.IdBlock
	next      uint32
	expires   time.Time
	holder    task.Incarnation
	downUntil time.Time
}

func newEntry(url string, cfg Config, stats *counters) *entry {
	e := &entry{token: cfg.Token, stats: stats, fetchSlot: make(chan struct{}, 1)}
	hc := cfg.HTTPClient
	if hc == nil {
		e.transport = e.newTransport(cfg)
		hc = &http.Client{Transport: e.transport}
	}
	e.rpc = sapphirepointv1connect.NewCallerServiceClient(hc, url, connect.WithReadMaxBytes(cfg.MaxAnswerBytes))
	return e
}

func (e *entry) newTransport(cfg Config) *http.Transport {
	var p http.Protocols
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols:       &p,
		TLSClientConfig: cfg.TLS,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &notifyingConn{Conn: conn, onClose: e.dropBlock}, nil
		},
	}
}

// notifyingConn calls onClose when it is closed. It is used to drop the ids that
// were obtained over the connection: behind a load balancer the next connection may
// lead to another process, and after a restart the holder of the ids no longer
// exists. A first submission under such an id would be answered "failed, may have
// run", though it never ran.
type notifyingConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *notifyingConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (e *entry) close() {
	if e.transport != nil {
		e.transport.CloseIdleConnections()
	}
}

// dropBlock discards the ids that are left.
func (e *entry) dropBlock() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.block = nil
}

func (e *entry) isDown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.downUntil)
}

// setDown marks an entry that has failed, and discards its ids.
func (e *entry) setDown(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = now.Add(downDuration)
	e.block = nil
}

// issued reports whether the entry's latest block came from the id's holder.
func (e *entry) issued(id *pb.SubmissionId) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return id.GetIssued() != nil && task.IncarnationOf(id.GetIssued().GetHolder()) == e.holder
}

// newID takes an id from the entry's block and requests a new block if necessary.
func (e *entry) newID(ctx context.Context) (*pb.SubmissionId, error) {
	if id := e.takeID(time.Now()); id != nil {
		return id, nil
	}
	select {
	case e.fetchSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-e.fetchSlot }()
	if id := e.takeID(time.Now()); id != nil {
		return id, nil
	}
	asked := time.Now()
	block, err := e.requestBlock(ctx)
	if err != nil {
		if !isPermanent(err) && ctx.Err() == nil {
			e.setDown(asked)
		}
		return nil, err
	}
	e.setBlock(block, asked)
	if id := e.takeID(asked); id != nil {
		return id, nil
	}
	return nil, errors.New("the connection closed while the ids were obtained")
}

// requestBlock obtains a block of ids and rejects an empty one.
func (e *entry) requestBlock(ctx context.Context) (*pb.IdBlock, error) {
	e.stats.calls.Add(1)
	e.stats.idBlocks.Add(1)
	res, err := e.rpc.IssueIds(ctx, newRequest(e, &pb.IssueIdsRequest{Count: idsPerBlock}))
	if err != nil {
		return nil, err
	}
	b := res.Msg.GetBlock()
	if b.GetHolder().GetNode() == "" || b.GetFirst() == 0 || b.GetCount() == 0 {
		return nil, errors.New("the block of ids is empty")
	}
	return b, nil
}

// setBlock makes a block the current one. Its validity counts from the time of the request.
func (e *entry) setBlock(b *pb.IdBlock, asked time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	valid := time.Duration(b.GetValidMs()) * time.Millisecond
	e.block = b
	e.next = 0
	e.expires = asked.Add(valid - min(idMargin, valid/idMarginDivisor))
	e.holder = task.IncarnationOf(b.GetHolder())
}

// takeID returns the next id of the block; nil if the block is used up, expired or
// discarded.
func (e *entry) takeID(now time.Time) *pb.SubmissionId {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.block == nil || e.next >= e.block.GetCount() || now.After(e.expires) {
		return nil
	}
	id := &pb.IssuedId{Holder: e.block.GetHolder(), Number: e.block.GetFirst() + uint64(e.next)}
	e.next++
	return &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: id}}
}

// newRequest adds the entry's token to a request.
func newRequest[T any](e *entry, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	if e.token != "" {
		r.Header().Set("Authorization", bearerPrefix+e.token)
	}
	return r
}

// submit sends a submission once and verifies the answer.
func (e *entry) submit(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	e.stats.calls.Add(1)
	res, err := e.rpc.Submit(ctx, newRequest(e, s))
	if err != nil {
		return nil, err
	}
	if err := verifyAnswer(s, res.Msg); err != nil {
		e.stats.rejectedAnswers.Add(1)
		return nil, err
	}
	return res.Msg, nil
}

// cancel sends a cancellation once and checks that the answer has the same id.
func (e *entry) cancel(ctx context.Context, id *pb.SubmissionId) (*pb.Answer, error) {
	e.stats.calls.Add(1)
	res, err := e.rpc.Cancel(ctx, newRequest(e, &pb.CancelRequest{Id: id}))
	if err != nil {
		return nil, err
	}
	a := res.Msg.GetAnswer()
	if !sameID(a.GetId(), id) {
		e.stats.rejectedAnswers.Add(1)
		return nil, ErrMismatchedAnswer
	}
	return a, nil
}
