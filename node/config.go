package node

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"
)

// Limits of what a process accepts from outside.
const (
	// DefaultMaxRequestBytes is the largest request of a caller, in bytes.
	DefaultMaxRequestBytes = 32 << 20
	// maxPeerMessageBytes leaves room for a forwarded request's envelope.
	maxPeerMessageBytes = DefaultMaxRequestBytes + 1<<16
	maxIDsPerBlock      = 4096
)

// Config is what a node needs to start. Files are read by the daemon; the
// node gets their content.
type Config struct {
	Name          string
	FailureDomain string
	// Addresses to listen on, as IP and port.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// OperatorToken is the bearer token of operators; never logged.
	OperatorToken string
	PeerTLS       *tls.Config
	// PollInterval is how often settings and members are read.
	PollInterval time.Duration
	Log          zerolog.Logger
}

const defaultPollInterval = time.Second
