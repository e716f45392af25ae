package logging

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// An error's text or a caller's key contains a line break. If it were written unquoted, it would
// look like a second event to a search by line.
func TestEachEventIsOneLineOfPairs(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := New(&out, zerolog.InfoLevel).With().Str("incarnation", "n/01").Logger()
	log.Info().Str("submission", "hollowell/o/a\nlevel=error").Err(errors.New("two\nlines")).Int("tasks", 3).Msg("job-ended")
	log.Debug().Msg("below-the-level")
	g.Expect(out.String()).To(gomega.MatchRegexp(`^time=\S+ level=info event=job-ended [^\n]*\n$`))
	for _, pair := range []string{"incarnation=n/01", `submission="hollowell/o/a\nlevel=error"`, `error="two\nlines"`, "tasks=3"} {
		g.Expect(out.String()).To(gomega.ContainSubstring(pair))
	}
}

// A library writes to the standard log. Its text becomes one line of pairs too.
func TestLibraryWriterWritesLinesOfPairs(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	n, err := LibraryWriter(New(&out, zerolog.InfoLevel)).Write([]byte("buffer is small\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.Equal(16))
	g.Expect(out.String()).To(gomega.MatchRegexp(`^time=\S+ level=warn event=library-log text="buffer is small"\n$`))
}
