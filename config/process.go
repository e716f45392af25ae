// Package config reads the settings files: what a process needs to start, and
// what operators declare.
package config

import (
	"net/netip"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/node"
)

// Process is what an entry process needs to start.
type Process struct {
	Node          string      `yaml:"node"`
	FailureDomain string      `yaml:"failure_domain"`
	Listen        Listen      `yaml:"listen"`
	Platform      Platform    `yaml:"platform"`
	PeerTLS       PeerTLS     `yaml:"peer_tls"`
	Operators     Credentials `yaml:"operators"`
	LogLevel      string      `yaml:"log_level"`
}

// Listen holds the addresses to listen on, as IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Platform says where the platform's services are.
type Platform struct {
	URL string `yaml:"url"`
}

// PeerTLS names the PEM files of the peer link.
type PeerTLS struct {
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Credentials names the file that holds a bearer token.
type Credentials struct {
	TokenFile string `yaml:"token_file"`
}

// LoadProcess reads and checks a process settings file.
func LoadProcess(path string) (*Process, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	p := &Process{LogLevel: "info"}
	if err := yaml.UnmarshalWithOptions(raw, p, yaml.Strict()); err != nil {
		return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := p.check(); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return p, nil
}

func (p *Process) check() error {
	if p.Node == "" {
		return errors.New("node: must not be empty")
	}
	if p.FailureDomain == "" {
		return errors.New("failure_domain: must not be empty")
	}
	for field, address := range map[string]string{
		"listen.callers":   p.Listen.Callers,
		"listen.operators": p.Listen.Operators,
		"listen.peers":     p.Listen.Peers,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("%s: %q isn't an IP address with a port", field, address)
		}
	}
	if !strings.HasPrefix(p.Platform.URL, "http://") && !strings.HasPrefix(p.Platform.URL, "https://") {
		return errors.Errorf("platform.url: %q isn't an http or https URL", p.Platform.URL)
	}
	if _, err := zerolog.ParseLevel(p.LogLevel); err != nil {
		return errors.Errorf("log_level: %q isn't a level", p.LogLevel)
	}
	return nil
}

// NodeConfig reads the files that the settings name.
func (p *Process) NodeConfig(log zerolog.Logger) (node.Config, error) {
	ca, err := os.ReadFile(p.PeerTLS.CA)
	if err != nil {
		return node.Config{}, errors.Wrap(err, "peer_tls.ca")
	}
	cert, err := os.ReadFile(p.PeerTLS.Cert)
	if err != nil {
		return node.Config{}, errors.Wrap(err, "peer_tls.cert")
	}
	key, err := os.ReadFile(p.PeerTLS.Key)
	if err != nil {
		return node.Config{}, errors.Wrap(err, "peer_tls.key")
	}
	tlsConfig, err := keys.PeerTLS(ca, keys.Pair{Cert: cert, Key: key})
	if err != nil {
		return node.Config{}, errors.Wrap(err, "peer_tls")
	}
	token, err := os.ReadFile(p.Operators.TokenFile)
	if err != nil {
		return node.Config{}, errors.Wrap(err, "operators.token_file")
	}
	return node.Config{
		Name:            p.Node,
		FailureDomain:   p.FailureDomain,
		CallerAddress:   p.Listen.Callers,
		OperatorAddress: p.Listen.Operators,
		PeerAddress:     p.Listen.Peers,
		PlatformURL:     p.Platform.URL,
		OperatorToken:   strings.TrimSpace(string(token)),
		PeerTLS:         tlsConfig,
		Log:             log,
	}, nil
}
