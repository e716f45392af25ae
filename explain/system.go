package explain

import (
	"slices"
	"strings"
	"time"
)

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
)

// causeDuring returns the cause of the first event that overlaps an interval; empty if none does.
func causeDuring(events []systemEvent, from, to time.Time) Cause {
	for _, e := range events {
		if !to.Before(e.from) && !from.After(e.to) {
			return e.cause
		}
	}
	return ""
}

// findSystemEvents finds the events of the whole system in lines sorted by time. The events of the
// most severe kinds come first, because causeDuring returns the first event of an interval.
func findSystemEvents(lines []Line) []systemEvent {
	if len(lines) == 0 {
		return nil
	}
	begin := lines[0].Time
	starts := processStarts(lines, begin)
	lost := slices.DeleteFunc(withEvent(lines, "peer-lost"), func(l Line) bool { return l.Fields["ended"] == "true" })
	return slices.Concat(
		clusterEvents(starts, MostProcessesLost, majorityOf(countNodes(lines))),
		clusterEvents(lost, Partition, func(group []Line) bool { return countPeers(group) > 1 }),
		healedPartitions(lines, starts, begin),
		clusterEvents(lost, ProcessLost, anyGroup),
		clusterEvents(starts, ProcessLost, anyGroup),
		clusterEvents(withEvent(lines, "process-stopping"), PlannedStop, anyGroup),
		storeRecoveries(lines),
	)
}

// processStarts lists the starts of processes. Those within clusterGap of the first line are the start
// of the deployment and are left out.
func processStarts(lines []Line, begin time.Time) []Line {
	return slices.DeleteFunc(withEvent(lines, "process-started"), func(l Line) bool { return l.Time.Sub(begin) < clusterGap })
}

// healedPartitions finds the times at which many connections came back that no start of a process
// explains. The first connections of the deployment are left out.
func healedPartitions(lines, starts []Line, begin time.Time) []systemEvent {
	connected := slices.DeleteFunc(withEvent(lines, "peer-connected"), func(l Line) bool { return nearStart(starts, l) })
	return clusterEvents(connected, PartitionHealed, func(group []Line) bool {
		return len(group) >= minReconnects && group[0].Time.Sub(begin) > effectAfter
	})
}

// storeRecoveries finds the times at which the list of runners could be read again.
func storeRecoveries(lines []Line) []systemEvent {
	regained := slices.DeleteFunc(withEvent(lines, "dependency-regained"), func(l Line) bool { return l.Fields["call"] != "runners" })
	events := clusterEvents(regained, StoreRecovered, anyGroup)
	for i := range events {
		events[i].to = events[i].to.Add(storeEffectAfter - effectAfter)
	}
	return events
}

// anyGroup accepts every group of lines.
func anyGroup([]Line) bool { return true }

// majorityOf returns a function that accepts groups with a line for more than half of the nodes.
func majorityOf(nodes int) func(group []Line) bool {
	return func(group []Line) bool { return 2*len(group) > nodes }
}

// countNodes counts the different nodes whose lines these are.
func countNodes(lines []Line) int {
	nodes := make(map[string]bool)
	for _, l := range lines {
		nodes[l.Fields["node"]] = true
	}
	return len(nodes)
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
