package node_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/node"
	"sapphirepoint.example/sapphirepoint/standin"
	"sapphirepoint.example/sapphirepoint/standin/platform"
)

const (
	testTimeout   = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	loopback      = "127.0.0.1:0"
	kandyToken    = "kandy-caller"
	operatorToken = "node-test-operator"
)

// settings declares two institutions with the same service names.
func settings() *pb.Settings {
	s := standin.Settings()
	kandy := proto.Clone(s.GetInstitutions()[0]).(*pb.Institution)
	sum := sha256.Sum256([]byte(kandyToken))
	kandy.Name = "kandy"
	kandy.TokenSha256 = []string{hex.EncodeToString(sum[:])}
	kandy.CertificateNames = []string{"kandy-buyers"}
	kandy.CapacityPercent = 0
	s.Institutions = append(s.Institutions, kandy)
	return s
}

// startNode runs a node with a stand-in platform until the test ends.
func startNode(t *testing.T, configure func(*node.Config)) (*gomega.WithT, context.Context, *node.Node, keys.Pair) {
	t.Helper()
	g := gomega.NewWithT(t)
	p := platform.New()
	p.SetMembers(nil)
	g.Expect(p.PutSettings(settings())).To(gomega.Succeed())
	l, err := net.Listen("tcp", loopback)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = p.Serve(l) }()
	ca, err := keys.NewCA("test")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pair, err := keys.NewProcessCertificate(ca, "n", net.IPv4(127, 0, 0, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	peerTLS, err := keys.PeerTLS(ca.Cert, pair)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cfg := node.Config{
		Name: "n", FailureDomain: "d", CallerAddress: loopback, OperatorAddress: loopback, PeerAddress: loopback,
		PlatformURL: "http://" + l.Addr().String(), OperatorToken: operatorToken, PeerTLS: peerTLS, PollInterval: pollInterval,
	}
	cfg.CallerTLS, err = keys.ServerTLS(pair, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	configure(&cfg)
	n, err := node.New(cfg)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = l.Close()
	})
	g.Eventually(func() bool { return n.Ready(0) }, testTimeout, pollInterval).Should(gomega.BeTrue())
	return g, ctx, n, ca
}

func trustCA(ca keys.Pair) *tls.Config {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.Cert)
	return &tls.Config{RootCAs: pool}
}

func job(payload string) *pb.Submission {
	return &pb.Submission{Service: "labels", Team: "kitchens", TimeoutMs: 100, Tasks: []*pb.Task{{Payload: []byte(payload)}}}
}

// On a plain connection, anyone on the network between a kitchen and the entry VM
// can read the token. With a certificate configured, the listener accepts TLS only.
func TestCallerListenerRequiresTLSWhenConfigured(t *testing.T) {
	g, ctx, n, ca := startNode(t, func(*node.Config) {})
	c := client.New(client.Config{URL: "https://" + n.CallerAddress(), Token: standin.Token, TLS: trustCA(ca)})
	defer c.Close()
	_, err := c.NewID(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	res, err := http.Get("http://" + n.CallerAddress() + "/healthz")
	if err == nil {
		defer res.Body.Close()
		g.Expect(res.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	}
	stranger := client.New(client.Config{URL: "https://" + n.CallerAddress(), Token: standin.Token})
	defer stranger.Close()
	_, err = stranger.Submit(ctx, job("a"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("certificate")))
}

// Callers choose own keys freely. A line break in a key would forge a log line, and
// a very long key would make its row in the table service too large.
func TestInvalidOwnKeysAreRejected(t *testing.T) {
	g, ctx, n, _ := startNode(t, withoutTLS)
	c := client.New(client.Config{URL: "http://" + n.CallerAddress(), Token: standin.Token})
	defer c.Close()
	for _, key := range []string{"tray 4", "tray\nlevel=error", "tray-\u00e9", strings.Repeat("k", 257)} {
		s := job("a")
		s.Id = client.OwnKey(key)
		_, err := c.Submit(ctx, s)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("id.own_key: must be 1 to 256 printable")))
	}
	_, err := c.Cancel(ctx, client.OwnKey("tray 4"))
	g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeInvalidArgument))
	_, err = c.Submit(ctx, &pb.Submission{Id: &pb.SubmissionId{}, Service: "labels"})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("an issued id or an own key is needed")))
}

// An institution's callers authenticate by client certificate instead of a token.
// Certificates of the callers' authority with a declared name must be accepted; those
// of the peer link's authority, which every entry VM has, must be rejected.
func TestCallersMayAuthenticateByCertificate(t *testing.T) {
	callers, err := keys.NewCA("callers")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	server, err := keys.NewProcessCertificate(callers, "n", net.IPv4(127, 0, 0, 1))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	g, ctx, n, ca := startNode(t, func(cfg *node.Config) {
		cfg.CallerTLS, err = keys.ServerTLS(server, callers.Cert)
	})
	obtainID := func(authority keys.Pair, name string) error {
		pair, err := keys.NewCallerCertificate(authority, name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		cfg := trustCA(callers)
		// Sent even if the server names other authorities.
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }
		c := client.New(client.Config{URL: "https://" + n.CallerAddress(), TLS: cfg})
		defer c.Close()
		_, err = c.NewID(ctx)
		return err
	}
	g.Expect(obtainID(callers, "kandy-buyers")).To(gomega.Succeed())
	g.Expect(obtainID(callers, "n")).To(gomega.MatchError(gomega.ContainSubstring("the certificate's name isn't known")))
	g.Expect(obtainID(ca, "kandy-buyers")).NotTo(gomega.Succeed())
	g.Expect(client.New(client.Config{URL: "https://" + n.CallerAddress(), TLS: trustCA(callers)}).NewID(ctx)).Error().To(gomega.MatchError(gomega.ContainSubstring("a bearer token or a client certificate is needed")))
}

