package logging

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// The reader of the log stops reading, so writes to the output block. Requests must not wait
// for it: lines are dropped and counted.
func TestLinesAreDroppedWhileTheOutputBlocks(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for i := range 3 * maxPendingLines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", 0))
	}
	g.Expect(w.Dropped()).To(BeNumerically(">", maxPendingLines))
	close(out.release)
	w.Close()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	w.Close()
	var want bytes.Buffer
	for i := range 100 {
		fmt.Fprintf(&want, "%d\n", i)
	}
	g.Expect(out.String()).To(Equal(want.String()))
	g.Expect(w.Dropped()).To(BeZero())
}
