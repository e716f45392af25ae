package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

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
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return Node{}, err
		}
	}
	return Node{
		Name: name, Domain: domain, PeerPort: ports[0],
		CallerAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]), HealthAddress: fmt.Sprintf("127.0.0.1:%d", ports[2]),
	}, nil
}

// Ports of nodes are below those that the system gives out for connections and for listeners on port
// 0. Otherwise one of these might take a node's port before its process listens there, or while the
// process is restarted.
const (
	firstNodePort   = 10000
	nodePorts       = 20000
	maxPortAttempts = 100
)

// The ports of a process's nodes follow each other, so that none is given out twice.
var (
	firstPortOffset = rand.Uint32N(nodePorts)
	portCount       atomic.Uint32
)

// freePort returns a port that is free for TCP and UDP.
func freePort() (int, error) {
	var err error
	for range maxPortAttempts {
		port := firstNodePort + int((firstPortOffset+portCount.Add(1))%nodePorts)
		if err = tryPort(fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, nil
		}
	}
	return 0, errors.Wrap(err, "free port")
}

func tryPort(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	return c.Close()
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
		"version":  version,
		"routes":   []map[string]any{Route(queue, host, prefix, service, targetMs)},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Route returns a queue of an operator's configuration.
func Route(queue, host, prefix, service string, targetMs int) map[string]any {
	return map[string]any{
		"name": queue, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": targetMs,
		"priority": 0, "service": service, "maxAttempts": 2, "stretch": 1.6,
	}
}
