package faults

import (
	"errors"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a proxy that stops or keeps its connections in place of refusing new ones for a while.
func TestProxyRefusesConnections(t *testing.T) {
	g := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = target.Close() }()
	p, err := NewProxy(target.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer p.Close()
	open, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = open.Close() }()

	p.Refuse()
	g.Expect(p.Refuses()).To(BeTrue())
	_, err = open.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "open connections are closed")
	_, err = net.Dial("tcp", p.Address())
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)

	g.Expect(p.Listen()).To(Succeed())
	g.Expect(p.Refuses()).To(BeFalse())
	again, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	_ = again.Close()
}
