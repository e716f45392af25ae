package faults

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// arrivalTimeout bounds the wait for a datagram, and lossTimeout that for one that is dropped.
	arrivalTimeout = 5 * time.Second
	lossTimeout    = 50 * time.Millisecond
)

// echo answers each datagram with the same one.
func echo(g *WithT) *net.UDPConn {
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, from, err := s.ReadFromUDP(buf)
			if err != nil {
				return
			}
			_, _ = s.WriteToUDP(buf[:n], from)
		}
	}()
	return s
}

// answered reports whether a datagram is answered within a time.
func answered(c net.Conn, within time.Duration) bool {
	if _, err := c.Write([]byte("datagram")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, maxDatagram)
	n, err := c.Read(buf)
	return err == nil && string(buf[:n]) == "datagram"
}

// Guards against a relay that forwards what a test has cut, or nothing once the cut is over.
func TestRelayDropsEitherDirection(t *testing.T) {
	g := NewWithT(t)
	target := echo(g)
	defer target.Close()
	r, err := NewRelay(target.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	c, err := net.Dial("udp", r.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(answered(c, arrivalTimeout)).To(BeTrue())
	for _, cut := range []struct{ to, from bool }{{true, false}, {false, true}, {true, true}} {
		r.Drop(cut.to, cut.from)
		g.Expect(answered(c, lossTimeout)).To(BeFalse())
		r.Drop(false, false)
		g.Expect(answered(c, arrivalTimeout)).To(BeTrue())
	}
}

// Guards against a relay that loses the datagrams that it delays.
func TestRelayDelaysDatagrams(t *testing.T) {
	g := NewWithT(t)
	target := echo(g)
	defer target.Close()
	r, err := NewRelay(target.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	c, err := net.Dial("udp", r.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	r.Delay(20 * time.Millisecond)
	begin := time.Now()
	g.Expect(answered(c, arrivalTimeout)).To(BeTrue())
	g.Expect(time.Since(begin)).To(BeNumerically(">=", 40*time.Millisecond), "both directions are delayed")
}
