package node

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

// listenTCP binds a listener that keeps at most the given number of open
// connections. Further connections wait in the system's backlog: without the
// limit, a client that leaks connections would use up the process's file
// descriptors, and peers and upstreams couldn't be reached any more.
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
