package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Cause is why a job's answer was late or not "completed".
type Cause string

// The causes of losses. Causes from MostProcessesLost to StoreRecovered are events of the system as
// a whole, and apply to all jobs in an interval of time. The others are read from the lines of the
// job itself.
const (
	MostProcessesLost Cause = "most processes ended at once"
	Partition         Cause = "processes fell silent"
	PartitionHealed   Cause = "connections came back"
	ProcessLost       Cause = "one process ended"
	PlannedStop       Cause = "a planned stop"
	StoreRecovered    Cause = "the store came back"
	LeaderChanged     Cause = "the leader changed, for none of these"
	AdmissionRefusal  Cause = "refused or given up for its expected wait"
	StartUnanswered   Cause = "a runner left an order unanswered"
	RunOverdue        Cause = "a run took far too long"
	RunFailed         Cause = "a run failed, or its runner fell silent"
	QueueWait         Cause = "waited for room"
	SlowRun           Cause = "the runs took far longer than estimated"
	Unexplained       Cause = "nothing in the logs explains it"
	CallerLeft        Cause = "its caller left"
)

// Loss is a job that completed late, or whose outcome was not "completed", which includes that its
// request was refused or its caller left.
type Loss struct {
	Job   string
	Queue string
	// Arrived is when the entry process received the job, according to its log.
	Arrived time.Time
	// Late: the job completed, but too late by its latency objective, see lossOf.
	Late  bool
	Cause Cause
}

// systemEvent is an event of the whole system, and the interval during which it can cause losses.
type systemEvent struct {
	from, to time.Time
	cause    Cause
}

const (
	// clusterGap is the time within which two successive log lines count as lines of the same
	// system event: processes that lose power or a connection at the same moment log it within
	// this time of each other.
	clusterGap = 500 * time.Millisecond
	// effectBefore is how long before its first log line an event may already cause losses: an
	// unresponsive process is detected after 450 ms.
	effectBefore = 500 * time.Millisecond
	// effectAfter is how long after its last log line an event may still cause losses: a
	// job that another scheduler had waits up to 1.3 s, and callers of the shortest jobs
	// don't wait longer than that.
	effectAfter = 1500 * time.Millisecond
	// storeEffectAfter is used in place of effectAfter for StoreRecovered: the list of runners may
	// stay incomplete for this long after the store is reachable again.
	storeEffectAfter = 2500 * time.Millisecond
	// minReconnects is how many connections must come back together to count as a healed
	// partition.
	minReconnects = 3
	// slowRunFactor is how many times longer than estimated a job's runs take for them to count as
	// slow. At most one healthy run in a hundred takes longer than that.
	slowRunFactor = 3
	// maxWaitShare is the share of its objective that a job may wait in the queue. The loss of a
	// job that waited longer is attributed to QueueWait, unless an event of one of its runs or of
	// the system explains it.
	maxWaitShare = 0.15
)

// Attribute finds the losses, and the cause of each, from the log lines of all entry processes of a
// deployment. A job whose entry process ended before it answered has no line with an outcome and is
// not reported.
func Attribute(lines []Line) []Loss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	events := findSystemEvents(lines)
	byJob := make(map[string][]Line)
	for _, l := range lines {
		if job := l.Fields["job"]; job != "" {
			byJob[job] = append(byJob[job], l)
		}
	}
	var losses []Loss
	for _, l := range lines {
		loss, ok := lossOf(l, endedLine(byJob[l.Fields["job"]]))
		if !ok {
			continue
		}
		loss.Cause = causeOf(loss, l, byJob[loss.Job], events)
		losses = append(losses, loss)
	}
	return losses
}

// endedLine returns a job's last job-ended line, or an empty line if there is none.
func endedLine(jobLines []Line) Line {
	for _, l := range slices.Backward(jobLines) {
		if l.Event == "job-ended" {
			return l
		}
	}
	return Line{}
}

