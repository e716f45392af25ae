package faults

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testBacklog = 4
	testPause   = time.Second
	dialTimeout = 50 * time.Millisecond
)

// Guards against a paused proxy whose queue doesn't fill up, or that loses what arrives while it is paused.
func TestPausedProxyFillsItsQueue(t *testing.T) {
	g := NewWithT(t)
	p := newEchoProxy(g, t)
	open, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = open.Close() }()
	g.Expect(roundTrip(open)).To(Succeed())

	p.Pause(testPause)
	_, err = open.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(open.SetReadDeadline(time.Now().Add(dialTimeout))).To(Succeed())
	_, err = open.Read(make([]byte, 1))
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	queued := dialUntilTimeout(g, p.Address())
	g.Expect(queued).To(HaveLen(testBacklog + 1))

	g.Expect(open.SetReadDeadline(time.Time{})).To(Succeed())
	_, err = open.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range queued {
		g.Expect(roundTrip(c)).To(Succeed())
		_ = c.Close()
	}
}

// Guards against a proxy whose host seems up though it is to drop requests for connections, and that stays so afterwards.
func TestProxyDropsConnections(t *testing.T) {
	g := NewWithT(t)
	p := newEchoProxy(g, t)
	p.DropConnections(testPause)
	g.Expect(dialUntilTimeout(g, p.Address())).To(BeEmpty())
	g.Eventually(func() error {
		c, err := net.DialTimeout("tcp", p.Address(), dialTimeout)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		return roundTrip(c)
	}, time.Minute, dialTimeout).Should(Succeed())
}

// newEchoProxy returns a proxy with a short queue to a server that sends back what it gets.
func newEchoProxy(g *WithT, t *testing.T) *Proxy {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 1)
				for _, err := c.Read(buf); err == nil; _, err = c.Read(buf) {
					_, _ = c.Write(buf)
				}
			}()
		}
	}()
	p, err := NewProxyWithQueue(target.Addr().String(), testBacklog)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	return p
}

// roundTrip sends a byte and waits until it comes back.
func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// dialUntilTimeout makes connections until one isn't made in time.
func dialUntilTimeout(g *WithT, address string) []net.Conn {
	var made []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			var timeout net.Error
			g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "%v", err)
			return made
		}
		made = append(made, c)
	}
}
