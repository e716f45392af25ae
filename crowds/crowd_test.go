package crowds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// member is what one client of a crowd does with a connection. It returns when it is done with it; the connection is
// closed when the crowd leaves.
type member func(ctx context.Context, c net.Conn, i int)

// crowd is a number of clients. Each opens a new connection whenever it has lost its last one.
type crowd struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// returnDelay is the time after which a client of a crowd comes back.
const returnDelay = 50 * time.Millisecond

// gather starts a crowd whose clients call addresses in turn.
func gather(clients int, do member, addresses ...string) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for i := range clients {
		c.done.Go(func() {
			for ctx.Err() == nil {
				call(ctx, addresses[i%len(addresses)], do, i)
				pause(ctx, returnDelay)
			}
		})
	}
	return c
}

// leave ends a crowd.
func (c *crowd) leave() {
	c.cancel()
	c.done.Wait()
}

func call(ctx context.Context, address string, do member, i int) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer c.Close()
	do(ctx, c, i)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stay reads until the connection is closed.
func stay(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// sendAndStay sends bytes and then leaves the connection open.
func sendAndStay(text func(i int) string) member {
	return func(_ context.Context, c net.Conn, i int) {
		go func() { _, _ = io.WriteString(c, text(i)) }()
		stay(c)
	}
}

// trickle sends a first part and then a byte a second.
func trickle(text func(i int) string) member {
	return func(ctx context.Context, c net.Conn, i int) {
		go func() {
			_, err := io.WriteString(c, text(i))
			for err == nil && ctx.Err() == nil {
				pause(ctx, time.Second)
				_, err = io.WriteString(c, "x")
			}
		}()
		stay(c)
	}
}

// sendForEver sends a beginning and then the same lines until the connection fails.
func sendForEver(beginning, lines string) member {
	return func(_ context.Context, c net.Conn, _ int) {
		go stay(c)
		_, err := io.WriteString(c, beginning)
		for err == nil {
			_, err = io.WriteString(c, lines)
		}
	}
}

// exchange sends requests one after the other and reads their answers.
func exchange(text func(i int) string) member {
	return func(ctx context.Context, c net.Conn, i int) {
		answers := bufio.NewReader(c)
		for ctx.Err() == nil {
			if !ask(c, answers, text(i)) {
				return
			}
			pause(ctx, returnDelay)
		}
	}
}

// ask sends a request and reads its answer. It reports whether the connection stays open.
func ask(c net.Conn, answers *bufio.Reader, request string) bool {
	if _, err := io.WriteString(c, request); err != nil {
		return false
	}
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && !res.Close
}

// pipeline sends requests without waiting for their answers, which it reads.
func pipeline(text func(i int) string) member {
	return func(ctx context.Context, c net.Conn, i int) {
		go stay(c)
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, text(i)); err != nil {
				return
			}
		}
	}
}

// requestLine begins the head of a submission under a new id.
func requestLine() string { return requestLineOf(newID()) }

func requestLineOf(id string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n", prefix, id, host)
}

// post returns a whole request with a body.
func post(id, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLineOf(id), len(body), body)
}

// shortLines returns header lines of a few bytes with different names, some size bytes in all.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-6; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// chunked returns a body in chunks of a size, with an extension on each.
func chunked(body string, size int, extension string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, body[:n])
		body = body[n:]
	}
	return b.String()
}

// manySteps returns a best-effort job of many steps of one task.
func manySteps(steps int) string {
	step := `{"count":1,"cpu":1000,"memMb":64,"estimateMs":50}`
	return `{"spec":"1ms","bestEffort":true,"steps":[` + strings.Repeat(step+",", steps-1) + step + `]}`
}

// several sends a number of requests and reads their answers, and then leaves the connection open.
func several(count int, text func() string) member {
	return func(_ context.Context, c net.Conn, _ int) {
		answers := bufio.NewReader(c)
		for range count {
			if !ask(c, answers, text()) {
				return
			}
		}
		stay(c)
	}
}

// reset closes a connection in a way that resets it.
func reset(_ context.Context, c net.Conn, _ int) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}
