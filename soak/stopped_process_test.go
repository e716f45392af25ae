package soak

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// Guards against a run that never ends since a process that doesn't run is asked whether it is ready.
func TestAProcessThatDoesntAnswerIsntReady(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	w := &world{health: &http.Client{Timeout: healthTimeout}}
	ready := make(chan bool, 1)
	go func() { ready <- w.isReady(&node{Node: deployment.Node{HealthAddress: l.Addr().String()}}) }()
	g.Eventually(ready, 4*healthTimeout).Should(Receive(BeFalse()))
}
