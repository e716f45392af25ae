package node

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"
)

// Limits of requests and connections.
const (
	// DefaultMaxRequestBytes is the default limit of the size of a request.
	DefaultMaxRequestBytes = 32 << 20
	// maxPeerMessageBytes leaves room for the envelope of a forwarded request.
	maxPeerMessageBytes = DefaultMaxRequestBytes + 1<<16
	maxIDsPerBlock      = 4096
	maxOwnKeyBytes      = 256
	// DefaultMaxCallerConnections and DefaultMaxOperatorConnections are the
	// default limits of open connections of each listener.
	DefaultMaxCallerConnections   = 4096
	DefaultMaxOperatorConnections = 64
)

// Config is the configuration of a node. It holds the content of files, not
// their paths.
type Config struct {
	Name          string
	FailureDomain string
	// The addresses to listen on, as IP and port.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// OperatorToken is the bearer token of operators; never logged.
	OperatorToken string
	PeerTLS       *tls.Config
	// CallerTLS and OperatorTLS may be nil for plain connections.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// MaxRequestBytes is the limit of the size of a request of a caller or operator.
	// 0 means DefaultMaxRequestBytes, which must not be exceeded.
	MaxRequestBytes int
	// RequestMemory bounds the memory in bytes that callers' requests in progress take; 0 means DefaultRequestMemory.
	RequestMemory int64
	// MaxCallerConnections and MaxOperatorConnections bound the open connections of
	// each listener; 0 means the default.
	MaxCallerConnections   int
	MaxOperatorConnections int
	// PollInterval is the interval at which settings and members are read.
	PollInterval time.Duration
	Log          zerolog.Logger
}

const defaultPollInterval = time.Second

// withDefaults sets the fields that are zero to their defaults.
func (c Config) withDefaults() Config {
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.MaxRequestBytes == 0 {
		c.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if c.RequestMemory == 0 {
		c.RequestMemory = DefaultRequestMemory
	}
	if c.MaxCallerConnections == 0 {
		c.MaxCallerConnections = DefaultMaxCallerConnections
	}
	if c.MaxOperatorConnections == 0 {
		c.MaxOperatorConnections = DefaultMaxOperatorConnections
	}
	return c
}
