package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/core/intake"
)

// testTimeout bounds conditions that take a moment on a busy machine.
const testTimeout = 30 * time.Second

// limits are those of a listener under test, which a test may change while it serves.
type limits struct {
	head     atomic.Int64
	timeouts atomic.Pointer[intake.Timeouts]
}

// serveEcho starts a listener whose handler answers with the length of the body.
func serveEcho(t *testing.T, most intake.Limits) (string, *limits) {
	t.Helper()
	l := &limits{}
	l.head.Store(16 << 10)
	l.timeouts.Store(&intake.Timeouts{Head: time.Hour, Body: time.Hour, Idle: time.Hour})
	listener, err := Listen("127.0.0.1:0", Config{
		Name: "test", Limits: most, Log: zerolog.Nop(), Metrics: NewMetrics(), Headers: []string{"Kept"},
		Timeouts:  func() intake.Timeouts { return *l.timeouts.Load() },
		HeadBytes: func() int { return int(l.head.Load()) },
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		done <- listener.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			raw, err := ReadBody(w, r, 1<<20)
			if err != nil || !Serve(r.Context(), 0) {
				w.WriteHeader(http.StatusGatewayTimeout)
				return
			}
			_, _ = fmt.Fprintf(w, "%d %v", len(raw), r.Header)
		}))
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		NewWithT(t).Expect(listener.Shutdown(ctx)).NotTo(HaveOccurred())
		NewWithT(t).Expect(<-done).NotTo(HaveOccurred())
	})
	return listener.Addr().String(), l
}

var roomy = intake.Limits{Connections: 100, Bytes: 100 << 20, ConnectionBytes: 1}

// client is one connection.
type client struct {
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	NewWithT(t).Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return &client{c, bufio.NewReader(c)}
}

// exchange sends a text and returns the status and the body of the answer; 0 if the connection is closed.
func (c *client) exchange(text string) (int, string) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err.Error()
	}
	res, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(raw)
}

func post(body, headers string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

// Guards against requests whose bodies or headers don't arrive whole, one after the other on a connection.
func TestRequests(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveEcho(t, roomy)
	c := dial(t, address)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		status, answer := c.exchange(post(strings.Repeat("x", size), "Kept: yes\r\nDropped: no\r\n"))
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(answer).To(Equal(fmt.Sprintf("%d map[Kept:[yes]]", size)))
	}
}

// Guards against requests that are sent before the answers to earlier ones, parts of which are read with those.
func TestPipelinedRequests(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveEcho(t, roomy)
	c := dial(t, address)
	go func() { _, _ = io.WriteString(c, strings.Repeat(post(strings.Repeat("x", 1500), ""), 50)) }()
	for range 50 {
		status, answer := c.exchange("")
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(answer).To(HavePrefix("1500 "))
	}
}

// Guards against a limit on heads that applies only from the next start on, or to new connections.
func TestTheLimitOnHeadsChanges(t *testing.T) {
	g := NewWithT(t)
	address, l := serveEcho(t, roomy)
	long := post("", "Long: "+strings.Repeat("x", 12_000)+"\r\n")
	c, other := dial(t, address), dial(t, address)
	for _, one := range []*client{c, other} {
		status, _ := one.exchange(long)
		g.Expect(status).To(Equal(http.StatusOK))
	}
	l.head.Store(4 << 10)
	status, _ := c.exchange(long)
	g.Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	l.head.Store(32 << 10)
	status, _ = other.exchange(post("", "Long: "+strings.Repeat("x", 30_000)+"\r\n"))
	g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against timeouts that apply only to connections that are opened after a change.
func TestTheTimeoutsChange(t *testing.T) {
	for name, begin := range map[string]func(*client){
		"head": func(c *client) { _, _ = io.WriteString(c, "POST /a HT") },
		"body": func(c *client) { _, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx") },
		"idle": func(c *client) { c.exchange(post("", "")) },
	} {
		t.Run(name, func(t *testing.T) {
			address, l := serveEcho(t, roomy)
			c := dial(t, address)
			begin(c)
			short := *l.timeouts.Load()
			switch name {
			case "head":
				short.Head = time.Millisecond
			case "body":
				short.Body = time.Millisecond
			case "idle":
				short.Idle = time.Millisecond
			}
			l.timeouts.Store(&short)
			_, err := c.Read(make([]byte, 1))
			NewWithT(t).Expect(err).To(HaveOccurred())
			NewWithT(t).Expect(err).NotTo(MatchError(ContainSubstring("timeout")), "the connection wasn't closed")
		})
	}
}

// Guards against a caller that finds no place since others have taken them all and send nothing.
func TestSilentConnectionsGiveWay(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveEcho(t, intake.Limits{Connections: 3, Bytes: 1 << 20, ConnectionBytes: 1, MinReceiveTime: 10 * time.Millisecond})
	for range 10 {
		dial(t, address)
	}
	status, _ := dial(t, address).exchange(post("x", ""))
	g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against memory for unfinished bodies beyond the limit.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveEcho(t, intake.Limits{Connections: 100, Bytes: 1 << 20, ConnectionBytes: 1})
	for range 20 {
		c := dial(t, address)
		go func() {
			_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 150_000))
		}()
	}
	g.Eventually(func() int {
		status, _ := dial(t, address).exchange(post(strings.Repeat("x", 1000), ""))
		return status
	}, testTimeout, 10*time.Millisecond).Should(Equal(http.StatusOK))
}
