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
	// peerKeepAlive and peerIdleTimeout bound how long a dead connection with a peer
	// goes undetected.
	peerKeepAlive    = time.Second
	peerIdleTimeout  = 2 * time.Second
	handshakeTimeout = 2 * time.Second
	redialInterval   = 300 * time.Millisecond
	// reverseDialDelay is how long a node waits for the preferred dialer before it
	// dials itself.
	reverseDialDelay = time.Second
	// peerQueueLength bounds the messages queued for one peer.
	peerQueueLength = 4096
	// Application error codes of closed connections.
	closeNormal   quic.ApplicationErrorCode = 0
	closeReplaced quic.ApplicationErrorCode = 1
	closeProtocol quic.ApplicationErrorCode = 2
)

// mesh maintains one connection with each entry process in the platform's list of members.
// Of two nodes, the one whose name sorts first is the preferred dialer. The other one dials
// after reverseDialDelay without a connection: a process that starts while the platform is
// down has no list of members and can't dial, and nodes that wait for it to dial would
// never connect with it.
type mesh struct {
	node      *Node
	transport *quic.Transport
	listener  *quic.Listener
	quicCfg   *quic.Config

	// orderMu is held while a link is added or removed and its events are posted, so
	// that the core receives the events in the order in which they happened. The
	// core's loop never locks it.
	orderMu sync.Mutex

	mu      sync.Mutex
	members map[string]task.Node
	links   map[task.Incarnation]*link
	// disconnectedAt is when the connection with a listed node was last lost, or when
	// the node was first listed.
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

// resetKey is derived from the private key, so that it is the same after a restart: the
// new process can reset the connections of its predecessor at once, and its peers don't
// have to wait for the idle timeout.
func resetKey(cfg *tls.Config) *quic.StatelessResetKey {
	key := quic.StatelessResetKey{}
	if raw, err := x509.MarshalPKCS8PrivateKey(cfg.Certificates[0].PrivateKey); err == nil {
		key = sha256.Sum256(raw)
	}
	return &key
}

func (m *mesh) address() string { return m.listener.Addr().String() }

// setMembers sets the list of entry processes.
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

// missingPeers lists the nodes that this node should dial and is not connected with.
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

// isPreferredDialer reports whether this node's name sorts before the peer's.
func (m *mesh) isPreferredDialer(peer string) bool {
	return m.node.cfg.Name < peer
}

// dial connects with a node once. A failure is only logged: run dials again.
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
			// Each handshake has its own goroutine, so that a peer that sends nothing
			// doesn't delay others.
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

// send queues a message. If a peer's queue is full, its connection is closed, so that
// requests waiting for the peer are answered and the core's loop never blocks.
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

// connected returns the number of connected peers.
func (m *mesh) connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}
