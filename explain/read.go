package explain

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a log, split into keys and values.
type Line struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Text is the whole line as it is in the log.
	Text string `json:"text"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. Lines that aren't key=value pairs with a time are skipped:
// libraries write a few such lines when a process starts.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if l, ok := parse(scan.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scan.Err(), "read log")
}

// parse splits a line into its pairs; it returns false if the line has no valid time.
func parse(text string) (Line, bool) {
	l := Line{Fields: make(map[string]string), Text: text}
	for rest := text; rest != ""; {
		var key, value string
		key, value, rest = nextPair(rest)
		if key != "" {
			l.Fields[key] = value
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	if err != nil {
		return l, false
	}
	l.Time, l.Event = at, l.Fields["event"]
	return l, true
}

// nextPair cuts a key=value or key="value" pair off the front of a text.
func nextPair(s string) (key, value, rest string) {
	s = strings.TrimLeft(s, " ")
	word, after, _ := strings.Cut(s, " ")
	key, value, found := strings.Cut(word, "=")
	if !found {
		return "", "", after
	}
	if !strings.HasPrefix(value, `"`) {
		return key, value, after
	}
	value, rest = unquotePrefix(s[len(key)+1:])
	return key, value, rest
}

// unquotePrefix cuts a quoted value off the front of a text and resolves its escapes. A value without
// an end, as in a line that was cut off, goes to the end of the text.
func unquotePrefix(s string) (value, rest string) {
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return s[1:], ""
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		return quoted[1 : len(quoted)-1], s[len(quoted):]
	}
	return value, s[len(quoted):]
}
