package explain

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
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
	StartUnanswered   Cause = "a runner left an order unanswered"
	RunOverdue        Cause = "a run took far too long"
	RunFailed         Cause = "a run failed, or its runner fell silent"
	QueueWait         Cause = "waited for room"
	SlowRun           Cause = "the runs took far longer than estimated"
	Unexplained       Cause = "nothing in the logs explains it"
	CallerLeft        Cause = "its caller left"

	CancelledByCaller Cause = "its caller cancelled it"
	JobFailed         Cause = "a task failed as often as its queue allows, or no runner understands it"

	SlowRunner   Cause = "the runs took far longer than estimated, the longest on a slow runner"
	GrantExpired Cause = "room granted by another shard expired before the job came"
	LentLate     Cause = "lent to another shard too late"
	MovedLate    Cause = "handed in to another shard too late"

	RefusedNoRoom        Cause = "refused for lack of room"
	RefusedTwice         Cause = "refused for lack of room, in another shard as well"
	RefusedNoTime        Cause = "refused as too little time was left"
	TimeUp               Cause = "not done when its caller's timeout ended"
	RefusedEvacuated     Cause = "refused as all runners are evacuated"
	RefusedNoRunner      Cause = "refused as no runner could be reached"
	RefusedNoFit         Cause = "refused as no runner has what a task needs"
	RefusedNotLeading    Cause = "refused as the process didn't lead for certain"
	RefusedNoScheduler   Cause = "refused as no scheduler could be reached"
	NoVerdict            Cause = "the scheduler gave no answer in time"
	RefusedEnding        Cause = "refused as the entry process was about to end"
	RefusedStore         Cause = "refused as the store didn't answer"
	RefusedCopy          Cause = "refused as a copy of it had been refused"
	RefusedNotConfigured Cause = "refused as the process had no configuration yet"
	RefusedNotServed     Cause = "refused as it asks for something that isn't served"
	RefusedRunnerSilent  Cause = "given up as a task may run on a runner that doesn't answer"
	RefusedNoMemory      Cause = "refused as other jobs took the memory"
	RefusedOther         Cause = "refused for a cause that this version doesn't know"
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

const (
	// slowRunFactor is how many times longer than estimated a job's runs take for them to count as
	// slow. At most one healthy run in a hundred takes longer than that.
	slowRunFactor = 3
	// slowPace is how many times slower than the fastest runner of its service a runner is to count
	// as slow. Smaller differences are usual among healthy runners.
	slowPace = 1.5
	// answerSkew is how much later than its answer, or earlier than its arrival, a line of a
	// submission may be by the clock of another VM. A caller who was refused returns after a
	// second at the earliest.
	answerSkew = 300 * time.Millisecond
	// maxWaitShare is the share of its objective that a job may wait in the queue. The loss of a
	// job that waited longer is attributed to QueueWait, unless an event of one of its runs or of
	// the system explains it.
	maxWaitShare = 0.15
)

// Attribute finds the losses, and the cause of each, from the log lines of all entry processes of a
// deployment. A job whose entry process ended before it answered has no line with an outcome and is
// not reported.
func Attribute(lines []Line) []Loss {
	lines = sortedByTime(lines)
	events := findSystemEvents(lines)
	byJob := make(map[string][]Line)
	for _, l := range lines {
		if job := l.Fields["job"]; job != "" {
			byJob[job] = append(byJob[job], l)
		}
	}
	var losses []Loss
	for _, l := range lines {
		jobLines := linesUntil(byJob[l.Fields["job"]], l.Time.Add(answerSkew))
		loss, ok := lossOf(l, endedLine(jobLines))
		if !ok {
			continue
		}
		loss.Cause = causeOf(loss, l, jobLines, events)
		losses = append(losses, loss)
	}
	return losses
}

