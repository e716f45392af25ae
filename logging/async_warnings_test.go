package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// The output stalls while a fault makes a process write most lines. Guards against warnings about the fault that are
// dropped since ordinary lines have filled the queue.
func TestWarningsAreKeptWhileOrdinaryLinesAreDropped(t *testing.T) {
	g := NewWithT(t)
	out := &recordingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	log := New(w, zerolog.InfoLevel)
	const kinds = 100
	log.Info().Msg("first")
	g.Eventually(func() int { return len(w.lines) }).Should(BeZero(), "the output is being written to, and stalls")
	for i := range 2 * maxPendingLines {
		log.Info().Int("i", i).Msg("ordinary")
	}
	for i := range kinds {
		log.Warn().Int("i", i).Msg("warning")
		log.Error().Int("i", i).Msg("failure")
		log.Info().Str("text", "x level=warn event=x").Msg("ordinary-late")
	}
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	g.Expect(w.droppedWarnings.Load()).To(BeZero())
	close(out.release)
	g.Eventually(func() int { return len(w.lines) }).Should(BeZero())
	w.Close()
	text := out.text.String()
	g.Expect(strings.Count(text, "event=warning ")).To(Equal(kinds))
	g.Expect(strings.Count(text, "event=failure ")).To(Equal(kinds))
	g.Expect(text).NotTo(ContainSubstring("event=ordinary-late"))
	g.Expect(text).To(ContainSubstring(fmt.Sprintf("event=log-lines-dropped total=%d\n", dropped)))
	var want []string
	for i := range kinds {
		want = append(want, fmt.Sprintf("event=warning i=%d", i), fmt.Sprintf("event=failure i=%d", i))
	}
	g.Expect(warnings(text)).To(Equal(want), "warnings keep their order")
}

// warnings returns the events of the warnings and errors of a log, without the reports of dropped lines.
func warnings(text string) []string {
	var list []string
	for line := range strings.Lines(text) {
		_, event, found := strings.Cut(strings.TrimSpace(line), " event=")
		if found && isWarning([]byte(line)) && !strings.HasPrefix(event, "log-lines-dropped") {
			list = append(list, "event="+event)
		}
	}
	return list
}

// More warnings come than are kept, with an output that has stopped. Guards against writers that wait for it, and
// against warnings that are dropped without being counted as such.
func TestDroppedWarningsAreCounted(t *testing.T) {
	g := NewWithT(t)
	out := &recordingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	log := New(w, zerolog.InfoLevel)
	const lines = 2 * (maxPendingLines + maxPendingWarnings)
	for range lines {
		log.Warn().Msg("warning")
	}
	total := w.Dropped()
	g.Expect(total).To(BeNumerically(">=", lines/4))
	g.Expect(w.droppedWarnings.Load()).To(Equal(total))
	close(out.release)
	g.Eventually(func() int { return len(w.lines) }).Should(BeZero())
	w.Close()
	g.Expect(out.text.String()).To(ContainSubstring(fmt.Sprintf("event=log-lines-dropped total=%d warnings=%d\n", total, total)))
}

// The process ends while many lines wait, the warnings last. Guards against a last batch that is filled by ordinary lines.
func TestCloseWritesWarningsBehindManyLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := &AsyncWriter{out: &out, lines: make(chan []byte, maxPendingLines+maxPendingWarnings), closing: make(chan struct{})}
	log := New(w, zerolog.InfoLevel)
	for range maxPendingLines {
		log.Info().Msg("ordinary")
	}
	for range 10 {
		log.Warn().Msg("warning")
	}
	_, _ = out.Write(w.appendLast(nil))
	g.Expect(warnings(out.String())).To(HaveLen(10))
	g.Expect(strings.Count(out.String(), "\n") + int(w.Dropped())).To(Equal(maxPendingLines + 10))
	g.Expect(out.Len()).To(BeNumerically("<", 64<<10))
}
