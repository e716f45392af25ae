// Package explain reads the logs of entry processes. It reports what happened to a single job, and
// finds the causes of answers that were late or missing.
package explain

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Report describes what happened to a job.
type Report struct {
	Job string `json:"job"`
	// Lines are the lines of the job, and those of system events and lost runners at the time, in
	// order of time.
	Lines []Line `json:"lines"`
	// Summary has a line for each kind of event, then one for each answer.
	Summary []string `json:"summary"`
}

// systemEventsBefore is how long before a job's first line system events are included:
// callers submit a job again up to 2.7 s after its first submission.
const systemEventsBefore = 3 * time.Second

// jobIndependentEvents are the events that affect all jobs in progress.
var jobIndependentEvents = map[string]bool{
	"leader-changed": true, "peer-lost": true, "process-started": true, "process-stopping": true, "process-ended": true,
	"process-stalled": true, "configuration-in-force": true, "dependency-lost": true, "dependency-regained": true,
}

// runnerEvents are the events of a runner that affect the jobs on it.
var runnerEvents = map[string]bool{
	"runner-lost": true, "runner-restarted": true, "runner-pace-turned": true, "runner-pace-recovered": true,
}

// Job collects the lines that concern a job and summarizes them: the job's own lines, those of
// jobIndependentEvents until its last line, and runnerEvents of the runners that its lines name.
func Job(id string, lines []Line) Report {
	r := Report{Job: id}
	jobLines, runners := linesOfJob(id, lines)
	if len(jobLines) == 0 {
		r.Summary = []string{"no line names the job: it never reached an entry process whose log is here"}
		return r
	}
	first, last := jobLines[0].Time, jobLines[len(jobLines)-1].Time
	r.Lines = jobLines
	for _, l := range lines {
		if l.Fields["job"] == id || l.Time.Before(first.Add(-systemEventsBefore)) || l.Time.After(last) {
			continue
		}
		if jobIndependentEvents[l.Event] || runnerEvents[l.Event] && runners[l.Fields["runner"]] {
			r.Lines = append(r.Lines, l)
		}
	}
	sort.SliceStable(r.Lines, func(i, j int) bool { return r.Lines[i].Time.Before(r.Lines[j].Time) })
	r.Summary = append(summarize(r.Lines), lossSummary(jobLines, lines)...)
	return r
}

// linesOfJob returns a job's lines in order of time, and the runners that they name.
func linesOfJob(id string, lines []Line) (jobLines []Line, runners map[string]bool) {
	runners = make(map[string]bool)
	for _, l := range lines {
		if l.Fields["job"] != id {
			continue
		}
		jobLines = append(jobLines, l)
		for _, field := range []string{"runner", "longest-runner"} {
			if runner := l.Fields[field]; runner != "" {
				runners[runner] = true
			}
		}
	}
	sort.SliceStable(jobLines, func(i, j int) bool { return jobLines[i].Time.Before(jobLines[j].Time) })
	return jobLines, runners
}

// eventMeanings describes events in the summary; other events are left out of it.
var eventMeanings = map[string]string{
	"start-unanswered":      "a runner left a start unanswered",
	"start-rejected":        "a runner rejected a start",
	"run-ended":             "a run ended without success",
	"run-overdue":           "a run took far longer than estimated and was stopped",
	"run-lapsed":            "a runner fell silent and the lease of a run ended",
	"run-dropped":           "a run ceased to count though its end wasn't listed",
	"task-started-again":    "a task was started that had, or may have had, a run before",
	"task-ran-twice":        "a run was found alive beside another run of its task",
	"dropped-run-done":      "a run that had ceased to count turned out to have ended well",
	"dropped-run-expired":   "a run that had ceased to count turned out to have ended with its lease",
	"job-copy-received":     "a copy of the job came to a scheduler that knew it",
	"job-in-two-shards":     "the job was in two shards",
	"started-without-lists": "a task was started before all runners had listed their runs",
	"run-adopted":           "a run that another scheduler had started was taken over",
	"runner-lost":           "a runner went to another scheduler, or ended",
	"runner-restarted":      "a runner has started again",
	"runner-pace-turned":    "a runner turned slow",
	"runner-pace-recovered": "a runner recovered its usual pace",
	"job-dropped":           "the scheduler dropped the job",
	"job-cancelled":         "the caller cancelled the job",
	"caller-left":           "the caller left before the answer",
	"leader-changed":        "the process that schedules changed",
	"peer-lost":             "an entry process was lost",
	"process-stopping":      "an entry process began a planned stop",
	"process-stalled":       "an entry process stood still",
	"job-elsewhere":         "the job was handed in to a shard other than its own",
	"job-lent":              "the job was given to a shard that had granted room for it",
	"room-expired":          "granted room expired before the job came",
	"room-used":             "the job came to the shard that had granted room",
	"lent-job-handed-back":  "the job came back, since its lender was out of reach",
	"hand-in-dropped":       "the job came over a connection that had ended",
}

