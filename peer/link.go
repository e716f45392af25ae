package peer

import (
	"bufio"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

type link struct {
	id   string
	conn *quic.Conn
	// out queues the messages to be sent.
	out         chan *pb.FleetMessage
	connectedAt time.Time
	// dialed is set if this process dialed.
	dialed bool
}

func (m *Mesh) addLink(l *link, stream *quic.Stream) {
	l.out = make(chan *pb.FleetMessage, sendQueueLength)
	l.connectedAt = time.Now()
	m.mu.Lock()
	old := m.links[l.id]
	m.links[l.id] = l
	m.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseWithError(closeReplaced, "replaced")
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
			if err := m.writeMessage(w, l, msg); err != nil {
				_ = l.conn.CloseWithError(closeFailed, "write")
				return
			}
			if len(l.out) > 0 {
				continue
			}
			if err := w.Flush(); err != nil {
				_ = l.conn.CloseWithError(closeFailed, "write")
				return
			}
		}
	}
}

// writeMessage writes a message, unless the peer would close the connection since it is too long.
func (m *Mesh) writeMessage(w *bufio.Writer, l *link, msg *pb.FleetMessage) error {
	if size := proto.Size(msg); size > maxMessageBytes {
		m.log.Warn().Str("peer", l.id).Int("bytes", size).Int("limit-bytes", maxMessageBytes).Msg("message-too-long")
		return nil
	}
	_, err := protodelim.MarshalTo(w, msg)
	return errors.Wrap(err, "write message")
}

func (m *Mesh) read(l *link, stream *quic.Stream) {
	r := bufio.NewReader(stream)
	for {
		msg, handled, err := m.inbox.read(l.conn.Context(), r)
		if err != nil {
			m.removeLink(l, err)
			return
		}
		m.handler.PeerMessage(l.id, msg, handled)
	}
}

func (m *Mesh) removeLink(l *link, cause error) {
	_ = l.conn.CloseWithError(closeFailed, "read")
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
	stopping := errors.As(cause, &app) && app.Remote && app.ErrorCode == closeStopping
	m.log.Info().Str("peer", l.id).Bool("ended", stopping).AnErr("cause", cause).Msg("peer-disconnected")
	m.handler.PeerDown(l.id, stopping, cause)
}
