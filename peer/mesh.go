// Package peer maintains QUIC connections between entry processes that are registered
// in the platform's store, and sends and receives messages on them.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"

	"sapphirepoint.example/sapphirepoint/core/topology"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	protocolName = "sapphirepoint-fleet/1"
	// idleTimeout closes a connection on which nothing arrives; heartbeats are sent
	// every 150 ms. A new connection from another socket may work where the old one
	// doesn't, because a middlebox can drop the state of a connection.
	idleTimeout      = 600 * time.Millisecond
	handshakeTimeout = 500 * time.Millisecond
	minRedialDelay   = 100 * time.Millisecond
	// maxRedialDelay bounds the delay between two attempts to connect. It is short since,
	// after a network partition heals, each side has a scheduler of its own until they are
	// connected.
	maxRedialDelay = 250 * time.Millisecond
	// sendQueueLength bounds the messages queued for one peer.
	sendQueueLength = 4096
	// maxMessageBytes bounds a message. The largest are a job of 4,000 bytes and 4,096
	// tasks, and a list of some thousand runners. A receiver closes the connection at a longer one, so
	// none is sent.
	maxMessageBytes = 4 << 20

	// The application error codes of closed connections. closeStopping is sent only by a
	// process that stops, see Handler.PeerDown.
	closeStopping      quic.ApplicationErrorCode = 0
	closeSlow          quic.ApplicationErrorCode = 1
	closeFailed        quic.ApplicationErrorCode = 2
	closeNotRegistered quic.ApplicationErrorCode = 3
	closeReplaced      quic.ApplicationErrorCode = 4
	closeNotNeeded     quic.ApplicationErrorCode = 5

	// unneededTimeout is the age at which a connection that is no longer desired is
	// closed. Each connection costs both sides heartbeats. The timeout must be longer
	// than a disturbance in which VMs connect to more peers to find a scheduler;
	// otherwise they would close these connections and then have to dial them again.
	unneededTimeout = 10 * time.Second
)

// Member is a registered process. A later process on the same VM replaces it.
type Member struct {
	topology.Member
	Address     string
	Fingerprint string
}

// Handler receives the events of a Mesh. Calls come from several goroutines, but those
// about one connection come in order.
type Handler interface {
	// PeerUp reports a new connection. It may replace an earlier one with the same process,
	// whose loss isn't reported by PeerDown.
	PeerUp(id string)
	// PeerDown reports a lost connection; stopping is set if the peer closed it because
	// it is stopping.
	PeerDown(id string, stopping bool, cause error)
	// UnknownPeer reports that a process that isn't listed has tried to connect. It may have
	// registered since the list was read.
	UnknownPeer()
	// PeerMessage passes a received message. handled is to be called once it has been handled.
	PeerMessage(id string, m *pb.FleetMessage, handled func())
}

// Mesh holds the connections of one process.
type Mesh struct {
	identity *Identity
	handler  Handler
	log      zerolog.Logger
	listener *quic.Listener
	quic     *quic.Config
	inbox    *inbox
	// unneededTimeout equals the constant, except in tests.
	unneededTimeout time.Duration

	mu   sync.Mutex
	self Member
	// The keys of the maps below are the ids of members. desired has the peers to be
	// connected with, and whether this process dials them. members are the registered
	// processes but this one. links has the connections that are up, and dialing the peers that are
	// being dialed.
	desired map[string]bool
	members map[string]Member
	links   map[string]*link
	dialing map[string]bool
	// changed is signalled when members or desired connections have changed.
	changed chan struct{}
}

// link is a connection with a peer.
// Listen opens the socket for peers and returns a mesh. inboxBytes bounds the memory of messages that were received and
// not handled.
func Listen(address string, identity *Identity, inboxBytes int64, handler Handler, log zerolog.Logger) (*Mesh, error) {
	m := &Mesh{
		identity: identity,
		handler:  handler,
		log:      log,
		members:  make(map[string]Member),
		desired:  make(map[string]bool),
		links:    make(map[string]*link),
		dialing:  make(map[string]bool),
		changed:  make(chan struct{}, 1),
		inbox:    newInbox(inboxBytes, log),
		quic:     &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout},

		unneededTimeout: unneededTimeout,
	}
	l, err := quic.ListenAddr(address, identity.tlsConfig(m.allowed), m.quic)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	m.listener = l
	return m, nil
}

// InboxWaits is the number of received messages that have waited for memory.
func (m *Mesh) InboxWaits() uint64 { return m.inbox.waits.Load() }

// Address is the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// allowed reports whether a fingerprint is that of a registered process. If not, it also reports
// that to the handler.
func (m *Mesh) allowed(fingerprint string) bool {
	m.mu.Lock()
	_, ok := m.byFingerprint(fingerprint)
	m.mu.Unlock()
	if !ok {
		m.handler.UnknownPeer()
	}
	return ok
}

// byFingerprint returns the registered process with a fingerprint. The caller holds the lock.
func (m *Mesh) byFingerprint(fingerprint string) (Member, bool) {
	for _, p := range m.members {
		if p.Fingerprint == fingerprint {
			return p, true
		}
	}
	return Member{}, false
}

// SetMembers replaces the list of registered processes and closes the connections with
// processes that are no longer listed.
func (m *Mesh) SetMembers(self Member, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = self
	clear(m.members)
	for _, p := range list {
		if p.ID != self.ID {
			m.members[p.ID] = p
		}
	}
	for id, l := range m.links {
		if _, ok := m.members[id]; !ok {
			_ = l.conn.CloseWithError(closeNotRegistered, "not registered")
		}
	}
	m.requestDial()
}

