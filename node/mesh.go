package node

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// peerKeepAlive and peerIdleTimeout bound how long a silent peer
	// connection goes unnoticed.
	peerKeepAlive   = 500 * time.Millisecond
	peerIdleTimeout = 2 * time.Second
	peerHandshake   = 2 * time.Second
	redialInterval  = 300 * time.Millisecond
	// peerQueue bounds the messages that wait to be written to one peer.
	peerQueue = 4096
	// Codes with which connections are closed.
	closeNormal   quic.ApplicationErrorCode = 0
	closeReplaced quic.ApplicationErrorCode = 1
	closeProtocol quic.ApplicationErrorCode = 2
)

// mesh keeps one connection with each listed entry process. Of a pair, the
// one whose name sorts first dials.
type mesh struct {
	node      *Node
	transport *quic.Transport
	listener  *quic.Listener
	quicCfg   *quic.Config

	mu    sync.Mutex
	nodes map[string]task.Node
	links map[task.Incarnation]*link
}

// link is one connection with one incarnation of a peer.
type link struct {
	conn   *quic.Conn
	stream *quic.Stream
	out    chan *pb.PeerMessage
}

func newMesh(n *Node) (*mesh, error) {
	addr, err := net.ResolveUDPAddr("udp", n.cfg.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	sock, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m := &mesh{
		node:      n,
		transport: &quic.Transport{Conn: sock, StatelessResetKey: resetKey(n.cfg.PeerTLS)},
		quicCfg: &quic.Config{
			KeepAlivePeriod:      peerKeepAlive,
			MaxIdleTimeout:       peerIdleTimeout,
			HandshakeIdleTimeout: peerHandshake,
		},
		nodes: make(map[string]task.Node),
		links: make(map[task.Incarnation]*link),
	}
	m.listener, err = m.transport.Listen(n.cfg.PeerTLS, m.quicCfg)
	return m, errors.Wrap(err, "listen for peers")
}

// resetKey is the same for each run of a process with the same certificate, so
// that a process started again resets the connections of its predecessor at
// once and its peers needn't wait out the idle timeout.
func resetKey(cfg *tls.Config) *quic.StatelessResetKey {
	key := quic.StatelessResetKey{}
	if raw, err := x509.MarshalPKCS8PrivateKey(cfg.Certificates[0].PrivateKey); err == nil {
		key = sha256.Sum256(raw)
	}
	return &key
}

func (m *mesh) address() string { return m.listener.Addr().String() }

func (m *mesh) setMembers(list task.Members) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.nodes)
	for _, n := range list.Nodes {
		m.nodes[n.Name] = n
	}
}

// run accepts and dials until the context ends.
func (m *mesh) run(ctx context.Context) error {
	go m.accept(ctx)
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	dialing := make(map[string]bool)
	done := make(chan string)
	for {
		for _, n := range m.missing() {
			if dialing[n.Name] {
				continue
			}
			dialing[n.Name] = true
			go func() {
				m.dial(ctx, n)
				select {
				case done <- n.Name:
				case <-ctx.Done():
				}
			}()
		}
		select {
		case <-ctx.Done():
			m.close()
			return nil
		case name := <-done:
			delete(dialing, name)
		case <-ticker.C:
		}
	}
}

func (m *mesh) close() {
	m.mu.Lock()
	links := m.links
	m.links = make(map[task.Incarnation]*link)
	m.mu.Unlock()
	for _, l := range links {
		_ = l.conn.CloseWithError(closeNormal, "stopped")
	}
	_ = m.listener.Close()
	_ = m.transport.Close()
	_ = m.transport.Conn.Close()
}

// missing lists the nodes that this one should dial and isn't connected with.
func (m *mesh) missing() []task.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := make(map[string]bool)
	for inc := range m.links {
		connected[inc.Node] = true
	}
	var list []task.Node
	for _, n := range m.nodes {
		if n.Name > m.node.cfg.Name && !connected[n.Name] {
			list = append(list, n)
		}
	}
	return list
}

