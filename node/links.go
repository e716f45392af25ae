package node

import (
	"bufio"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// link is a connection with one incarnation of a peer.
type link struct {
	conn        *quic.Conn
	stream      *quic.Stream
	out         chan *pb.PeerMessage
	connectedAt time.Time
	// preferred is set if the dialing node is the one whose name sorts first.
	preferred bool
}

// handshake exchanges Hello messages and starts the link. It rejects a peer whose certificate
// isn't valid for the node name in its Hello.
func (m *mesh) handshake(conn *quic.Conn, stream *quic.Stream, dialed bool) {
	hello := &pb.Hello{Incarnation: m.node.self.Proto(), FailureDomain: m.node.cfg.FailureDomain}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		_ = conn.CloseWithError(closeProtocol, "hello")
		return
	}
	reader := bufio.NewReader(stream)
	peerHello := &pb.Hello{}
	_ = stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	if err := readMessage(reader, peerHello); err != nil {
		_ = conn.CloseWithError(closeProtocol, "hello")
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	peer := task.IncarnationOf(peerHello.GetIncarnation())
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || certs[0].VerifyHostname(peer.Node) != nil {
		m.node.log.Warn().Str("peer", peer.Node).Msg("peer-name-mismatch")
		_ = conn.CloseWithError(closeProtocol, "name differs from certificate")
		return
	}
	l := &link{
		conn:        conn,
		stream:      stream,
		out:         make(chan *pb.PeerMessage, peerQueueLength),
		connectedAt: time.Now(),
		preferred:   dialed == m.isPreferredDialer(peer.Node),
	}
	if !m.addLink(peer, l, peerHello.GetFailureDomain()) {
		_ = conn.CloseWithError(closeReplaced, "connected already")
		return
	}
	go m.write(l)
	go m.read(peer, l, reader)
}

// addLink registers a link and reports whether it is used. An earlier link with the
// same incarnation is closed and reported to the core as down: messages sent on it may
// be lost, and a forwarded request would otherwise wait for its answer until its
// deadline.
//
// Two nodes that dial each other at the same time would each close the other's
// connection, and do so again at the next attempt. A recent connection from the
// preferred dialer is therefore not replaced by one from the other node.
func (m *mesh) addLink(peer task.Incarnation, l *link, failureDomain string) bool {
	m.orderMu.Lock()
	defer m.orderMu.Unlock()
	m.mu.Lock()
	old := m.links[peer]
	if old != nil && old.preferred && !l.preferred && time.Since(old.connectedAt) < peerIdleTimeout {
		m.mu.Unlock()
		return false
	}
	m.links[peer] = l
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(closeReplaced, "replaced")
		m.node.post(dispatch.PeerDown{Peer: peer})
	}
	m.node.log.Info().Stringer("peer", peer).Msg("peer-up")
	m.node.post(dispatch.PeerUp{Peer: peer, FailureDomain: failureDomain})
	return true
}

// write sends the queued messages, and flushes when the queue is empty.
func (m *mesh) write(l *link) {
	w := bufio.NewWriter(l.stream)
	for {
		select {
		case <-l.conn.Context().Done():
			return
		case msg := <-l.out:
			if _, err := protodelim.MarshalTo(w, msg); err != nil {
				_ = l.conn.CloseWithError(closeProtocol, "write")
				return
			}
			if len(l.out) > 0 {
				continue
			}
			if err := w.Flush(); err != nil {
				return
			}
		}
	}
}

// read passes the received messages to the core until the connection is lost.
func (m *mesh) read(peer task.Incarnation, l *link, r *bufio.Reader) {
	for {
		msg := &pb.PeerMessage{}
		if err := readMessage(r, msg); err != nil {
			m.removeLink(peer, l, err)
			return
		}
		m.node.post(dispatch.PeerMessage{Peer: peer, Message: msg})
	}
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxPeerMessageBytes}.UnmarshalFrom(r, m)
}

// removeLink removes a lost link and reports it to the core, unless another link with the
// same incarnation has replaced it.
func (m *mesh) removeLink(peer task.Incarnation, l *link, err error) {
	_ = l.conn.CloseWithError(closeNormal, "down")
	m.orderMu.Lock()
	defer m.orderMu.Unlock()
	m.mu.Lock()
	current := m.links[peer] == l
	if current {
		delete(m.links, peer)
		if _, listed := m.members[peer.Node]; listed {
			m.disconnectedAt[peer.Node] = time.Now()
		}
	}
	m.mu.Unlock()
	if !current {
		return
	}
	m.node.log.Info().Err(err).Stringer("peer", peer).Msg("peer-down")
	m.node.post(dispatch.PeerDown{Peer: peer})
}
