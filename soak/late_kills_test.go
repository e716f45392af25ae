package soak

import (
	"flag"
	"fmt"
	"regexp"
	"syscall"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

var killDelayMs = flag.Int("soak.killdelay", 200, "how late runners end runs after their leases, in milliseconds, in TestSoakLateKills and TestSoakShortPauses")

// Guards against tasks that run twice when a runner gets no processor time, so that it answers no calls and
// its runs outlive its lease.
func TestSoakStarvedRunners(t *testing.T) {
	soakOnly(t, scenario{faults: []fault{runnersStarved(4)}, extraRunTime: 300 * time.Millisecond})
}

// Guards against tasks that run twice when a runner that handles no calls ends its runs late after its lease.
func TestSoakLateKills(t *testing.T) {
	soakOnly(t, lateKills(runnersUnresponsive))
}

// Guards against tasks that run twice when leaders are paused again and again, each time for less than it
// takes to replace them, while runners end their runs late.
func TestSoakShortPauses(t *testing.T) {
	// Seeds that broke the guarantee, though not in each run.
	soakOnly(t, lateKills(runnersUnresponsive, leaderPaused, leaderPaused), 2, 4)
}

// lateKills returns a scenario of runs that outlive a lease, and of runners that end them late.
func lateKills(kinds ...fault) scenario {
	return scenario{faults: kinds, extraRunTime: 700 * time.Millisecond, killDelay: time.Duration(*killDelayMs) * time.Millisecond}
}

// runnersStarved lets one in so many runners do nothing for longer than their leases last.
func runnersStarved(oneIn int) fault {
	return fault{"runners starved", func(w *world) {
		for _, r := range w.randomRunners(oneIn) {
			r.Starve(w.randomDuration(550, 950))
		}
	}}
}

// runnersUnresponsive lets a quarter of the runners handle no calls while their runs go on.
var runnersUnresponsive = fault{"runners unresponsive", func(w *world) {
	for _, r := range w.randomRunners(4) {
		r.PauseCalls(w.randomDuration(700, 1500))
	}
}}

// leaderPaused pauses a leader for a time that is too short for another process to take its place.
var leaderPaused = fault{"leader paused", func(w *world) {
	leaders := w.leaders()
	if len(leaders) == 0 {
		return
	}
	n := leaders[w.rng.IntN(len(leaders))]
	n.signal(syscall.SIGSTOP)
	w.runAfter(w.randomDuration(100, 390), func() { n.signal(syscall.SIGCONT) })
}}

// randomRunners returns about one in so many runners.
func (w *world) randomRunners(oneIn int) []*deployment.Runner {
	var list []*deployment.Runner
	for _, r := range w.runners {
		if w.rng.IntN(oneIn) == 0 {
			list = append(list, r.runner)
		}
	}
	return list
}

// leaderChange matches a change of a shard's leader in the log; the leader is given as VM#incarnation.
var leaderChange = regexp.MustCompile(`event=leader-changed .*\bleader="?([^"#\s]*).* shard=(\d+)`)

// leaders returns the VMs that, by the last such line of their own logs, lead a shard.
func (w *world) leaders() []*node {
	var list []*node
	for _, n := range w.nodes {
		leaderOf := make(map[string]string)
		for _, m := range leaderChange.FindAllSubmatch(n.log.bytes(), -1) {
			leaderOf[string(m[2])] = string(m[1])
		}
		for _, leader := range leaderOf {
			if leader == n.name {
				list = append(list, n)
				break
			}
		}
	}
	return list
}

// describeLeaseExpiries sums up how late the runners acted on the expiry of their leases.
func (w *world) describeLeaseExpiries() string {
	var timerDelay, killDelay time.Duration
	kills := 0
	for _, r := range w.runners {
		e := r.runner.LeaseExpiries()
		timerDelay = max(timerDelay, e.MaxTimerDelay)
		for _, d := range e.KillDelays {
			killDelay = max(killDelay, d)
		}
		kills += len(e.KillDelays)
	}
	return fmt.Sprintf("leases that expired with runs in progress %d, ended late by at most %v; timers late by at most %v",
		kills, killDelay.Round(time.Millisecond), timerDelay.Round(time.Millisecond))
}
