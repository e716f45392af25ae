// Package explain finds out from the logs of entry processes what became of a
// job.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is a line of a log: pairs of keys and values.
type Line struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// Text is the line as it was written.
	Text string `json:"text"`
}

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Read reads the lines of a log. What isn't a line of pairs with a time is left
// out: libraries write a few of those at start.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := parse(scan.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scan.Err(), "read log")
}

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

// nextPair takes a key=value or key="value" off the front of a text.
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
	quoted := s[len(key)+2:]
	value, rest, _ = strings.Cut(quoted, `"`)
	return key, value, rest
}

// Report is what became of a job.
type Report struct {
	Job     string   `json:"job"`
	Lines   []Line   `json:"lines"`
	Summary []string `json:"summary"`
}

// around is how long before a job's first line changes of the system may have
// to do with it: callers send a job again up to 2.7 s after they sent it first.
const around = 3 * time.Second

// systemEvents are those that touch all jobs of the time.
var systemEvents = map[string]bool{
	"leader-changed": true, "peer-lost": true, "process-started": true, "process-stopping": true, "process-ended": true,
	"process-stalled": true, "configuration-in-force": true, "dependency-lost": true, "dependency-regained": true,
}

// Job collects the lines that touched a job, and sums them up.
func Job(id string, lines []Line) Report {
	r := Report{Job: id}
	own, runners := ownLines(id, lines)
	if len(own) == 0 {
		r.Summary = []string{"no line names the job: it never reached an entry process whose log is here"}
		return r
	}
	first, last := own[0].Time, own[len(own)-1].Time
	r.Lines = own
	for _, l := range lines {
		if l.Fields["job"] == id || l.Time.Before(first.Add(-around)) || l.Time.After(last) {
			continue
		}
		if systemEvents[l.Event] || l.Event == "runner-lost" && runners[l.Fields["runner"]] {
			r.Lines = append(r.Lines, l)
		}
	}
	sort.SliceStable(r.Lines, func(i, j int) bool { return r.Lines[i].Time.Before(r.Lines[j].Time) })
	r.Summary = summary(r.Lines)
	return r
}

func ownLines(id string, lines []Line) (own []Line, runners map[string]bool) {
	runners = make(map[string]bool)
	for _, l := range lines {
		if l.Fields["job"] != id {
			continue
		}
		own = append(own, l)
		if runner := l.Fields["runner"]; runner != "" {
			runners[runner] = true
		}
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].Time.Before(own[j].Time) })
	return own, runners
}

// meanings say what an event means for the job.
var meanings = map[string]string{
	"start-unanswered": "a runner left a start unanswered",
	"start-rejected":   "a runner rejected a start",
	"run-ended":        "a run ended without success",
	"run-overdue":      "a run took far longer than estimated and was stopped",
	"run-lapsed":       "a runner fell silent and the lease of a run ended",
	"run-adopted":      "a run that another scheduler had started was taken over",
	"runner-lost":      "a runner went to another scheduler, or ended",
	"job-dropped":      "the scheduler dropped the job",
	"job-cancelled":    "the caller cancelled the job",
	"caller-left":      "the caller left before the answer",
	"leader-changed":   "the process that schedules changed",
	"peer-lost":        "an entry process was lost",
	"process-stopping": "an entry process began a planned stop",
	"process-stalled":  "an entry process stood still",
}

func summary(lines []Line) []string {
	counts := make(map[string]int)
	var order, answers []string
	for _, l := range lines {
		if l.Event == "request-answered" {
			answers = append(answers, answerOf(l))
			continue
		}
		if meanings[l.Event] == "" {
			continue
		}
		if counts[l.Event] == 0 {
			order = append(order, l.Event)
		}
		counts[l.Event]++
	}
	var out []string
	for _, event := range order {
		out = append(out, fmt.Sprintf("%s (%d times)", meanings[event], counts[event]))
	}
	if len(answers) == 0 {
		answers = []string{"no answer is on record: the entry process ended, or its caller left"}
	}
	return append(out, answers...)
}

func answerOf(l Line) string {
	s := fmt.Sprintf("answered %s by %s after %s ms (objective %s ms)", l.Fields["outcome"], l.Fields["node"], l.Fields["took"], l.Fields["objective"])
	if reason := l.Fields["reason"]; reason != "" {
		s += ": " + reason
	}
	return s
}

// String is the report as text.
func (r Report) String() string {
	var b strings.Builder
	for _, l := range r.Lines {
		fmt.Fprintln(&b, l.Text)
	}
	fmt.Fprintf(&b, "\njob %s:\n", r.Job)
	for _, s := range r.Summary {
		fmt.Fprintf(&b, "- %s\n", s)
	}
	return b.String()
}
