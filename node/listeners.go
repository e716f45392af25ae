package node

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	core "sapphirepoint.example/sapphirepoint/core/intake"
	"sapphirepoint.example/sapphirepoint/intake"
)

const (
	// headTimeout bounds the time for a TLS handshake and the head of a request, idleTimeout that without a request.
	headTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
	// minReceiveTime is how long a caller has at least for sending its first request, if all places are taken.
	minReceiveTime = 100 * time.Millisecond
	// maxHeadBytes bounds the head of a request, which has a token at most.
	maxHeadBytes = 16 << 10
	// maxStreams bounds the requests at the same time on a connection of HTTP/2. connectionBuffer and streamBuffer are
	// the bytes received and not read of a connection and of a stream.
	maxStreams       = 1000
	connectionBuffer = 512 << 10
	streamBuffer     = 128 << 10
)

// listener accepts connections, with TLS if that is configured.
type listener struct {
	net.Listener
	intake *intake.Listener
}

// listenTCP opens a listener with a limit of open connections. At the limit, the connection that has been sending its
// first request for the longest is closed; if there is none, further ones wait in the system's backlog. Without the
// limit, a client that leaks connections would use up the process's file descriptors, and connections with peers and
// upstreams would fail.
func (n *Node) listenTCP(name, address string, connections int, tlsConfig *tls.Config) (*listener, error) {
	l, err := intake.Listen(address, intake.Config{
		Name: name,
		Limits: core.Limits{
			Connections: connections, Bytes: int64(connections), ConnectionBytes: 1, MinReceiveTime: minReceiveTime, KeepIdle: true,
		},
		Timeouts: func() core.Timeouts { return core.Timeouts{Head: headTimeout, Idle: idleTimeout} },
		Log:      n.log,
		Metrics:  n.metrics.intake,
	})
	if err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	if tlsConfig == nil {
		return &listener{Listener: l, intake: l}, nil
	}
	return &listener{Listener: tls.NewListener(l, tlsConfig), intake: l}, nil
}

// newServer returns a server for HTTP/1 and HTTP/2, also HTTP/2 without TLS. Pings detect
// dead HTTP/2 connections.
func (l *listener) newServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler:           occupying(h),
		Protocols:         &p,
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,

			MaxReceiveBufferPerConnection: connectionBuffer,
			MaxReceiveBufferPerStream:     streamBuffer,

			SendPingTimeout: 5 * time.Second,
			PingTimeout:     5 * time.Second,
		},
	}
	l.intake.Follow(s)
	return s
}

// occupying returns a handler whose requests keep their connections.
func occupying(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		intake.Occupy(r.Context())
		h.ServeHTTP(w, r)
	})
}
