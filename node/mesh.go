package node

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
)

const (
	// peerKeepAlive and peerIdleTimeout bound how long a silent peer
	// connection goes unnoticed.
	peerKeepAlive    = time.Second
	peerIdleTimeout  = 2 * time.Second
	handshakeTimeout = 2 * time.Second
	redialInterval   = 300 * time.Millisecond
	// reverseDialDelay is how long the node that is usually dialed waits
	// before it dials itself.
	reverseDialDelay = time.Second
	// peerQueueLength bounds the messages that wait to be written to one peer.
	peerQueueLength = 4096
	// Codes with which connections are closed.
	closeNormal   quic.ApplicationErrorCode = 0
	closeReplaced quic.ApplicationErrorCode = 1
	closeProtocol quic.ApplicationErrorCode = 2
)

// mesh keeps one connection with each listed entry process. Of a pair, the
// one whose name sorts first dials. The other one dials after a while without
// a connection: a process that starts while the platform is down has no list,
// so it can't dial, and would never be found by those whose names sort after
// its own.
type mesh struct {
	node      *Node
	transport *quic.Transport
	listener  *quic.Listener
	quicCfg   *quic.Config

	// orderMu is held while a link is added or removed and its events are
	// posted, so that the core sees them in the orderMu in which they happened.
	// The loop never takes it.
	orderMu sync.Mutex

	mu      sync.Mutex
	members map[string]task.Node
	links   map[task.Incarnation]*link
	// disconnectedAt is when the connection with a listed node was last lost.
	disconnectedAt map[string]time.Time
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
			HandshakeIdleTimeout: handshakeTimeout,
		},
		members:        make(map[string]task.Node),
		links:          make(map[task.Incarnation]*link),
		disconnectedAt: make(map[string]time.Time),
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
	clear(m.members)
	for _, n := range list.Nodes {
		m.members[n.Name] = n
		if m.disconnectedAt[n.Name].IsZero() {
			m.disconnectedAt[n.Name] = time.Now()
		}
	}
	for name := range m.disconnectedAt {
		if _, listed := m.members[name]; !listed {
			delete(m.disconnectedAt, name)
		}
	}
}

// run accepts and dials until the context ends.
func (m *mesh) run(ctx context.Context) error {
	go m.accept(ctx)
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	dialing := make(map[string]bool)
	dialed := make(chan string)
	for {
		for _, n := range m.missingPeers() {
			if dialing[n.Name] {
				continue
			}
			dialing[n.Name] = true
			go func() {
				m.dial(ctx, n)
				select {
				case dialed <- n.Name:
				case <-ctx.Done():
				}
			}()
		}
		select {
		case <-ctx.Done():
			m.close()
			return nil
		case name := <-dialed:
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

// missingPeers lists the nodes that this one should dial and isn't connected with.
func (m *mesh) missingPeers() []task.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected := make(map[string]bool)
	for inc := range m.links {
		connected[inc.Node] = true
	}
	var list []task.Node
	for _, n := range m.members {
		if n.Name == m.node.cfg.Name || connected[n.Name] {
			continue
		}
		if m.isPreferredDialer(n.Name) || time.Since(m.disconnectedAt[n.Name]) > reverseDialDelay {
			list = append(list, n)
		}
	}
	return list
}

func (m *mesh) isPreferredDialer(peer string) bool {
	return m.node.cfg.Name < peer
}

func (m *mesh) dial(ctx context.Context, n task.Node) {
	addr, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		m.node.log.Warn().Err(err).Str("peer", n.Name).Msg("peer-address-invalid")
		return
	}
	cfg := m.node.cfg.PeerTLS.Clone()
	cfg.ServerName = n.Name
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
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
	m.handshake(conn, stream, true)
}

func (m *mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			// Each connection is greeted on its own: a peer that says nothing
			// holds up nobody else.
			streamCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
			defer cancel()
			stream, err := conn.AcceptStream(streamCtx)
			if err != nil {
				_ = conn.CloseWithError(closeProtocol, "no stream")
				return
			}
			m.handshake(conn, stream, false)
		}()
	}
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
