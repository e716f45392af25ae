// Package intake serves HTTP/1.1 to callers within bounds of connections, memory and time. core/intake decides; this
// package counts what connections receive, and closes those that it names.
package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/intake"
)

const (
	// receiveBuffer is the size in bytes of the kernel's buffer for what a connection has received and not read. The
	// kernel doubles it for its own use.
	receiveBuffer = 16 << 10
	// backlog is how many connections may wait to be accepted. Their unread bytes take memory too.
	backlog = 128
	// maxHeadBytes bounds heads, whatever limit is configured.
	maxHeadBytes = 1 << 20
	// headSlack is by how much a head may exceed its limit before it is rejected: bytes of the body may come with it.
	headSlack = 4 << 10
	// headFactor times its size is what a head takes while it is decoded: header lines of a few bytes each become
	// entries of a map.
	headFactor = 32
	// writeTimeout bounds the writing of a part of an answer to a caller that doesn't read.
	writeTimeout = 10 * time.Second
	// expiryInterval is how often connections are checked for timeouts.
	expiryInterval = 100 * time.Millisecond
	// backstopTimeout is that of net/http, whose timeouts can't be changed while it serves.
	backstopTimeout = time.Hour
	// eventsPerSecond bounds the log lines on closed connections and shed requests.
	eventsPerSecond = 10
)

// Config is the configuration of a listener.
type Config struct {
	// Name is the name of the listener in logs and metrics.
	Name   string
	Limits intake.Limits
	// Timeouts and HeadBytes return the limits in force, which may change at any time. HeadBytes is the most bytes of
	// a request's head. If it is nil, heads aren't counted: with TLS or HTTP/2, connections carry more than heads.
	Timeouts  func() intake.Timeouts
	HeadBytes func() int
	// Headers are the names of the headers that handlers read. The others are dropped.
	Headers []string
	Log     zerolog.Logger
	Metrics *Metrics
}

// Listener accepts connections and serves requests on them.
type Listener struct {
	cfg     Config
	inner   net.Listener
	started time.Time
	log     zerolog.Logger
	server  *http.Server
	done    chan struct{}
	close   func()

	mu     sync.Mutex
	intake *intake.Intake
	conns  map[intake.ID]*conn
}

// Listen opens a listener on an address.
func Listen(address string, cfg Config) (*Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setReceiveBuffer(c, cfg.Log) }}
	inner, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	setBacklog(inner, cfg.Log)
	l := &Listener{
		cfg:     cfg,
		inner:   inner,
		started: time.Now(),
		log:     cfg.Log.With().Str("listener", cfg.Name).Logger().Sample(&zerolog.BurstSampler{Burst: eventsPerSecond, Period: time.Second}),
		done:    make(chan struct{}),
		intake:  intake.New(cfg.Limits),
		conns:   make(map[intake.ID]*conn),
	}
	l.close = sync.OnceFunc(func() { close(l.done) })
	l.server = &http.Server{
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: backstopTimeout,
		IdleTimeout:       backstopTimeout,
	}
	l.Follow(l.server)
	go l.expire()
	return l, nil
}

// setReceiveBuffer bounds the kernel's buffers of connections. Without that bound the process works all the same.
func setReceiveBuffer(c syscall.RawConn, log zerolog.Logger) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if failed != nil {
		log.Warn().Err(failed).Msg("receive-buffer-not-set")
	}
	return errors.Wrap(err, "receive buffer")
}

// setBacklog shortens the queue of connections that wait to be accepted, which net.Listen makes as long as the system
// allows.
func setBacklog(l net.Listener, log zerolog.Logger) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) })
		if err == nil {
			err = controlErr
		}
	}
	if err != nil {
		log.Warn().Err(err).Msg("backlog-not-set")
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Close implements net.Listener. Open connections aren't closed.
func (l *Listener) Close() error {
	l.close()
	return l.inner.Close()
}

func (l *Listener) now() intake.Time { return time.Since(l.started) }

// Accept implements net.Listener. It closes connections that aren't admitted, and those that are evicted for others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.inner.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection if it is admitted; otherwise it is closed. While all places are taken by callers that
// have just come, it waits, and further connections wait to be accepted.
func (l *Listener) admit(inner net.Conn) *conn {
	for {
		l.mu.Lock()
		a := l.intake.Admit(l.now())
		l.closeAll(a.Closed)
		var c *conn
		if a.ID != 0 {
			c = &conn{Conn: inner, listener: l, id: a.ID}
			l.conns[a.ID] = c
		}
		l.mu.Unlock()
		switch {
		case c != nil:
			return c
		case a.Wait == 0:
			l.cfg.Metrics.rejected(l.cfg.Name)
			l.log.Warn().Str("reason", "all callers are being served").Msg("connection-rejected")
			l.logClose(inner.Close())
			return nil
		}
		time.Sleep(a.Wait)
	}
}

// closeAll closes connections that the intake no longer holds. The caller holds the lock.
func (l *Listener) closeAll(list []intake.Closed) {
	for _, e := range list {
		c := l.conns[e.ID]
		delete(l.conns, e.ID)
		l.cfg.Metrics.closed(l.cfg.Name, e.Reason)
		if c == nil {
			continue
		}
		l.logClosed(c, e)
		l.logClose(c.Conn.Close())
	}
}

// logClosed logs why a connection is closed, unless it was only idle for too long.
func (l *Listener) logClosed(c *conn, e intake.Closed) {
	if e.Reason == intake.IdleTimeout {
		return
	}
	l.log.Info().Stringer("reason", e.Reason).Dur("age", e.Age).Int64("bytes", e.Bytes).
		Str("caller", c.RemoteAddr().String()).Msg("connection-closed")
}

// logClose logs a failed close of a connection, whose descriptor may stay open.
func (l *Listener) logClose(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn().Err(err).Msg("connection-not-closed")
	}
}

// Follow has a server report what the listener's connections do, before it serves on them. Listeners of crypto/tls may
// be in between.
func (l *Listener) Follow(s *http.Server) {
	s.ConnState = connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, inner(c))
	}
}

// Serve serves requests until the listener is closed or Shutdown is called.
func (l *Listener) Serve(h http.Handler) error {
	l.server.Handler = l.bound(h)
	err := l.server.Serve(l)
	l.close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", l.Addr())
}

// Shutdown stops accepting connections and waits until requests have been answered.
func (l *Listener) Shutdown(ctx context.Context) error {
	return errors.Wrap(l.server.Shutdown(ctx), "shutdown")
}

// expire closes connections whose phase has taken too long, and publishes the counts.
func (l *Listener) expire() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		timeouts := l.cfg.Timeouts()
		l.mu.Lock()
		l.closeAll(l.intake.Expire(l.now(), timeouts))
		status := l.intake.Status()
		l.mu.Unlock()
		l.cfg.Metrics.update(l.cfg.Name, status)
	}
}

// connState follows a connection's requests. StateActive follows a whole head; the first bytes of one are seen by
// conn.Read.
func connState(outer net.Conn, s http.ConnState) {
	c := inner(outer)
	if c == nil {
		return
	}
	switch s {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		c.remove()
	case http.StateNew:
	}
}

// inner returns the connection below one of crypto/tls; nil if it is of another listener.
func inner(outer net.Conn) *conn {
	if t, ok := outer.(*tls.Conn); ok {
		outer = t.NetConn()
	}
	c, _ := outer.(*conn)
	return c
}
