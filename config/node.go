package config

import (
	"crypto/tls"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/node"
)

// NodeConfig converts the settings to the configuration of a node and reads the files that
// they name.
func (p *Process) NodeConfig(log zerolog.Logger) (node.Config, error) {
	peerTLS, err := p.PeerTLS.load()
	if err != nil {
		return node.Config{}, errors.Wrap(err, "peer_tls")
	}
	callerTLS, err := p.CallerTLS.load()
	if err != nil {
		return node.Config{}, errors.Wrap(err, "caller_tls")
	}
	operatorTLS, err := p.OperatorTLS.load()
	if err != nil {
		return node.Config{}, errors.Wrap(err, "operator_tls")
	}
	token, err := p.Operators.operatorToken()
	if err != nil {
		return node.Config{}, err
	}
	return node.Config{
		Name:                   p.Node,
		FailureDomain:          p.FailureDomain,
		CallerAddress:          p.Listen.Callers,
		OperatorAddress:        p.Listen.Operators,
		PeerAddress:            p.Listen.Peers,
		PlatformURL:            p.Platform.URL,
		OperatorToken:          token,
		PeerTLS:                peerTLS,
		CallerTLS:              callerTLS,
		OperatorTLS:            operatorTLS,
		MaxRequestBytes:        p.Limits.maxRequestBytes(),
		RequestMemory:          p.Limits.requestMemory(),
		MaxCallerConnections:   p.Limits.CallerConnections,
		MaxOperatorConnections: p.Limits.OperatorConnections,
		Log:                    log,
	}, nil
}

func (t PeerTLS) load() (*tls.Config, error) {
	ca, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Wrap(err, "ca")
	}
	pair, err := readPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	return keys.PeerTLS(ca, pair)
}

// readPair reads the PEM files of a certificate and its key.
func readPair(certFile, keyFile string) (keys.Pair, error) {
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return keys.Pair{}, errors.Wrap(err, "cert")
	}
	key, err := os.ReadFile(keyFile)
	return keys.Pair{Cert: cert, Key: key}, errors.Wrap(err, "key")
}

func (t CallerTLS) load() (*tls.Config, error) {
	var clientCA []byte
	if t.ClientCA != "" {
		var err error
		if clientCA, err = os.ReadFile(t.ClientCA); err != nil {
			return nil, errors.Wrap(err, "client_ca")
		}
	}
	return ServerTLS{t.Cert, t.Key}.loadWithClientCA(clientCA)
}

func (t ServerTLS) load() (*tls.Config, error) {
	return t.loadWithClientCA(nil)
}

// loadWithClientCA returns the TLS configuration of a listener, or nil if the section is left out
// of the settings. If clientCA isn't nil, certificates that clients present are verified with it.
func (t ServerTLS) loadWithClientCA(clientCA []byte) (*tls.Config, error) {
	if t.Cert == "" {
		return nil, nil
	}
	pair, err := readPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	return keys.ServerTLS(pair, clientCA)
}
