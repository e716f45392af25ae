package node

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

// listenTCP opens a listener with a limit of open connections. Further connections
// wait in the system's backlog. Without the limit, a client that leaks connections
// would use up the process's file descriptors, and connections with peers and
// upstreams would fail.
func listenTCP(address string, connections int, tlsConfig *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	l = netutil.LimitListener(l, connections)
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	return l, nil
}
