package faults

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// NewProxyWithQueue listens on a free port, as NewProxy does, with a queue for about so many connections that aren't
// accepted yet. Linux keeps one more than backlog; it drops the requests for more, so that these aren't made in time.
func NewProxyWithQueue(target string, backlog int) (*Proxy, error) {
	return newProxy(target, backlog)
}

// listen listens on an address. Its queue is as long as the system allows if backlog is 0.
func listen(address string, backlog int) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t := l.(*net.TCPListener)
	if backlog == 0 {
		return t, nil
	}
	if err := limitQueue(t, backlog); err != nil {
		_ = t.Close()
		return nil, err
	}
	return t, nil
}

// limitQueue listens again on a socket that listens already, which changes the length of its queue.
func limitQueue(l *net.TCPListener, backlog int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(listenErr, "limit the queue")
}

// Pause stops the proxy for a time, as if its process got no processor time: it accepts no connections, which wait in
// the queue, and forwards nothing, in either direction. It goes on with all of that afterwards. Pause has no effect
// while an earlier pause lasts, and reports whether it had one.
func (p *Proxy) Pause(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.pausedUntil) {
		return false
	}
	p.pausedUntil = now.Add(d)
	if p.listener != nil {
		// It ends an Accept that waits.
		_ = p.listener.SetDeadline(now)
	}
	return true
}

const (
	// fillTimeout is how long a connection may take to be made while the queue isn't full.
	fillTimeout = 50 * time.Millisecond
	// maxFill bounds the connections that fill a queue.
	maxFill = 64
)

// DropConnections pauses the proxy for a time and fills its queue, so that requests for new connections are dropped, as
// beyond a cut. It needs a short queue, see NewProxyWithQueue. It has no effect while a pause lasts.
func (p *Proxy) DropConnections(d time.Duration) {
	if !p.Pause(d) {
		return
	}
	made := fillQueue(p.address)
	time.AfterFunc(d, func() {
		for _, c := range made {
			_ = c.Close()
		}
	})
}

// fillQueue makes connections until one isn't made in time, and returns those that were made.
func fillQueue(address string) []net.Conn {
	var made []net.Conn
	for range maxFill {
		c, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			break
		}
		made = append(made, c)
	}
	return made
}

// waitForPause returns once the proxy isn't paused.
func (p *Proxy) waitForPause() {
	for {
		p.mu.Lock()
		wait := time.Until(p.pausedUntil)
		p.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// acceptOne accepts a connection while the proxy isn't paused.
func (p *Proxy) acceptOne(l *net.TCPListener) (net.Conn, error) {
	for {
		p.waitForPause()
		p.clearDeadline(l)
		c, err := l.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
}

// clearDeadline lets a listener accept connections again, unless the proxy is paused.
func (p *Proxy) clearDeadline(l *net.TCPListener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(p.pausedUntil) {
		_ = l.SetDeadline(time.Time{})
	}
}
