package fleet

import "time"

const (
	// strainMost is how long work that is ready may wait for the processor, by the
	// median of some looks, in a process that leads. Orders have 50 ms; what waits
	// longer than that between an answer's coming and its being read counts as
	// unanswered, is ordered again, and the process falls behind for good.
	strainMost = 30 * time.Millisecond
	// strainSure is what shows by itself that the VM is slow. Between the two it
	// may be a burst; that is over by the next look.
	strainSure = 2 * strainMost
	// strainPause is how long a process keeps the lead that it has got back, or
	// that no other takes, before it gives it up again: if all are short of
	// processor, a change every second would make it worse.
	strainPause = 5 * time.Second
	// strainSettle is how long after coming to lead a shard a process may be busy
	// with that: it opens connections to all runners.
	strainSettle = 1500 * time.Millisecond
)

// RecordCPUWait takes how long work that was ready has waited for the processor in the
// last moments. A leader whose VM has turned slow lets another one lead. It isn't
// lost, so without this it would be taken for lost while it is late, and as the
// oldest take the lead back when it is heard again, time and again; its callers
// and those of all others would wait.
func (n *Node) RecordCPUWait(now Time, wait time.Duration) {
	twice := n.strained
	n.strained = wait >= strainMost
	if !n.strained || !twice && wait < strainSure {
		return
	}
	recent := n.strainedAt > 0 && now-n.strainedAt < strainPause
	if !n.Leads() || recent || now-n.ledAt < strainSettle || !n.view.HasIdleSuccessor(now) {
		return
	}
	n.strainedAt = now
	n.warn("process-strained", Field{"wait", ms(wait)}, Field{"jobs", n.gateway.InFlight()})
	n.view.RecordStarvation()
	n.heartbeatAll(now)
	n.follow(now)
}