func (m *mesh) dial(ctx context.Context, n task.Node) {
	addr, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		m.node.log.Warn().Err(err).Str("peer", n.Name).Msg("peer-address-invalid")
		return
	}
	cfg := m.node.cfg.PeerTLS.Clone()
	cfg.ServerName = n.Name
	dialCtx, cancel := context.WithTimeout(ctx, peerHandshake)
	defer cancel()
	conn, err := m.transport.Dial(dialCtx, addr, cfg, m.quicCfg)
	if err != nil {
		m.node.log.Debug().Err(err).Str("peer", n.Name).Msg("peer-dial-failed")
		return
	}
	stream, err := conn.OpenStreamSync(dialCtx)
	if err != nil {
		_ = conn.CloseWithError(closeProtocol, "no stream")
		return
	}
	m.greet(conn, stream)
}

func (m *mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			streamCtx, cancel := context.WithTimeout(ctx, peerHandshake)
			defer cancel()
			stream, err := conn.AcceptStream(streamCtx)
			if err != nil {
				_ = conn.CloseWithError(closeProtocol, "no stream")
				return
			}
			m.greet(conn, stream)
		}()
	}
}

// greet exchanges Hello and starts the link.
func (m *mesh) greet(conn *quic.Conn, stream *quic.Stream) {
	hello := &pb.Hello{Incarnation: m.node.self.Proto(), FailureDomain: m.node.cfg.FailureDomain}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		_ = conn.CloseWithError(closeProtocol, "hello")
		return
	}
	reader := bufio.NewReader(stream)
	theirs := &pb.Hello{}
	_ = stream.SetReadDeadline(time.Now().Add(peerHandshake))
	if err := readMessage(reader, theirs); err != nil {
		_ = conn.CloseWithError(closeProtocol, "hello")
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	peer := task.IncarnationOf(theirs.GetIncarnation())
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || certs[0].VerifyHostname(peer.Node) != nil {
		m.node.log.Warn().Str("peer", peer.Node).Msg("peer-name-mismatch")
		_ = conn.CloseWithError(closeProtocol, "name differs from certificate")
		return
	}
	l := &link{conn: conn, stream: stream, out: make(chan *pb.PeerMessage, peerQueue)}
	m.add(peer, l)
	m.node.log.Info().Stringer("peer", peer).Msg("peer-up")
	m.node.post(dispatch.PeerUp{Peer: peer, FailureDomain: theirs.GetFailureDomain()})
	go m.write(l)
	go m.read(peer, l, reader)
}

// add registers a link; an earlier one with the same incarnation is closed.
func (m *mesh) add(peer task.Incarnation, l *link) {
	m.mu.Lock()
	old := m.links[peer]
	m.links[peer] = l
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(closeReplaced, "replaced")
	}
}

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

func (m *mesh) read(peer task.Incarnation, l *link, r *bufio.Reader) {
	for {
		msg := &pb.PeerMessage{}
		if err := readMessage(r, msg); err != nil {
			m.down(peer, l, err)
			return
		}
		m.node.post(dispatch.PeerMessage{Peer: peer, Message: msg})
	}
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxPeerMessageBytes}.UnmarshalFrom(r, m)
}

func (m *mesh) down(peer task.Incarnation, l *link, err error) {
	_ = l.conn.CloseWithError(closeNormal, "down")
	m.mu.Lock()
	current := m.links[peer] == l
	if current {
		delete(m.links, peer)
	}
	m.mu.Unlock()
	if !current {
		return
	}
	m.node.log.Info().Err(err).Stringer("peer", peer).Msg("peer-down")
	m.node.post(dispatch.PeerDown{Peer: peer})
}

// send queues a message. A peer that doesn't keep up loses its connection, so
// that what waits for it is answered; the loop never waits for a peer.
func (m *mesh) send(cmd dispatch.Send) {
	m.mu.Lock()
	l := m.links[cmd.Peer]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.out <- cmd.Message:
	default:
		_ = l.conn.CloseWithError(closeProtocol, "too slow")
	}
}

// connected is the number of connected peers.
func (m *mesh) connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}