// lossOf reads a loss from the line of an answer. It returns false if the line isn't that of an
// answer or the job completed in time.
//
// The objective includes the estimated run time, but callers count from the actual one. A job is
// therefore late if its time outside of its runs exceeds the objective less the estimate. A job
// whose runs took far longer than estimated is also late if its whole time exceeds the objective.
func lossOf(l, jobEnded Line) (Loss, bool) {
	loss := Loss{Job: l.Fields["job"], Queue: l.Fields["queue"], Arrived: l.Time}
	switch l.Event {
	case "request-refused", "caller-left":
		return loss, true
	case "request-answered":
		took := l.number("took")
		loss.Arrived = l.Time.Add(-time.Duration(took * float64(time.Millisecond)))
		completed := l.Fields["outcome"] == "completed"
		overhead := took-jobEnded.number("work") > l.number("objective")-jobEnded.number("estimate")
		slow := took > l.number("objective") && ranOverEstimate(jobEnded)
		loss.Late = completed && (overhead || slow)
		return loss, !completed || loss.Late
	}
	return loss, false
}

// number reads a field as a number; 0 if the line has no such field.
func (l Line) number(key string) float64 {
	n, err := strconv.ParseFloat(l.Fields[key], 64)
	if err != nil {
		// A missing field means no delay.
		return 0
	}
	return n
}

// causeOf finds the cause of a loss. Causes seen in the lines of the job come before system events
// at the same time, unless the job was handed over to another scheduler or did not complete. Then a
// system event comes first, as it explains the events of the job that followed.
func causeOf(loss Loss, answer Line, jobLines []Line, events []systemEvent) Cause {
	system := causeDuring(events, loss.Arrived, answer.Time)
	switch {
	case answer.Event == "caller-left":
		return CallerLeft
	case answer.number("handed") > 0 || !loss.Late && system != "":
		return cmp.Or(system, LeaderChanged)
	case !loss.Late && refusedForWait(answer.Fields["reason"]):
		return AdmissionRefusal
	}
	if c := cmp.Or(runCause(jobLines), system); c != "" {
		return c
	}
	switch ended := endedLine(jobLines); {
	case ended.number("waited") > maxWaitShare*answer.number("objective"):
		return QueueWait
	case ranOverEstimate(ended):
		return SlowRun
	}
	return Unexplained
}

// causeDuring returns the cause of the first event that overlaps an interval; empty if none does.
func causeDuring(events []systemEvent, from, to time.Time) Cause {
	for _, e := range events {
		if !to.Before(e.from) && !from.After(e.to) {
			return e.cause
		}
	}
	return ""
}

// refusedForWait reports whether a reason is that of a job refused, or given up, because of
// its expected wait.
func refusedForWait(reason string) bool {
	return strings.Contains(reason, "wait of") || strings.Contains(reason, "too little time") || strings.Contains(reason, "no runner")
}

// runCause returns the first cause seen in the run events of a job; empty if there is none.
func runCause(jobLines []Line) Cause {
	causes := map[string]Cause{"run-overdue": RunOverdue, "run-lapsed": RunFailed, "run-ended": RunFailed, "start-unanswered": StartUnanswered}
	for _, l := range jobLines {
		if c := causes[l.Event]; c != "" {
			return c
		}
	}
	return ""
}

// ranOverEstimate reports whether a job's runs took far longer than estimated, according to
// its job-ended line.
func ranOverEstimate(jobEnded Line) bool {
	return jobEnded.number("work") > slowRunFactor*jobEnded.number("estimate")
}

// findSystemEvents finds the events of the whole system in lines sorted by time. The events of the
// most severe kinds come first, because causeDuring returns the first event of an interval.
// Processes that start within clusterGap of the first line count as the start of the deployment,
// not as an event.
func findSystemEvents(lines []Line) []systemEvent {
	nodes := make(map[string]bool)
	for _, l := range lines {
		nodes[l.Fields["node"]] = true
	}
	starts, first := withEvent(lines, "process-started"), time.Time{}
	if len(lines) > 0 {
		first = lines[0].Time
	}
	starts = slices.DeleteFunc(starts, func(l Line) bool { return l.Time.Sub(first) < clusterGap })
	events := clusterEvents(starts, MostProcessesLost, func(g []Line) bool { return 2*len(g) > len(nodes) })
	lost := slices.DeleteFunc(withEvent(lines, "peer-lost"), func(l Line) bool { return l.Fields["ended"] == "true" })
	events = append(events, clusterEvents(lost, Partition, func(g []Line) bool { return countPeers(g) > 1 })...)
	connected := slices.DeleteFunc(withEvent(lines, "peer-connected"), func(l Line) bool { return nearStart(starts, l) })
	events = append(events, clusterEvents(connected, PartitionHealed, func(g []Line) bool { return len(g) >= minReconnects && g[0].Time.Sub(first) > effectAfter })...)
	events = append(events, clusterEvents(lost, ProcessLost, func([]Line) bool { return true })...)
	events = append(events, clusterEvents(starts, ProcessLost, func([]Line) bool { return true })...)
	events = append(events, clusterEvents(withEvent(lines, "process-stopping"), PlannedStop, func([]Line) bool { return true })...)
	store := slices.DeleteFunc(withEvent(lines, "dependency-regained"), func(l Line) bool { return l.Fields["call"] != "runners" })
	for _, e := range clusterEvents(store, StoreRecovered, func([]Line) bool { return true }) {
		e.to = e.to.Add(storeEffectAfter - effectAfter)
		events = append(events, e)
	}
	return events
}

