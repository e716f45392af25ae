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

// Cause is why a job's answer was late, or not what its caller wanted.
type Cause string

// The causes. Those of the system come with a time during which they hold;
// those of a runner or of the order of service are seen on the job itself.
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

// Loss is a job whose answer was late or not "completed".
type Loss struct {
	Job   string
	Queue string
	// Arrived is when the entry process got the job, as far as its log tells.
	Arrived time.Time
	// Late: it was completed, after its latency objective.
	Late  bool
	Cause Cause
}

// episode is a time during which something of the system explains losses.
type episode struct {
	from, to time.Time
	cause    Cause
}

const (
	// together is how close in time the signs of one event are: processes that
	// lose power or a connection at the same moment notice within this.
	together = 500 * time.Millisecond
	// before is how long before its first sign an event may have begun to harm:
	// a silent process is missed after 450 ms.
	before = 500 * time.Millisecond
	// after is how long it goes on: a job that another scheduler had waits up
	// to 1.3 s, and callers of the shortest jobs don't wait longer than that.
	after = 1500 * time.Millisecond
	// storeAfter is how long the list of runners may be short once the store is
	// back.
	storeAfter = 2500 * time.Millisecond
	// several signs make a cut or its heal; one is a process that was lost.
	several = 3
	// slowFactor times its estimate is more than a sound run takes but once in
	// a hundred.
	slowFactor = 3
	// waitedShare is the share of its objective that a job may wait for room.
	waitedShare = 0.15
)

// Attribute finds the one cause of each loss, from the lines of all entry
// processes of a deployment. A job whose entry process ended before it answered
// isn't in the logs, and so isn't here.
func Attribute(lines []Line) []Loss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	episodes := findEpisodes(lines)
	own := make(map[string][]Line)
	for _, l := range lines {
		if job := l.Fields["job"]; job != "" {
			own[job] = append(own[job], l)
		}
	}
	var losses []Loss
	for _, l := range lines {
		loss, ok := lossOf(l, ending(own[l.Fields["job"]]))
		if !ok {
			continue
		}
		loss.Cause = causeOf(loss, l, own[loss.Job], episodes)
		losses = append(losses, loss)
	}
	return losses
}

// ending is the last word of a scheduler on a job; an empty line if there is none.
func ending(own []Line) Line {
	for _, l := range slices.Backward(own) {
		if l.Event == "job-ended" {
			return l
		}
	}
	return Line{}
}

// lossOf reads the answer that a line tells of; false if all was well.
//
// The objective follows from an estimate, but its caller counts from what the
// work really takes: a job is late if it took longer, its runs left out, than
// the objective leaves beside the estimate.
func lossOf(l, ended Line) (Loss, bool) {
	loss := Loss{Job: l.Fields["job"], Queue: l.Fields["queue"], Arrived: l.Time}
	switch l.Event {
	case "request-refused", "caller-left":
		return loss, true
	case "request-answered":
		took := l.number("took")
		loss.Arrived = l.Time.Add(-time.Duration(took * float64(time.Millisecond)))
		completed := l.Fields["outcome"] == "completed"
		overhead := took-ended.number("work") > l.number("objective")-ended.number("estimate")
		slow := took > l.number("objective") && tookLong(ended)
		loss.Late = completed && (overhead || slow)
		return loss, !completed || loss.Late
	}
	return loss, false
}

func (l Line) number(key string) float64 {
	n, err := strconv.ParseFloat(l.Fields[key], 64)
	if err != nil {
		// A line without the number tells of no delay.
		return 0
	}
	return n
}

// causeOf weighs what is seen on the job itself before what happened round it,
// unless another scheduler had the job: then that change explains what followed.
func causeOf(loss Loss, answer Line, own []Line, episodes []episode) Cause {
	system := during(episodes, loss.Arrived, answer.Time)
	switch {
	case answer.Event == "caller-left":
		return CallerLeft
	case answer.number("handed") > 0 || !loss.Late && system != "":
		return cmp.Or(system, LeaderChanged)
	case !loss.Late && saysWait(answer.Fields["reason"]):
		return AdmissionRefusal
	}
	if c := cmp.Or(seenOnRuns(own), system); c != "" {
		return c
	}
	switch ended := ending(own); {
	case ended.number("waited") > waitedShare*answer.number("objective"):
		return QueueWait
	case tookLong(ended):
		return SlowRun
	}
	return Unexplained
}

func during(episodes []episode, from, to time.Time) Cause {
	for _, e := range episodes {
		if !to.Before(e.from) && !from.After(e.to) {
			return e.cause
		}
	}
	return ""
}

func saysWait(reason string) bool {
	return strings.Contains(reason, "wait of") || strings.Contains(reason, "too little time") || strings.Contains(reason, "no runner")
}