// sortedByTime returns the lines in order of time.
func sortedByTime(lines []Line) []Line {
	return slices.SortedStableFunc(slices.Values(lines), func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// linesUntil and linesSince return the lines, which are in order of time, up to a time or from it.
func linesUntil(lines []Line, end time.Time) []Line {
	n := sort.Search(len(lines), func(i int) bool { return lines[i].Time.After(end) })
	return lines[:n]
}

func linesSince(lines []Line, begin time.Time) []Line {
	n := sort.Search(len(lines), func(i int) bool { return !lines[i].Time.Before(begin) })
	return lines[n:]
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
// answer, the job completed in time, or it was accepted into the store.
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
		if l.Fields["outcome"] == "accepted" {
			return loss, false
		}
		completed := l.Fields["outcome"] == "completed"
		slow := took > l.number("objective") && ranOverEstimate(jobEnded)
		loss.Late = completed && (outsideOfRuns(l, jobEnded) || slow)
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

// causeOf finds the cause of a loss. jobLines are the lines of the job until the answer: also those of
// earlier submissions, whose runs may have delayed this one.
func causeOf(loss Loss, answer Line, jobLines []Line, events []systemEvent) Cause {
	switch {
	case answer.Event == "caller-left":
		return CallerLeft
	case answer.Fields["outcome"] == "cancelled":
		return CancelledByCaller
	}
	system := causeDuring(events, loss.Arrived, answer.Time)
	own := linesSince(jobLines, loss.Arrived.Add(-answerSkew))
	if loss.Late {
		return lateCause(answer, jobLines, own, system)
	}
	return refusedCause(answer, jobLines, own, system)
}

// lateCause finds the cause of a late answer. Causes seen in the lines of the job come before system
// events at the same time, unless the job was handed over to another scheduler. Then a system event
// comes first, as it explains the events of the job that followed. jobLines are the lines of all
// submissions of the job until the answer, and own those of the submission that was answered.
func lateCause(answer Line, jobLines, own []Line, system Cause) Cause {
	if answer.number("handed") > 0 {
		return cmp.Or(system, LeaderChanged)
	}
	if c := cmp.Or(runCause(jobLines), system); c != "" {
		return c
	}
	ended := endedLine(jobLines)
	waitedLong := ended.number("waited") > maxWaitShare*answer.number("objective")
	if outsideOfRuns(answer, ended) && !waitedLong {
		if c := shardCause(own); c != "" {
			return c
		}
	}
	switch {
	case waitedLong:
		return QueueWait
	case ranOverEstimate(ended) && ended.number("relative-pace") >= slowPace:
		return SlowRunner
	case ranOverEstimate(ended):
		return SlowRun
	}
	return Unexplained
}

// refusedCause finds why a job was not completed. A system event at the time comes before the
// refusal that followed from it. jobLines and own are as in lateCause.
func refusedCause(answer Line, jobLines, own []Line, system Cause) Cause {
	refused := refusal(answer, own)
	if certainRefusals[refused] {
		return lossCauses[refused]
	}
	if answer.number("handed") > 0 {
		return cmp.Or(system, LeaderChanged)
	}
	if system != "" {
		return system
	}
	switch refused {
	case workload.LackOfRoom:
		return noRoomCause(own)
	case workload.TooLittleTime, workload.TimeUp:
		return cmp.Or(runCause(jobLines), shardCause(own), lossCauses[refused])
	}
	if answer.Fields["outcome"] == "failed" {
		return cmp.Or(runCause(jobLines), JobFailed)
	}
	return cmp.Or(lossCauses[refused], runCause(jobLines), Unexplained)
}

// noRoomCause distinguishes the refusals for lack of room by what other shards did.
func noRoomCause(jobLines []Line) Cause {
	switch {
	case hasEvent(jobLines, "room-expired"):
		return GrantExpired
	case hasEvent(jobLines, "job-lent"), hasEvent(jobLines, "job-elsewhere"):
		return RefusedTwice
	}
	return RefusedNoRoom
}

// shardCause returns why a job that another shard was asked to take was late; empty if none was
// asked.
func shardCause(jobLines []Line) Cause {
	switch {
	case hasEvent(jobLines, "room-expired"):
		return GrantExpired
	case hasEvent(jobLines, "job-lent"):
		return LentLate
	case hasEvent(jobLines, "job-elsewhere"):
		return MovedLate
	}
	return ""
}

func hasEvent(lines []Line, event string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.Event == event })
}

// outsideOfRuns reports whether a job's time outside of its runs exceeds its objective less the
// estimate.
func outsideOfRuns(answer, jobEnded Line) bool {
	return answer.number("took")-jobEnded.number("work") > answer.number("objective")-jobEnded.number("estimate")
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
