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
	// What happens within a second must be told apart.
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// New returns a logger that writes to w from the given level up.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	out := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		TimeFormat:      time.RFC3339Nano,
		FormatTimestamp: pair("time"),
		FormatLevel:     pair("level"),
		FormatMessage:   pair("event"),
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// LibraryWriter is a writer for what libraries log by themselves: their text becomes a
// pair of an event of its own, so that all lines can be searched alike.
func LibraryWriter(log zerolog.Logger) io.Writer { return libraryLog{log} }

type libraryLog struct{ log zerolog.Logger }

func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Warn().Str("text", strings.TrimSpace(string(line))).Msg("library-log")
	return len(line), nil
}

func pair(key string) zerolog.Formatter {
	return func(v any) string {
		return fmt.Sprintf("%s=%v", key, v)
	}
}
