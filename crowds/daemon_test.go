package crowds

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/client"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/standin"
	"sapphirepoint.example/sapphirepoint/standin/deployment"
	"sapphirepoint.example/sapphirepoint/standin/platform"
	"sapphirepoint.example/sapphirepoint/standin/runner"
)

const (
	// daemonRequest is the largest request, and daemonMemory the memory of all requests in progress.
	daemonRequest = 1 << 20
	daemonMemory  = "24MiB"
	// daemonConnections is the limit of callers' connections.
	daemonConnections = 200
	submitPath        = "/sapphirepoint.v1.CallerService/Submit"
)

// newDaemon starts a sapphirepointd process with a simulated platform and one runner, on a machine of the smallest size.
func newDaemon(t *testing.T) *world {
	t.Helper()
	if !*enabled {
		t.Skip("needs the machine to itself: run with -crowds")
	}
	g := NewWithT(t)
	dir, err := programs()
	g.Expect(err).NotTo(HaveOccurred())
	ports, err := deployment.NewNode("front-1", "a")
	g.Expect(err).NotTo(HaveOccurred())
	p := platform.New()
	platformAddress := serveHere(t, p.Serve)
	runnerAddress := serveHere(t, runner.New(runner.DefaultSlots).Serve)
	peer := fmt.Sprintf("127.0.0.1:%d", ports.PeerPort)
	p.SetMembers([]*platformv1.Member{
		{Name: "front-1", Role: platformv1.Role_ROLE_ENTRY, Address: peer, FailureDomain: "a"},
		{Name: "runner-1", Role: platformv1.Role_ROLE_UPSTREAM, Address: runnerAddress, FailureDomain: "a", Worker: "runner-1", Rack: "a",
			Institution: "hollowell", Slots: runner.DefaultSlots},
	})
	g.Expect(p.PutSettings(standin.Settings())).To(Succeed())
	w := &world{t: t, machine: machine{memoryMB, maxFDs}}
	n := &node{Node: ports, name: "front-1", done: make(chan struct{})}
	path := writeDaemonSettings(t, ports, peer, platformAddress)
	n.cmd = exec.Command(filepath.Join(dir, "sapphirepointd"), "--settings", path)
	w.run(n)
	w.nodes = []*node{n}
	g.Eventually(func() int { return get(n.HealthAddress, "/readyz") }, testTimeout, sampleEvery).Should(Equal(200), "not ready")
	return w
}

// serveHere serves a stand-in on a free port and returns its address.
func serveHere(t *testing.T, serve func(net.Listener) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = serve(l) }()
	return l.Addr().String()
}

func writeDaemonSettings(t *testing.T, ports deployment.Node, peer, platformAddress string) string {
	t.Helper()
	g := NewWithT(t)
	dir := t.TempDir()
	ca, err := keys.NewCA("crowds")
	g.Expect(err).NotTo(HaveOccurred())
	pair, err := keys.NewProcessCertificate(ca, "front-1")
	g.Expect(err).NotTo(HaveOccurred())
	limits := ""
	if *daemonLimits {
		limits = fmt.Sprintf(", request_memory: %s", daemonMemory)
	}
	text := fmt.Sprintf(`node: front-1
failure_domain: a
listen: {callers: "%s", operators: "%s", peers: "%s"}
platform: {url: "http://%s"}
peer_tls: {ca: ca.pem, cert: front-1.pem, key: front-1.key}
operators: {token_file: operator.token}
limits: {max_request: 1MiB, caller_connections: %d, operator_connections: 20%s}
`, ports.CallerAddress, ports.HealthAddress, peer, platformAddress, daemonConnections, limits)
	for name, content := range map[string][]byte{
		"ca.pem": ca.Cert, "front-1.pem": pair.Cert, "front-1.key": pair.Key, "operator.token": []byte("operator"), "process.yaml": []byte(text),
	} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), content, 0o600)).To(Succeed())
	}
	return filepath.Join(dir, "process.yaml")
}