func withoutTLS(cfg *node.Config) { cfg.CallerTLS = nil }

// dump returns a node's dump as text.
func dump(g *gomega.WithT, n *node.Node) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.OperatorAddress()+"/dump", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(raw)
}

// A caller of one institution knows or guesses the id of another institution's job.
// Under its own token the id must not refer to that job: no answer, no cancellation.
func TestInstitutionSeesOnlyItsOwnJobs(t *testing.T) {
	g, ctx, n, _ := startNode(t, withoutTLS)
	url := "http://" + n.CallerAddress()
	hollowell := client.New(client.Config{URL: url, Token: standin.Token})
	kandy := client.New(client.Config{URL: url, Token: kandyToken})
	defer hollowell.Close()
	defer kandy.Close()
	key := client.OwnKey("tray-4")
	submit := func(c *client.Client, payload string) chan *pb.Answer {
		answers := make(chan *pb.Answer, 1)
		s := job(payload)
		s.Id = key
		s.TimeoutMs = uint32(testTimeout.Milliseconds())
		go func() {
			a, _ := c.Submit(ctx, s)
			answers <- a
		}()
		return answers
	}
	inProgress := func() string { return dump(g, n) }
	first := submit(hollowell, "a")
	g.Eventually(inProgress, testTimeout, pollInterval).Should(gomega.ContainSubstring("hollowell/o/tray-4"))
	second := submit(kandy, "b")
	g.Eventually(inProgress, testTimeout, pollInterval).Should(gomega.ContainSubstring("kandy/o/tray-4"), "another payload would conflict within one institution")
	cancelled, err := kandy.Cancel(ctx, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(cancelled.GetOutcome()).To(gomega.Equal(pb.Outcome_OUTCOME_NOT_RUN))
	g.Eventually(second, testTimeout).Should(gomega.Receive())
	g.Expect(inProgress()).To(gomega.And(gomega.ContainSubstring("hollowell/o/tray-4"), gomega.Not(gomega.ContainSubstring("kandy/o/tray-4"))))
	_, err = hollowell.Cancel(ctx, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(first, testTimeout).Should(gomega.Receive())
	_, err = client.New(client.Config{URL: url, Token: "nobody's"}).NewID(ctx)
	g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeUnauthenticated))
}

// Operators' calls have a listener and a token of their own: a caller that could
// drain a process or replace the settings would stop the jobs of all institutions.
func TestOperatorCallsNeedTheirOwnListenerAndToken(t *testing.T) {
	g, _, n, _ := startNode(t, withoutTLS)
	status := func(address, path, token string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if token != "" {
			req.Header.Set("Authorization", "Bearer "+token)
		}
		res, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer res.Body.Close()
		return res.StatusCode
	}
	g.Expect(status(n.OperatorAddress(), "/dump", operatorToken)).To(gomega.Equal(http.StatusOK))
	g.Expect(status(n.OperatorAddress(), "/dump", "")).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(status(n.OperatorAddress(), "/dump", standin.Token)).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(status(n.CallerAddress(), "/dump", operatorToken)).To(gomega.Equal(http.StatusNotFound))
	g.Expect(status(n.CallerAddress(), "/metrics", "")).To(gomega.Equal(http.StatusNotFound))
}

// A caller sends a request far above the configured limit. It gets a permanent error,
// and the process doesn't read the request into memory.
func TestRequestOverTheLimitIsRejected(t *testing.T) {
	g, ctx, n, _ := startNode(t, func(cfg *node.Config) {
		withoutTLS(cfg)
		cfg.MaxRequestBytes = 1 << 12
	})
	c := client.New(client.Config{URL: "http://" + n.CallerAddress(), Token: standin.Token})
	defer c.Close()
	_, err := c.Submit(ctx, job(string(make([]byte, 1<<13))))
	g.Expect(connect.CodeOf(err)).To(gomega.Equal(connect.CodeResourceExhausted))
}

// A caller leaks connections. Above the limit a new connection isn't served until
// another one closes; without the limit the process would run out of file
// descriptors and could no longer connect to peers and upstreams.
func TestOpenConnectionsAreBounded(t *testing.T) {
	g, _, n, _ := startNode(t, func(cfg *node.Config) {
		withoutTLS(cfg)
		cfg.MaxCallerConnections = 2
	})
	get := func(conn net.Conn, wait time.Duration) error {
		_ = conn.SetDeadline(time.Now().Add(wait))
		if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", n.CallerAddress())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		conns = append(conns, conn)
	}
	g.Expect(get(conns[0], testTimeout)).To(gomega.Succeed())
	g.Expect(get(conns[1], testTimeout)).To(gomega.Succeed())
	g.Expect(get(conns[2], 100*time.Millisecond)).NotTo(gomega.Succeed())
	g.Expect(conns[0].Close()).To(gomega.Succeed())
	g.Expect(get(conns[2], testTimeout)).To(gomega.Succeed())
}