// SetLinks sets the desired connections.
func (m *Mesh) SetLinks(links []topology.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.desired)
	for _, l := range links {
		m.desired[l.ID] = l.Dials
	}
	m.requestDial()
}

// requestDial makes Run dial missing connections at once.
func (m *Mesh) requestDial() {
	select {
	case m.changed <- struct{}{}:
	default:
		// A signal is already pending and covers this request.
	}
}

// Run accepts and dials until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.accept(ctx)
	ticker := time.NewTicker(minRedialDelay)
	defer ticker.Stop()
	for {
		m.dialMissing(ctx)
		m.closeUnneeded()
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-ticker.C:
		case <-m.changed:
		}
	}
}

// close closes all connections with the code closeStopping, and the listener.
func (m *Mesh) close() {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		_ = l.conn.CloseWithError(closeStopping, "the process ends")
	}
	_ = m.listener.Close()
}

// dialMissing dials the desired connections that are missing and that this process is
// responsible for.
func (m *Mesh) dialMissing(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.ID == "" {
		return
	}
	for id, dials := range m.desired {
		p, known := m.members[id]
		if !dials || !known || m.links[id] != nil || m.dialing[id] {
			continue
		}
		m.dialing[id] = true
		go m.dial(ctx, p)
	}
}

// closeUnneeded closes connections that this process dialed and that are no longer
// desired. The accepting side leaves them open: the dialing side would dial again for as
// long as it desires them.
func (m *Mesh) closeUnneeded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		if _, desired := m.desired[id]; l.dialed && !desired && time.Since(l.connectedAt) > m.unneededTimeout {
			_ = l.conn.CloseWithError(closeNotNeeded, "not needed any more")
		}
	}
}

// dial connects with a peer and then reads from it until the connection is lost. It repeats
// failed attempts for as long as this process is responsible for the connection.
func (m *Mesh) dial(ctx context.Context, p Member) {
	delay := minRedialDelay
	for {
		conn, stream, err := m.connect(ctx, p)
		if err == nil {
			m.mu.Lock()
			delete(m.dialing, p.ID)
			m.mu.Unlock()
			m.addLink(&link{id: p.ID, conn: conn, dialed: true}, stream)
			return
		}
		m.log.Debug().Str("peer", p.ID).Err(err).Msg("peer-dial-failed")
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
		if !m.shouldDial(p.ID) {
			m.mu.Lock()
			delete(m.dialing, p.ID)
			m.mu.Unlock()
			return
		}
	}
}

// shouldDial reports whether this process is still responsible for a connection.
func (m *Mesh) shouldDial(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.members[id]
	return ok && m.desired[id]
}

// connect dials from a new socket; see idleTimeout.
func (m *Mesh) connect(ctx context.Context, p Member) (*quic.Conn, *quic.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	cfg := m.identity.tlsConfig(func(f string) bool { return f == p.Fingerprint })
	conn, err := quic.DialAddr(ctx, p.Address, cfg, m.quic)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial")
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(closeFailed, "no stream")
		return nil, nil, errors.Wrap(err, "open stream")
	}
	// The stream becomes visible to the other side only with its first data.
	if _, err := protodelim.MarshalTo(stream, &pb.FleetMessage{}); err != nil {
		_ = conn.CloseWithError(closeFailed, "no stream")
		return nil, nil, errors.Wrap(err, "greet")
	}
	return conn, stream, nil
}

// accept accepts connections until the listener is closed or the context ends.
func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		go m.acceptStream(ctx, conn)
	}
}

// acceptStream waits for the stream of an accepted connection, identifies the peer by its
// fingerprint and reads from it until the connection is lost.
func (m *Mesh) acceptStream(ctx context.Context, conn *quic.Conn) {
	streamCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(streamCtx)
	if err != nil {
		_ = conn.CloseWithError(closeFailed, "no stream")
		return
	}
	fingerprint := fingerprintOf(conn.ConnectionState().TLS.PeerCertificates[0].Raw)
	m.mu.Lock()
	p, ok := m.byFingerprint(fingerprint)
	m.mu.Unlock()
	if !ok {
		_ = conn.CloseWithError(closeNotRegistered, "not registered")
		return
	}
	m.addLink(&link{id: p.ID, conn: conn}, stream)
}

// addLink registers a connection, closes an earlier one with the same process, and reads
// messages until the connection is lost.
// write sends the queued messages, and flushes when the queue is empty.
// read passes the received messages to the handler until the connection is lost.
// removeLink removes a lost connection and reports it, unless another connection with the
// same process has replaced it.
// Send queues a message for a peer and reports whether it was queued. It isn't if there is no
// connection, or if the peer's queue is full: that connection is closed, so that Send never
// blocks.
func (m *Mesh) Send(id string, msg *pb.FleetMessage) bool {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case l.out <- msg:
		return true
	default:
		_ = l.conn.CloseWithError(closeSlow, "too slow")
		return false
	}
}

// Disconnect closes the connection with a process, if there is one.
func (m *Mesh) Disconnect(id string) {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l != nil {
		_ = l.conn.CloseWithError(closeFailed, "silent")
	}
}

// Connected lists the processes that have a connection with this one.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]string, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	return ids
}
