// Package peer keeps one QUIC connection between each two entry processes that
// are registered in the platform's store, and passes messages on it.
package peer

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	protocolName = "sapphirepoint-fleet/1"
	// idleTimeout ends a connection that has fallen silent; heartbeats come
	// every 150 ms. A new one, on a socket of its own, may work where the old
	// one doesn't: something between the ends can lose track of a connection.
	idleTimeout      = 600 * time.Millisecond
	handshakeTimeout = 500 * time.Millisecond
	redialFirst      = 100 * time.Millisecond
	// redialMost bounds the pause between two tries. As a cut heals, both sides
	// have a scheduler until they hear each other.
	redialMost = 250 * time.Millisecond
	// queueLength bounds the messages that wait for one peer.
	queueLength = 4096
	// maxMessage bounds a message: a job of 4,000 bytes and 4,096 tasks, or a
	// list of some thousand runners.
	maxMessage = 4 << 20

	closeEnded   quic.ApplicationErrorCode = 0
	closeSlow    quic.ApplicationErrorCode = 1
	closeBroken  quic.ApplicationErrorCode = 2
	closeForgot  quic.ApplicationErrorCode = 3
	closeEarlier quic.ApplicationErrorCode = 4
	closeSpare   quic.ApplicationErrorCode = 5

	// spareAfter is the age at which a connection that isn't wanted any more is
	// closed. Each costs each side 13 messages a second, some 2 ms of a core, for
	// as long as it stands; it must outlast the trouble in which small VMs looked
	// for each other, or they would do so again.
	spareAfter = 10 * time.Second
)

// Member is a registered process.
type Member struct {
	// ID names one lifetime of a process.
	ID string
	// Node is the VM; a later lifetime on it replaces the earlier one.
	Node        string
	Number      uint64
	Address     string
	Fingerprint string
	// MilliCPU is the processor of the VM, in thousandths of a core.
	MilliCPU int
}

// Handler is told what happens. Calls come from several goroutines, but those
// about one connection come in order.
type Handler interface {
	PeerUp(id string)
	// PeerDown: ended says that the other process said so itself.
	PeerDown(id string, ended bool, cause error)
	PeerMessage(id string, m *pb.FleetMessage)
}

// Mesh is the connections of one process.
type Mesh struct {
	identity *Identity
	handler  Handler
	log      zerolog.Logger
	listener *quic.Listener
	quic     *quic.Config
	// spareAfter is the constant, but in tests.
	spareAfter time.Duration

	mu      sync.Mutex
	self    Member
	alone   bool
	members map[string]Member
	links   map[string]*link
	dialing map[string]bool
	// changed is signalled when there are members to be dialed.
	changed chan struct{}
}

type link struct {
	id    string
	conn  *quic.Conn
	out   chan *pb.FleetMessage
	begun time.Time
	// dialed: this process has made the connection.
	dialed bool
}

// Listen opens the socket for peers.
func Listen(address string, identity *Identity, handler Handler, log zerolog.Logger) (*Mesh, error) {
	m := &Mesh{
		identity: identity,
		handler:  handler,
		log:      log,
		members:  make(map[string]Member),
		links:    make(map[string]*link),
		dialing:  make(map[string]bool),
		changed:  make(chan struct{}, 1),
		quic:     &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout},

		spareAfter: spareAfter,
	}
	l, err := quic.ListenAddr(address, identity.tlsConfig(m.allowed), m.quic)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	m.listener = l
	return m, nil
}

// Address is where the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

func (m *Mesh) allowed(fingerprint string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.byFingerprint(fingerprint)
	return ok
}

func (m *Mesh) byFingerprint(fingerprint string) (Member, bool) {
	for _, p := range m.members {
		if p.Fingerprint == fingerprint {
			return p, true
		}
	}
	return Member{}, false
}

// SetMembers replaces the list of registered processes. Connections with those
// that aren't listed any more are closed.
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
			_ = l.conn.CloseWithError(closeForgot, "not registered")
		}
	}
	select {
	case m.changed <- struct{}{}:
	default:
		// The signal before hasn't been taken yet; it does for this one too.
	}
}

// SetAlone says whether the process reaches no scheduler. Then it connects with
// all others, and not just with the large VMs.
func (m *Mesh) SetAlone(alone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alone = alone
}

// wants reports whether a connection with a process is of use: small VMs don't
// schedule while a large one is there, so they needn't hear each other. In a
// deployment of 6 large and 31 small VMs that saves seven connections in ten.
func (m *Mesh) wants(p Member) bool {
	most := m.self.MilliCPU
	for _, o := range m.members {
		most = max(most, o.MilliCPU)
	}
	// Processes that don't know their VM's processor count as equal. If they
	// didn't connect, each would lead by itself and never be alone.
	return most == 0 || m.alone || 2*m.self.MilliCPU > most || 2*p.MilliCPU > most
}

// Run accepts and dials until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.accept(ctx)
	ticker := time.NewTicker(redialFirst)
	defer ticker.Stop()
	for {
		m.dialMissing(ctx)
		m.closeSpare()
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-ticker.C:
		case <-m.changed:
		}
	}
}