// expectDaemonAnswers checks that an ordinary caller's job is carried out.
func (w *world) expectDaemonAnswers() {
	w.t.Helper()
	var last error
	NewWithT(w.t).Eventually(func() bool {
		c := client.New(client.Config{URLs: []string{"http://" + w.nodes[0].CallerAddress}, Token: standin.Token})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := c.Submit(ctx, &pb.Submission{Service: "labels", Team: "kitchens", Tasks: []*pb.Task{{Payload: []byte("1ms")}}})
		last = cmp.Or(err, fmt.Errorf("answer %v", a))
		return err == nil && a.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE
	}, testTimeout, 200*time.Millisecond).Should(BeTrue(), func() string { return fmt.Sprint("an ordinary job isn't carried out: ", last) })
}

// daemonWithstands has a crowd call a sapphirepointd process.
func daemonWithstands(t *testing.T, clients int, do member, operators bool) {
	t.Helper()
	w := newDaemon(t)
	c := gather(clients, do, w.addresses(operators)...)
	time.Sleep(holdTime)
	w.expectDaemonAnswers()
	c.leave()
	w.expectDaemonAnswers()
	w.expectWithinMachine(w.nodes[0])
	NewWithT(t).Expect(w.nodes[0].peakFDs).To(BeNumerically("<=", daemonConnections+20+fileFDs))
}

func submitHead(authorization string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		submitPath, authorization, size)
}

// Guards against heads of very many lines at sapphirepointd.
func TestDaemonHeadsOverTheLimit(t *testing.T) {
	lines := shortLines(longHead)
	daemonWithstands(t, 60, sendAndStay(fixed(submitHead("none", 100)+lines+"\r\nx")), false)
}

// Guards against the same at the operators' address.
func TestDaemonHeadsAtTheOperatorsAddress(t *testing.T) {
	lines := shortLines(longHead)
	daemonWithstands(t, 60, sendAndStay(fixed(submitHead("none", 100)+lines+"\r\nx")), true)
}

// Guards against callers without a token whose bodies take memory.
func TestDaemonBodiesWithoutAToken(t *testing.T) {
	text := strings.Repeat("x", daemonRequest-1)
	daemonWithstands(t, 190, sendAndStay(fixed(submitHead("none", daemonRequest)+"\r\n"+text)), false)
}

// Guards against callers with a token whose bodies stop just short of their end.
func TestDaemonBodiesShortOfTheirEnd(t *testing.T) {
	text := strings.Repeat("x", daemonRequest-1)
	daemonWithstands(t, 190, sendAndStay(fixed(submitHead(standin.Token, daemonRequest)+"\r\n"+text)), false)
}

// Guards against bodies of empty tasks, which decode into far more than their size.
func TestDaemonBodiesOfEmptyTasks(t *testing.T) {
	s := &pb.Submission{Service: "labels", Team: "kitchens", Id: client.OwnKey("a")}
	for range daemonRequest / 2 / len(mustMarshal(t, &pb.Submission{Tasks: []*pb.Task{{}}})) {
		s.Tasks = append(s.Tasks, &pb.Task{})
	}
	raw := mustMarshal(t, s)
	daemonWithstands(t, 100, exchange(fixed(submitHead(standin.Token, len(raw))+"\r\n"+string(raw))), false)
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	raw, err := proto.Marshal(m)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return raw
}

// Guards against connections on which nothing comes.
func TestDaemonSilentConnections(t *testing.T) {
	daemonWithstands(t, 700, sendAndStay(fixed("")), false)
}

// Guards against the same for heads that don't end.
func TestDaemonUnfinishedHeads(t *testing.T) {
	daemonWithstands(t, 700, trickle(fixed(submitHead("none", 10)+"a: ")), false)
}

// Guards against very many requests with held bodies on each connection of HTTP/2.
func TestDaemonManyStreams(t *testing.T) {
	daemonWithstands(t, 40, holdStreams, false)
}

// holdStreams opens as many streams as the server allows, each with a body that doesn't end.
func holdStreams(ctx context.Context, c net.Conn, _ int) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:   &protocols,
		DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	}
	defer transport.CloseIdleConnections()
	for range 200 {
		body, held := io.Pipe()
		go func() {
			_, _ = held.Write(bytes.Repeat([]byte("x"), 30_000))
			<-ctx.Done()
			_ = held.Close()
		}()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://a"+submitPath, body)
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/proto")
		req.Header.Set("Authorization", "Bearer "+standin.Token)
		go func() {
			res, err := transport.RoundTrip(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		}()
	}
	pause(ctx, holdTime)
}