func seenOnRuns(own []Line) Cause {
	events := map[string]Cause{"run-overdue": RunOverdue, "run-lapsed": RunFailed, "run-ended": RunFailed, "start-unanswered": StartUnanswered}
	for _, l := range own {
		if c := events[l.Event]; c != "" {
			return c
		}
	}
	return ""
}

// tookLong reports whether a job's runs took far longer than estimated, by the
// scheduler's last word on it.
func tookLong(ended Line) bool { return ended.number("work") > slowFactor*ended.number("estimate") }

// findEpisodes reads the events of the system off the lines, the gravest first.
func findEpisodes(lines []Line) []episode {
	nodes := make(map[string]bool)
	for _, l := range lines {
		nodes[l.Fields["node"]] = true
	}
	starts, first := signs(lines, "process-started"), time.Time{}
	if len(lines) > 0 {
		first = lines[0].Time
	}
	starts = slices.DeleteFunc(starts, func(l Line) bool { return l.Time.Sub(first) < together })
	episodes := group(starts, MostProcessesLost, func(g []Line) bool { return 2*len(g) > len(nodes) })
	silent := slices.DeleteFunc(signs(lines, "peer-lost"), func(l Line) bool { return l.Fields["ended"] == "true" })
	episodes = append(episodes, group(silent, Partition, func(g []Line) bool { return lostPeers(g) > 1 })...)
	back := slices.DeleteFunc(signs(lines, "peer-connected"), func(l Line) bool { return startedNear(starts, l) })
	episodes = append(episodes, group(back, PartitionHealed, func(g []Line) bool { return len(g) >= several && g[0].Time.Sub(first) > after })...)
	episodes = append(episodes, group(silent, ProcessLost, func([]Line) bool { return true })...)
	episodes = append(episodes, group(starts, ProcessLost, func([]Line) bool { return true })...)
	episodes = append(episodes, group(signs(lines, "process-stopping"), PlannedStop, func([]Line) bool { return true })...)
	store := slices.DeleteFunc(signs(lines, "dependency-regained"), func(l Line) bool { return l.Fields["call"] != "runners" })
	for _, e := range group(store, StoreRecovered, func([]Line) bool { return true }) {
		e.to = e.to.Add(storeAfter - after)
		episodes = append(episodes, e)
	}
	return episodes
}

func signs(lines []Line, event string) []Line {
	var list []Line
	for _, l := range lines {
		if l.Event == event {
			list = append(list, l)
		}
	}
	return list
}

// group makes an episode of each run of signs that are close together and that
// suffice for the cause.
func group(signs []Line, cause Cause, suffice func([]Line) bool) []episode {
	var list []episode
	for len(signs) > 0 {
		n := 1
		for n < len(signs) && signs[n].Time.Sub(signs[n-1].Time) < together {
			n++
		}
		if suffice(signs[:n]) {
			list = append(list, episode{from: signs[0].Time.Add(-before), to: signs[n-1].Time.Add(after), cause: cause})
		}
		signs = signs[n:]
	}
	return list
}

func lostPeers(signs []Line) int {
	peers := make(map[string]bool)
	for _, l := range signs {
		peers[l.Fields["peer"]] = true
	}
	return len(peers)
}

// startedNear reports whether a connection is that of a process that has just
// started, on either side.
func startedNear(starts []Line, connected Line) bool {
	vm, _, _ := strings.Cut(connected.Fields["peer"], "#")
	return slices.ContainsFunc(starts, func(s Line) bool {
		node := s.Fields["node"]
		return (node == vm || node == connected.Fields["node"]) && connected.Time.Sub(s.Time).Abs() < after
	})
}

// LossTable counts losses by cause, queue and second.
type LossTable struct {
	Losses []Loss
	// Begin is the time from which seconds are counted.
	Begin time.Time
}

// String is the table as text: by cause and queue, lost and late; and for each
// cause the seconds in which most arrived.
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
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", k.cause, cmp.Or(k.queue, "-"), len(by[k])-late, late, t.seconds(by[k]))
	}
	_ = w.Flush() // a strings.Builder takes all writes
	return b.String()
}

// mostSeconds is how many seconds a row names.
const mostSeconds = 3

func (t LossTable) seconds(losses []Loss) string {
	counts := make(map[int]int)
	for _, l := range losses {
		counts[int(l.Arrived.Sub(t.Begin).Seconds())]++
	}
	order := slices.SortedFunc(maps.Keys(counts), func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var words []string
	for _, s := range order[:min(len(order), mostSeconds)] {
		words = append(words, fmt.Sprintf("%d: %d", s, counts[s]))
	}
	return strings.Join(words, ", ")
}