// withEvent lists the lines of a kind of event.
func withEvent(lines []Line, event string) []Line {
	var list []Line
	for _, l := range lines {
		if l.Event == event {
			list = append(list, l)
		}
	}
	return list
}

// clusterEvents returns an event with the given cause for each group of lines that follow each other
// within clusterGap, if accept returns true for the group.
func clusterEvents(lines []Line, cause Cause, accept func([]Line) bool) []systemEvent {
	var list []systemEvent
	for len(lines) > 0 {
		n := 1
		for n < len(lines) && lines[n].Time.Sub(lines[n-1].Time) < clusterGap {
			n++
		}
		if accept(lines[:n]) {
			list = append(list, systemEvent{from: lines[0].Time.Add(-effectBefore), to: lines[n-1].Time.Add(effectAfter), cause: cause})
		}
		lines = lines[n:]
	}
	return list
}

// countPeers counts the different peers that lines name.
func countPeers(lines []Line) int {
	peers := make(map[string]bool)
	for _, l := range lines {
		peers[l.Fields["peer"]] = true
	}
	return len(peers)
}

// nearStart reports whether one end of a new connection is a process that started at about
// the same time.
func nearStart(starts []Line, connected Line) bool {
	vm, _, _ := strings.Cut(connected.Fields["peer"], "#")
	return slices.ContainsFunc(starts, func(s Line) bool {
		node := s.Fields["node"]
		return (node == vm || node == connected.Fields["node"]) && connected.Time.Sub(s.Time).Abs() < effectAfter
	})
}

// LossTable prints losses, counted by cause, queue and second of arrival.
type LossTable struct {
	Losses []Loss
	// Begin is the time from which seconds are counted.
	Begin time.Time
}

// String formats the table: for each cause and queue the jobs lost and late, and the seconds
// in which most of them arrived.
func (t LossTable) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cause\tqueue\tlost\tlate\tmost in seconds")
	type key struct {
		cause Cause
		queue string
	}
	by := make(map[key][]Loss)
	for _, l := range t.Losses {
		k := key{l.Cause, l.Queue}
		by[k] = append(by[k], l)
	}
	keys := slices.SortedFunc(maps.Keys(by), func(a, b key) int {
		return cmp.Or(cmp.Compare(len(by[b]), len(by[a])), cmp.Compare(a.cause, b.cause), cmp.Compare(a.queue, b.queue))
	})
	for _, k := range keys {
		late := 0
		for _, l := range by[k] {
			if l.Late {
				late++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", k.cause, cmp.Or(k.queue, "-"), len(by[k])-late, late, t.topSeconds(by[k]))
	}
	_ = w.Flush() // writes to a strings.Builder don't fail
	return b.String()
}

// maxSeconds is the maximum number of seconds that a row lists.
const maxSeconds = 3

// topSeconds lists the seconds in which most of the losses arrived, with their numbers.
func (t LossTable) topSeconds(losses []Loss) string {
	counts := make(map[int]int)
	for _, l := range losses {
		counts[int(l.Arrived.Sub(t.Begin).Seconds())]++
	}
	order := slices.SortedFunc(maps.Keys(counts), func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var words []string
	for _, s := range order[:min(len(order), maxSeconds)] {
		words = append(words, fmt.Sprintf("%d: %d", s, counts[s]))
	}
	return strings.Join(words, ", ")
}
