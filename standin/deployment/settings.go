package deployment

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Node is the configuration of an entry VM.
type Node struct {
	Name          string
	Domain        string
	CallerAddress string
	HealthAddress string
	PeerPort      int
}

// NewNode returns a node with free ports on the loopback address.
func NewNode(name, domain string) (Node, error) {
	callers, err := freeTCPAddress()
	if err != nil {
		return Node{}, err
	}
	health, err := freeTCPAddress()
	if err != nil {
		return Node{}, err
	}
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return Node{}, errors.Wrap(err, "free port")
	}
	defer c.Close()
	return Node{Name: name, Domain: domain, CallerAddress: callers, HealthAddress: health, PeerPort: c.LocalAddr().(*net.UDPAddr).Port}, nil
}

func freeTCPAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Settings returns the node's settings file.
func (n Node) Settings(store string, graceS float64) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
zone = %q
ip = "127.0.0.1"
portRange = [%d,%d]
unknown = "ignored"

[listen]
front = %q
ready = %q

[bounds]
graceS = %g
holdMaxMs = 1000
stopTimeoutMs = 50
retransmitMs = 1300
remoteFactor = 3

[platform]
address = %q
`, n.Name, n.Domain, n.PeerPort, n.PeerPort, n.CallerAddress, n.HealthAddress, graceS, store)
}

// Declaration returns an operator's configuration with one queue. The queue's latency objective is
// 1.6 times the run time plus targetMs.
func Declaration(version int, host, prefix, queue, service string, targetMs int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": queue, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": targetMs,
			"priority": 0, "service": service, "maxAttempts": 2, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
