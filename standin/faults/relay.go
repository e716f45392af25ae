package faults

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDatagram is the size of the largest datagram.
	maxDatagram = 64 << 10
	// relayIdleTimeout is the time without datagrams after which a client is forgotten. It exceeds the time after
	// which either end gives up a connection.
	relayIdleTimeout = 10 * time.Second
)

// Relay forwards UDP datagrams from the loopback address to a target, and the answers, and injects faults into them.
type Relay struct {
	socket *net.UDPConn
	target *net.UDPAddr

	mu sync.Mutex
	// sockets are those on which the clients' datagrams are sent, by the address of the client.
	sockets map[string]*net.UDPConn
	// delay is added to each datagram. dropToTarget and dropFromTarget drop the datagrams of one direction.
	delay                        time.Duration
	dropToTarget, dropFromTarget bool
	closed                       bool
}

// NewRelay listens on a free port.
func NewRelay(target string) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{socket: socket, target: to, sockets: make(map[string]*net.UDPConn)}
	go r.receive()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.socket.LocalAddr().String() }

// Close closes the relay.
func (r *Relay) Close() {
	_ = r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, s := range r.sockets {
		_ = s.Close()
	}
}

// Delay sets the delay of each datagram.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Drop sets whether datagrams to the target, and from it, are dropped.
func (r *Relay) Drop(to, from bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropToTarget, r.dropFromTarget = to, from
}

// receive forwards the datagrams of all clients until the relay is closed.
func (r *Relay) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, client, err := r.socket.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		socket, err := r.socketOf(client)
		if err != nil {
			continue // the datagram is lost, as any may be
		}
		r.forward(buf[:n], true, func(b []byte) { _, _ = socket.Write(b) })
	}
}

// socketOf returns the socket on which a client's datagrams are sent to the target, which it opens if there is none.
func (r *Relay) socketOf(client *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sockets[client.String()]; s != nil {
		return s, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	s, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	r.sockets[client.String()] = s
	go r.answer(s, client)
	return s, nil
}

// answer forwards what the target sends to a client, until the client is forgotten or the relay is closed.
func (r *Relay) answer(socket *net.UDPConn, client *net.UDPAddr) {
	defer r.forget(socket, client)
	buf := make([]byte, maxDatagram)
	for {
		_ = socket.SetReadDeadline(time.Now().Add(relayIdleTimeout))
		n, err := socket.Read(buf)
		if errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return
		}
		if err != nil {
			continue // nobody listens at the target at present
		}
		r.forward(buf[:n], false, func(b []byte) { _, _ = r.socket.WriteToUDP(b, client) })
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func (r *Relay) forget(socket *net.UDPConn, client *net.UDPAddr) {
	_ = socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sockets, client.String())
}

// forward sends a datagram, or a copy of it later, unless its direction is dropped.
func (r *Relay) forward(b []byte, toTarget bool, send func([]byte)) {
	r.mu.Lock()
	delay, lost := r.delay, toTarget && r.dropToTarget || !toTarget && r.dropFromTarget
	r.mu.Unlock()
	switch {
	case lost:
	case delay > 0:
		held := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { send(held) })
	default:
		send(b)
	}
}