// summarize describes the kinds of events that eventMeanings has, in order of first occurrence and
// with their numbers, then the schedulers' refusals, the job's way over the shards, and each answer.
func summarize(lines []Line) []string {
	counts := make(map[string]int)
	var order, refusals, answers []string
	for _, l := range lines {
		switch {
		case l.Event == "request-answered":
			answers = append(answers, describeAnswer(l))
			continue
		case l.Event == "job-ended" && refusalOf(l) != workload.NotRefused:
			refusals = append(refusals, describeRefusal(l))
		}
		if eventMeanings[l.Event] == "" {
			continue
		}
		if counts[l.Event] == 0 {
			order = append(order, l.Event)
		}
		counts[l.Event]++
	}
	var out []string
	for _, event := range order {
		out = append(out, fmt.Sprintf("%s (%d times)", eventMeanings[event], counts[event]))
	}
	out = append(out, refusals...)
	if path := describePath(lines); path != "" {
		out = append(out, path)
	}
	if len(answers) == 0 {
		answers = []string{"no answer is on record: the entry process ended, or its caller left"}
	}
	return append(out, answers...)
}

// describeAnswer describes the line of an answer.
func describeAnswer(l Line) string {
	s := fmt.Sprintf("answered %s by %s after %s ms (objective %s ms)", l.Fields["outcome"], l.Fields["node"], l.Fields["took"], l.Fields["objective"])
	if reason := l.Fields["reason"]; reason != "" {
		s += ": " + reason
	}
	return s
}

// describeRefusal describes a job-ended line of a refusal.
func describeRefusal(l Line) string {
	return fmt.Sprintf("refused by the scheduler on %s for %s: %s", l.Fields["node"], refusalOf(l), l.Fields["reason"])
}

// describePath lists the shards that a job was handed in to, if there was more than one.
func describePath(lines []Line) string {
	var path []string
	for _, l := range lines {
		from, to := l.Fields["home"], l.Fields["shard"]
		switch l.Event {
		case "job-lent":
			from, to = l.Fields["shard"], l.Fields["lender"]
		case "job-elsewhere":
		default:
			continue
		}
		if to == "" {
			continue
		}
		if len(path) == 0 {
			path = append(path, from)
		}
		// A job that was lent is then handed in elsewhere; the two lines are one step.
		if path[len(path)-1] != to {
			path = append(path, to)
		}
	}
	if len(path) == 0 {
		return ""
	}
	return "handed in to the shards " + strings.Join(path, ", then ")
}

// lossSummary returns a line with the cause for each late or lost answer of a job.
func lossSummary(jobLines, all []Line) []string {
	var events []systemEvent
	var out []string
	for _, l := range jobLines {
		linesSoFar := linesUntil(jobLines, l.Time.Add(answerSkew))
		loss, ok := lossOf(l, endedLine(linesSoFar))
		if !ok {
			continue
		}
		if events == nil {
			events = findSystemEvents(sortedByTime(all))
		}
		out = append(out, "cause of the loss: "+string(causeOf(loss, l, linesSoFar, events)))
	}
	return out
}

// String formats the report as text: the lines, then the summary.
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
