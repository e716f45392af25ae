package logging

import (
	"bytes"
	"fmt"
	"strings"
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

// recordingWriter is an output whose first write blocks until it is released.
type recordingWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *recordingWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// The process ends while many lines wait for a slow output. Guards against lines that are lost
// without being counted.
func TestLinesDroppedByCloseAreCounted(t *testing.T) {
	g := NewWithT(t)
	out := &recordingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = maxPendingLines / 2
	for range lines {
		_, err := fmt.Fprintln(w, strings.Repeat("x", 200))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Dropped()).To(BeZero())
	close(out.release)
	w.Close()
	_, err := fmt.Fprintln(w, "after the end")
	g.Expect(err).NotTo(HaveOccurred())
	written := strings.Count(out.text.String(), "xxx\n")
	g.Expect(written + int(w.Dropped())).To(Equal(lines + 1))
	if written < lines {
		g.Expect(out.text.String()).To(ContainSubstring(fmt.Sprintf("event=log-lines-dropped total=%d\n", lines-written)))
	}
}
