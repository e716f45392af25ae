// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

func init() {
	// Events within a second must be distinguishable by their times.
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// New returns a logger that writes events of at least the given level to w.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	out := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		TimeFormat:      time.RFC3339Nano,
		FormatTimestamp: pairFormatter("time"),
		FormatLevel:     pairFormatter("level"),
		FormatMessage:   pairFormatter("event"),
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// LibraryWriter returns a writer for the standard log, which libraries write to. Each line
// becomes a library-log event, so that all lines of the log have the same form.
func LibraryWriter(log zerolog.Logger) io.Writer { return libraryWriter{log} }

type libraryWriter struct{ log zerolog.Logger }

// maxLibraryText bounds the text of a library-log event in bytes: a library may write a stack, or what a caller has sent.
const maxLibraryText = 2000

func (l libraryWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryText)]))
	l.log.Warn().Str("text", text).Msg("library-log")
	return len(line), nil
}

// pairFormatter formats a value as key=value.
func pairFormatter(key string) zerolog.Formatter {
	return func(v any) string {
		return fmt.Sprintf("%s=%v", key, v)
	}
}
