package logging

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// stuck is an output whose reader has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Whoever reads the log stops reading. Requests must not wait for it: lines are
// dropped and counted.
func TestNobodyReads(t *testing.T) {
	g := NewWithT(t)
	out := stuck{release: make(chan struct{})}
	q := NewAsyncWriter(out)
	for i := range 3 * queueLines {
		n, err := fmt.Fprintf(q, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", 0))
	}
	g.Expect(q.Dropped()).To(BeNumerically(">", queueLines))
	close(out.release)
	q.Close()
}

func TestLinesInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	q := NewAsyncWriter(&out)
	for i := range 100 {
		_, err := fmt.Fprintf(q, "%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	q.Close()
	var want bytes.Buffer
	for i := range 100 {
		fmt.Fprintf(&want, "%d\n", i)
	}
	g.Expect(out.String()).To(Equal(want.String()))
	g.Expect(q.Dropped()).To(BeZero())
}
