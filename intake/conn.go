package intake

import (
	"io"
	"math"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/intake"
)

// stage is what the next bytes of a connection are.
type stage uint8

const (
	// between: the first bytes of a request.
	between stage = iota
	// inHead: further bytes of its head.
	inHead
	// afterHead: bytes of its body, or of a next request that is sent before the answer.
	afterHead
)

// conn is a caller's connection. It counts what it receives of heads.
type conn struct {
	net.Conn
	listener *Listener
	id       intake.ID

	// The fields below are guarded by the listener's lock. headRead is the size of what was received of the present
	// head.
	stage    stage
	headRead int
}

// errHeadTooLong and errEvicted end a connection.
var (
	errHeadTooLong = errors.New("the head is too long")
	errEvicted     = errors.New("the connection was evicted")
)

// connKey is the context key of a request's connection.
type connKey struct{}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.received(n) {
	case nil:
		return n, err
	case errHeadTooLong:
		c.rejectHead()
	}
	return 0, io.EOF
}

// received counts n bytes. It returns an error if the connection is to be ended.
func (c *conn) received(n int) error {
	l := c.listener
	limit := math.MaxInt
	if l.cfg.HeadBytes != nil {
		limit = l.cfg.HeadBytes() + headSlack
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stage == afterHead {
		return nil
	}
	if c.stage == between {
		c.stage, c.headRead = inHead, 0
		l.intake.BeginRequest(l.now(), c.id)
	}
	if l.cfg.HeadBytes == nil {
		return nil
	}
	c.headRead += n
	if c.headRead > limit {
		return errHeadTooLong
	}
	closed, ok := l.intake.Receive(l.now(), c.id, int64(n)*headFactor)
	l.closeAll(closed)
	if !ok {
		return errEvicted
	}
	return nil
}

// headTooLong is the answer to a head over the limit. net/http answers in the same way to one over its own.
const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// lingerTime and lingerBytes bound what is read after such an answer: a connection that is closed with unread bytes is
// reset, and its caller may lose the answer.
const (
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 64 << 10
)

// rejectHead answers a head over the limit.
func (c *conn) rejectHead() {
	l := c.listener
	l.cfg.Metrics.headTooLong(l.cfg.Name)
	l.log.Info().Int("limit-bytes", l.cfg.HeadBytes()).Str("caller", c.RemoteAddr().String()).Msg("head-too-long")
	end := time.Now().Add(lingerTime)
	if err := c.Conn.SetDeadline(end); err != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLong); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	// The caller sees the answer or a reset; both end its connection.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements net.Conn. A caller that doesn't read its answers loses its connection.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.cfg.Metrics.unread(c.listener.cfg.Name)
		c.listener.log.Info().Str("reason", unreadAnswer).Str("caller", c.RemoteAddr().String()).Msg("connection-closed")
	}
	return n, err
}

// CloseWrite ends what is written. net/http calls it before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return errors.Wrap(t.CloseWrite(), "close for writing")
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.remove()
	return c.Conn.Close()
}

// endHead records that the head of a request is whole.
func (c *conn) endHead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.stage = afterHead
}

// endRequest records that a request was answered.
func (c *conn) endRequest() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.stage = between
	l.intake.EndRequest(l.now(), c.id)
}

// remove records that the connection has ended.
func (c *conn) remove() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intake.Remove(c.id)
	delete(l.conns, c.id)
}

// reserve reserves memory for bytes of a request that is being received.
func (c *conn) reserve(bytes int64) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	closed, ok := l.intake.Receive(l.now(), c.id, bytes)
	l.closeAll(closed)
	return ok
}

func (c *conn) release(bytes int64) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.intake.Release(c.id, bytes)
}
