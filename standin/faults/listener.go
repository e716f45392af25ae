// Package faults injects faults into network connections.
package faults

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener whose open connections can be made silent while new ones work, as when
// a stateful firewall or NAT between both ends loses its connection table.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	bytes atomic.Int64
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[w] = struct{}{}
	l.mu.Unlock()
	return w, nil
}

// Bytes returns the number of bytes that all connections have carried in both directions.
func (l *Listener) Bytes() int64 { return l.bytes.Load() }

// Silence makes all open connections silent for good and returns their number.
func (l *Listener) Silence() int { return l.SilenceExcept(nil) }

// SilenceExcept makes all open connections but one silent for good and returns their number. The
// exception, which may be nil, is the connection that carries the control request itself.
func (l *Listener) SilenceExcept(except net.Conn) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if net.Conn(c) == except {
			continue
		}
		c.silence()
		n++
	}
	return n
}

// conn is a connection of a Listener. closed is closed by Close, which ends a Read of a silent connection.
type conn struct {
	net.Conn
	listener  *Listener
	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *conn) silence() {
	c.mu.Lock()
	c.silent = true
	c.mu.Unlock()
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. Data that a silent connection receives is lost.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. Data written to a silent connection is lost.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
