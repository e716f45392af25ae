package node

import (
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/intake"
)

const (
	// DefaultRequestMemory is the default limit of the memory that the requests in progress take.
	DefaultRequestMemory = 512 << 20
	// maxRequests bounds the requests in progress.
	maxRequests = 8192
	// bodyTimeout bounds the time in which a request's body must arrive.
	bodyTimeout = 2 * time.Minute
	// bodyFactor times its size is what a body takes while it is received and decoded, denseFactor that of its first
	// denseBytes: empty tasks of two bytes each become some eighty, and a request has at most 10,000.
	bodyFactor  = 4
	denseFactor = 40
	denseBytes  = 32 << 10
	// requestBytes is what a request takes besides its body: goroutines, and the buffers of its stream.
	requestBytes = 64 << 10
	// shedLinesPerSecond bounds the log lines on requests for which too little memory is free.
	shedLinesPerSecond = 10
)

// errNoMemory is the reason that the caller of a shed request is told.
var errNoMemory = errors.New("too little memory is free; the outcome is unknown")

// shedError is the answer to a request for which too little memory is free. It promises nothing about the submission: an
// earlier request with its id may have been accepted.
func shedError() error { return connect.NewError(connect.CodeUnavailable, errNoMemory) }

// MinRequestMemory returns the least limit of the memory of requests in progress for requests of the given size.
func MinRequestMemory(maxRequestBytes uint64) uint64 {
	return uint64(bodyMemory(int64(maxRequestBytes))) + requestBytes
}

// bodyMemory is what a body takes of which a number of bytes have been received.
func bodyMemory(received int64) int64 {
	dense := min(received, denseBytes)
	return dense*denseFactor + (received-dense)*bodyFactor
}

// encodingHeaders name the compression of a body, by the protocol of the call.
var encodingHeaders = []string{"Content-Encoding", "Grpc-Encoding"}

// compressed reports whether a request's body is larger than what is received of it.
func compressed(h http.Header) bool {
	for _, name := range encodingHeaders {
		if v := h.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

// requests bounds the memory and the time of callers' requests in progress. core/intake decides, for which each request is
// a connection of its own.
type requests struct {
	maxRequestBytes int64
	started         time.Time
	log             zerolog.Logger
	metrics         *metrics

	mu     sync.Mutex
	intake *intake.Intake
	bodies map[intake.ID]*boundedBody
}

func newRequests(cfg Config, log zerolog.Logger, m *metrics) *requests {
	return &requests{
		maxRequestBytes: int64(cfg.MaxRequestBytes),
		started:         time.Now(),
		log:             log.Sample(&zerolog.BurstSampler{Burst: shedLinesPerSecond, Period: time.Second}),
		metrics:         m,
		intake: intake.New(intake.Limits{
			Connections: maxRequests, Bytes: cfg.RequestMemory, ConnectionBytes: requestBytes, MinReceiveTime: minReceiveTime,
		}),
		bodies: make(map[intake.ID]*boundedBody),
	}
}

func (q *requests) now() intake.Time { return time.Since(q.started) }

// bounded returns a handler that bounds requests. authenticate is asked before a body is read, so that only callers with a
// token or a certificate can have memory reserved for one.
func (q *requests) bounded(authenticate func(*http.Request) error, next http.Handler) http.Handler {
	rejections := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := authenticate(r)
		var b *boundedBody
		if err == nil {
			b, err = q.begin(w, r)
		}
		if err != nil {
			// If this fails the caller has left.
			_ = rejections.Write(w, r, err)
			return
		}
		defer q.end(b)
		b.setDeadline(time.Now().Add(bodyTimeout))
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// begin admits a request.
func (q *requests) begin(w http.ResponseWriter, r *http.Request) (*boundedBody, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.intake.Admit(q.now())
	q.interrupt(a.Closed)
	if a.ID == 0 {
		q.shed(0)
		return nil, shedError()
	}
	b := &boundedBody{ReadCloser: r.Body, requests: q, id: a.ID, response: http.NewResponseController(w)}
	q.bodies[a.ID] = b
	q.intake.EndHead(q.now(), a.ID, 0)
	if compressed(r.Header) && !q.receive(b, bodyMemory(q.maxRequestBytes)) {
		return nil, shedError()
	}
	return b, nil
}

// end records that a request was answered.
func (q *requests) end(b *boundedBody) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.intake.Remove(b.id)
	delete(q.bodies, b.id)
}

// receive reserves memory for a request's body. The caller holds the lock.
func (q *requests) receive(b *boundedBody, bytes int64) bool {
	closed, ok := q.intake.Receive(q.now(), b.id, bytes)
	q.interrupt(closed)
	return ok
}

// interrupt ends requests that the intake no longer holds, whose bodies are still being received. The caller holds the
// lock.
func (q *requests) interrupt(list []intake.Closed) {
	for _, e := range list {
		b := q.bodies[e.ID]
		if b == nil {
			continue
		}
		delete(q.bodies, e.ID)
		b.interrupted = true
		b.setDeadline(q.started)
		q.shed(e.Bytes)
	}
}

// shed counts and logs a request for which too little memory is free.
func (q *requests) shed(bytes int64) {
	q.metrics.shed.Inc()
	q.log.Warn().Int64("bytes", bytes).Msg("request-shed")
}

// boundedBody reserves memory for what is read of a body.
type boundedBody struct {
	io.ReadCloser
	requests *requests
	id       intake.ID
	response *http.ResponseController

	// The fields below are guarded by the lock of requests. received is the number of bytes read; interrupted: the
	// request was evicted for others.
	received    int64
	interrupted bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	q := b.requests
	q.mu.Lock()
	defer q.mu.Unlock()
	before := bodyMemory(b.received)
	b.received += int64(n)
	if b.interrupted || !q.receive(b, bodyMemory(b.received)-before) {
		return 0, shedError()
	}
	if err == io.EOF {
		q.intake.Occupy(q.now(), b.id)
		// A deadline that passes later would end the request as if its caller had left.
		b.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline sets the time until which the body must have arrived. A server that doesn't support that has connections
// without one.
func (b *boundedBody) setDeadline(t time.Time) { _ = b.response.SetReadDeadline(t) }
