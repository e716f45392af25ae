package crowds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// expectServed sends one request on a connection of its own and checks that its job completes.
func (w *world) expectServed(request string) {
	w.t.Helper()
	g := NewWithT(w.t)
	c, err := net.Dial("tcp", w.nodes[0].CallerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	go func() { _, _ = io.WriteString(c, request) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fmt.Sprintf("%d %s", res.StatusCode, raw)).To(Equal(`200 {"state":"completed"}`))
}

// Guards against limits that refuse single requests of legal size on the smallest machine.
func TestLegalRequestsInCalm(t *testing.T) {
	w := newWorld(t, smallest, 1)
	w.expectOrdinaryAnswers()
	const deadline = "Deadline-Ms: 50000\r\n"
	small := job("1ms", 1)
	largeBody := strings.TrimSuffix(job("1ms", 1), "}") + strings.Repeat(" ", bodyBytes-len(small)) + "}"
	cases := map[string]string{
		"a head of short lines":  headOf(headBytes, deadline+fmt.Sprintf("Content-Length: %d\r\n", len(small)), shortLines) + small,
		"a head of one line":     headOf(headBytes, deadline+fmt.Sprintf("Content-Length: %d\r\n", len(small)), longLine) + small,
		"a large body":           requestLine() + deadline + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largeBody)) + largeBody,
		"a body in small pieces": requestLine() + deadline + "Transfer-Encoding: chunked\r\n\r\n" + chunked(largeBody, 1, "") + "0\r\n\r\n",
		"a wide job":             requestLine() + deadline + content(job("1ms", 980)),
		"many steps":             requestLine() + deadline + content(manySteps(largestJob)),
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			inner := *w
			inner.t = t
			inner.expectServed(request)
		})
	}
	w.expectWithinMachine(w.nodes[0])
}

func content(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// headOf returns a head of exactly size bytes, filled with lines.
func headOf(size int, lines string, fill func(int) string) string {
	begin := requestLine() + lines
	rest := size - len(begin) - len("\r\n")
	filling := fill(rest)
	padding := rest - len(filling)
	if padding >= len("z:\r\n") {
		filling += "z:" + strings.Repeat("x", padding-len("z:\r\n")) + "\r\n"
	} else if padding > 0 {
		filling = strings.TrimSuffix(filling, "\r\n") + strings.Repeat("x", padding) + "\r\n"
	}
	return begin + filling + "\r\n"
}

// longLine returns one header line of size bytes.
func longLine(size int) string { return "a: " + strings.Repeat("x", size-len("a: \r\n")) + "\r\n" }
