package intake

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrNoMemory means that a request isn't served since too little memory is free. Nothing is known about earlier
// requests with the same id.
var ErrNoMemory = errors.New("too little memory is free")

const (
	// pathFactor times its size is what a request's path takes.
	pathFactor = 3
	// minBody and bodyMargin are sizes in bytes of the buffer for a body: the first one, and what is left free so that
	// its end is seen.
	minBody    = 4 << 10
	bodyMargin = 512
	// requestBytes is what a request takes while it is being served, without its body.
	requestBytes = 8 << 10
)

// bound returns a handler that drops the headers that h doesn't read, as soon as they are decoded.
func (l *Listener) bound(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header = l.keptHeaders(r.Header)
		c := connOf(r.Context())
		if c != nil {
			l.mu.Lock()
			l.intake.EndHead(l.now(), c.id, int64(len(r.RequestURI))*pathFactor)
			l.mu.Unlock()
		}
		if r.ContentLength == 0 && !Serve(r.Context(), 0) {
			l.shed(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (l *Listener) keptHeaders(all http.Header) http.Header {
	kept := make(http.Header, len(l.cfg.Headers))
	for _, name := range l.cfg.Headers {
		if v := all.Get(name); v != "" {
			kept.Set(name, v)
		}
	}
	return kept
}

// shed answers a request that isn't served, with a status that promises nothing about its job.
func (l *Listener) shed(w http.ResponseWriter) {
	l.log.Warn().Msg("request-shed")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusGatewayTimeout)
}

// Occupy keeps a request's connection from being closed for others or as idle, until the request is answered. That of a
// connection of HTTP/2 is kept until it ends.
func Occupy(ctx context.Context) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.intake.Occupy(c.listener.now(), c.id)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Serve reserves memory for serving a whole request, for which its caller gives what it takes in addition to what was
// received. It reports whether the request may be served. Without a listener of this package, all may.
func Serve(ctx context.Context, bytes int64) bool {
	c := connOf(ctx)
	if c == nil {
		return true
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	closed, ok := l.intake.Serve(l.now(), c.id, requestBytes+bytes)
	l.closeAll(closed)
	if !ok {
		l.cfg.Metrics.shed(l.cfg.Name)
	}
	return ok
}

// ReadBody reads the body of a request of at most limit bytes. It returns an *http.MaxBytesError if there are more, and
// ErrNoMemory if the request was evicted for others.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b := bodyReader{conn: connOf(r.Context())}
	size := int64(minBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength+bodyMargin)
	}
	if !b.grow(size) {
		return nil, ErrNoMemory
	}
	in := http.MaxBytesReader(w, r.Body, limit)
	for {
		if len(b.data) == cap(b.data) && !b.grow(min(2*int64(cap(b.data)), limit+bodyMargin)) {
			return nil, ErrNoMemory
		}
		n, err := in.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return b.data, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "body")
		}
	}
}

// bodyReader holds what was received of a body.
type bodyReader struct {
	conn *conn
	data []byte
}

// grow makes the buffer larger. It reports whether the memory for that could be reserved.
func (b *bodyReader) grow(size int64) bool {
	if b.conn != nil && !b.conn.reserve(size) {
		return false
	}
	old := b.data
	b.data = append(make([]byte, 0, size), old...)
	if b.conn != nil {
		b.conn.release(int64(cap(old)))
	}
	return true
}