func (m *Mesh) close() {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		_ = l.conn.CloseWithError(closeEnded, "the process ends")
	}
	_ = m.listener.Close()
}

// dialMissing dials the older processes: of a pair, the one that registered
// later knows the other for sure.
func (m *Mesh) dialMissing(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.ID == "" {
		return
	}
	for id, p := range m.members {
		if p.Number > m.self.Number || m.links[id] != nil || m.dialing[id] || !m.wants(p) {
			continue
		}
		m.dialing[id] = true
		go m.dial(ctx, p)
	}
}

// closeSpare closes connections that this process made while it was alone. The
// other side doesn't: it would be dialed again for as long as this one is alone.
func (m *Mesh) closeSpare() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		if p, ok := m.members[id]; ok && l.dialed && !m.wants(p) && time.Since(l.begun) > m.spareAfter {
			_ = l.conn.CloseWithError(closeSpare, "not needed any more")
		}
	}
}

func (m *Mesh) dial(ctx context.Context, p Member) {
	wait := redialFirst
	for {
		conn, stream, err := m.connect(ctx, p)
		if err == nil {
			m.mu.Lock()
			delete(m.dialing, p.ID)
			m.mu.Unlock()
			m.add(&link{id: p.ID, conn: conn, dialed: true}, stream)
			return
		}
		m.log.Debug().Str("peer", p.ID).Err(err).Msg("peer-dial-failed")
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMost)
		if !m.registered(p.ID) {
			m.mu.Lock()
			delete(m.dialing, p.ID)
			m.mu.Unlock()
			return
		}
	}
}

func (m *Mesh) registered(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.members[id]
	return ok
}

// connect dials from a socket of its own; see idleTimeout.
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
		_ = conn.CloseWithError(closeBroken, "no stream")
		return nil, nil, errors.Wrap(err, "open stream")
	}
	// An empty message makes the stream known to the other side.
	if _, err := protodelim.MarshalTo(stream, &pb.FleetMessage{}); err != nil {
		_ = conn.CloseWithError(closeBroken, "no stream")
		return nil, nil, errors.Wrap(err, "greet")
	}
	return conn, stream, nil
}

func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		go m.acceptStream(ctx, conn)
	}
}

func (m *Mesh) acceptStream(ctx context.Context, conn *quic.Conn) {
	streamCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(streamCtx)
	if err != nil {
		_ = conn.CloseWithError(closeBroken, "no stream")
		return
	}
	fingerprint := fingerprintOf(conn.ConnectionState().TLS.PeerCertificates[0].Raw)
	m.mu.Lock()
	p, ok := m.byFingerprint(fingerprint)
	m.mu.Unlock()
	if !ok {
		_ = conn.CloseWithError(closeForgot, "not registered")
		return
	}
	m.add(&link{id: p.ID, conn: conn}, stream)
}

// add takes a connection into use in place of an earlier one with the process.
func (m *Mesh) add(l *link, stream *quic.Stream) {
	l.out = make(chan *pb.FleetMessage, queueLength)
	l.begun = time.Now()
	m.mu.Lock()
	old := m.links[l.id]
	m.links[l.id] = l
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(closeEarlier, "replaced")
	}
	m.log.Info().Str("peer", l.id).Str("address", l.conn.RemoteAddr().String()).Msg("peer-connected")
	m.handler.PeerUp(l.id)
	go m.write(l, stream)
	m.read(l, stream)
}

func (m *Mesh) write(l *link, stream *quic.Stream) {
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-l.conn.Context().Done():
			return
		case msg := <-l.out:
			if _, err := protodelim.MarshalTo(w, msg); err != nil {
				_ = l.conn.CloseWithError(closeBroken, "write")
				return
			}
			if len(l.out) > 0 {
				continue
			}
			if err := w.Flush(); err != nil {
				_ = l.conn.CloseWithError(closeBroken, "write")
				return
			}
		}
	}
}

func (m *Mesh) read(l *link, stream *quic.Stream) {
	r := bufio.NewReader(stream)
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	for {
		msg := &pb.FleetMessage{}
		if err := opts.UnmarshalFrom(r, msg); err != nil {
			m.down(l, err)
			return
		}
		m.handler.PeerMessage(l.id, msg)
	}
}

func (m *Mesh) down(l *link, cause error) {
	_ = l.conn.CloseWithError(closeBroken, "read")
	m.mu.Lock()
	current := m.links[l.id] == l
	if current {
		delete(m.links, l.id)
	}
	m.mu.Unlock()
	if !current {
		return
	}
	var app *quic.ApplicationError
	ended := errors.As(cause, &app) && app.Remote && app.ErrorCode == closeEnded
	m.log.Info().Str("peer", l.id).Bool("ended", ended).AnErr("cause", cause).Msg("peer-disconnected")
	m.handler.PeerDown(l.id, ended, cause)
}

// Send queues a message and reports whether there is a connection. A peer that
// doesn't keep up loses its connection, so nobody waits for it.
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

// Drop closes the connection with a process, if there is one.
func (m *Mesh) Drop(id string) {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l != nil {
		_ = l.conn.CloseWithError(closeBroken, "silent")
	}
}

// Connected lists the processes with a connection.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]string, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	return ids
}
