package faults

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections from the loopback address to a target and injects faults into
// them.
type Proxy struct {
	address string
	// backlog is the length of the listener's queue, see listen.
	backlog int

	mu sync.Mutex
	// target is where new connections lead.
	target string
	// listener is nil while connections are refused, and after Close.
	listener *net.TCPListener
	conns    map[*proxyConn]bool
	// delay is added to each piece of data. dropToTarget and dropFromTarget drop the data of all
	// connections in one direction.
	delay                        time.Duration
	dropToTarget, dropFromTarget bool
	// pausedUntil is when the latest pause ends, see Pause.
	pausedUntil time.Time
}

// proxyConn is a client's connection with the proxy and the one that the proxy dialed to the target.
type proxyConn struct {
	inbound, outbound net.Conn
	// silent connections drop all data, for good.
	silent bool
}

// NewProxy listens on a free port.
func NewProxy(target string) (*Proxy, error) { return newProxy(target, 0) }

func newProxy(target string, backlog int) (*Proxy, error) {
	l, err := listen("127.0.0.1:0", backlog)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), target: target, backlog: backlog, listener: l, conns: make(map[*proxyConn]bool)}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Close closes the proxy and all its connections.
func (p *Proxy) Close() { p.Refuse() }

// Refuse closes the listener and all connections, so that new ones are refused until Listen is called. The
// target isn't affected.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.closeConns()
}

// Refuses reports whether connections are refused.
func (p *Proxy) Refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener == nil
}

// Listen accepts connections again, at the same address as before.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := listen(p.address, p.backlog)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Delay sets the delay of each piece of data.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Drop sets whether data to the target, and from it, is dropped.
func (p *Proxy) Drop(to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropToTarget, p.dropFromTarget = to, from
}

// Silence makes all open connections silent for good. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
}

// SetTarget closes all open connections, and lets new ones lead to another target.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.closeConns()
}

func (p *Proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Reset closes all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

// closeConns closes all open connections. The caller holds the lock.
func (p *Proxy) closeConns() {
	for c := range p.conns {
		c.close()
	}
}

func (c *proxyConn) close() {
	_ = c.inbound.Close()
	_ = c.outbound.Close()
}

func (p *Proxy) accept(l *net.TCPListener) {
	for {
		inbound, err := p.acceptOne(l)
		if err != nil {
			return
		}
		go p.serve(inbound)
	}
}

func (p *Proxy) serve(inbound net.Conn) {
	outbound, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		_ = inbound.Close()
		return
	}
	c := &proxyConn{inbound: inbound, outbound: outbound}
	if !p.add(c) {
		c.close()
		return
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.copy(c, outbound, inbound, true) }()
	go func() { defer done.Done(); p.copy(c, inbound, outbound, false) }()
	done.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// add records an open connection, and reports whether connections are still accepted.
func (p *Proxy) add(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) copy(c *proxyConn, to io.Writer, from io.Reader, toTarget bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitForPause()
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, lost := p.delay, c.silent || toTarget && p.dropToTarget || !toTarget && p.dropFromTarget
		p.mu.Unlock()
		if lost {
			continue
		}
		time.Sleep(delay)
		p.waitForPause()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
