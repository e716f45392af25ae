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
