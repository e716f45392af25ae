package fleet

import "time"

// A scheduler that takes over must own and read the stored jobs before it may discard runs
// of unknown jobs that runners report. In a deployment without stored jobs that would cost
// calls to the store, and delay the takeover whenever the store is unavailable. Therefore
// heartbeats report whether there are any stored jobs.
//
// A process that was cut off or paused when the first stored job was submitted doesn't know of it. So the store is
// read again before this process acknowledges the end of a run whose job it doesn't know.

// StoredJobs is what a process knows about the existence of stored jobs in the deployment.
type StoredJobs uint8

// What is known about stored jobs.
const (
	// StoredJobsUnknown: the deployment may have stored jobs.
	StoredJobsUnknown StoredJobs = iota
	// NoStoredJobs: the store had none, and none has been submitted since.
	NoStoredJobs
	// HasStoredJobs: there are stored jobs, or there were.
	HasStoredJobs
)

var storedJobsNames = [...]string{"unknown", "none", "some"}

// String is used in logs.
func (k StoredJobs) String() string { return storedJobsNames[k] }

const (
	// storedJobsReadInterval is how often the store is read while runners have unproven ends.
	storedJobsReadInterval = 100 * time.Millisecond
	// storedJobsRefreshInterval is how often a leader reads it while a VM of the cell is unreachable, which
	// may have accepted stored jobs.
	storedJobsRefreshInterval = time.Second
	// storedJobsMaxAge is how long a result that there are none is relied on while a VM is unreachable.
	storedJobsMaxAge = 2 * time.Second
)

// ReadStoredJobs requests a read of whether the store has stored jobs. Its result is passed to
// StoredJobsRead.
type ReadStoredJobs struct{}

func (ReadStoredJobs) command() {}

// StoredJobsResult is the result of a read of whether the store has stored jobs.
type StoredJobsResult struct {
	// SentAt is when the call was sent.
	SentAt Time
	// Any: the store has stored jobs.
	Any bool
}

// storedJobsCheck is the state of the reads of whether the store has stored jobs.
type storedJobsCheck struct {
	inFlight bool
	// requestedAt is when the latest read was requested.
	requestedAt Time
	// noneAt is when the latest call was sent that found no stored jobs.
	noneAt Time
}

// StoredJobsRead handles a result of reading the store; nil if the call has failed.
func (n *Node) StoredJobsRead(now Time, r *StoredJobsResult) {
	n.detectStall(now)
	n.storedJobsCheck.inFlight = false
	if r == nil {
		return
	}
	if r.Any {
		n.learnStoredJobs(now, HasStoredJobs, "store")
		return
	}
	n.learnStoredJobs(now, NoStoredJobs, "store")
	n.storedJobsCheck.noneAt = max(n.storedJobsCheck.noneAt, r.SentAt)
	for _, s := range n.own {
		s.schedule.NoStoredJobsAt(now, r.SentAt)
	}
}

// readStoredJobs requests a read of the store while runners have unproven ends, and at intervals while an unreachable
// process may have accepted stored jobs.
func (n *Node) readStoredJobs(now Time) {
	check := &n.storedJobsCheck
	age := now - check.requestedAt
	if check.inFlight || age < storedJobsReadInterval {
		return
	}
	runners := 0
	for _, s := range n.own {
		runners += s.schedule.RunnersWithUnprovenEnds()
	}
	outdated := n.storedJobs == NoStoredJobs && n.Leads() && !n.allReachable() && age >= storedJobsRefreshInterval
	if runners == 0 && !outdated {
		return
	}
	n.notice("stored-jobs-requested",
		Field{"known", n.storedJobs.String()}, Field{"runners", runners}, Field{"age", ms(now - check.noneAt)})
	check.inFlight, check.requestedAt = true, now
	n.emit(ReadStoredJobs{})
}

// certainOfNoStoredJobs reports whether there are no stored jobs: the store has shown it lately, or no leader of the
// cell can have accepted one without this process's knowledge.
func (n *Node) certainOfNoStoredJobs(now Time) bool {
	if n.storedJobs != NoStoredJobs {
		return false
	}
	return now-n.storedJobsCheck.noneAt <= storedJobsMaxAge || n.hearsLeaders()
}

// hearsLeaders reports whether each leader of the cell is reachable, and none can lead beside this process unheard.
func (n *Node) hearsLeaders() bool {
	for _, s := range n.own {
		if s.choice.Leader == "" || !s.choice.Reachable || s.leading() && !n.allReachable() {
			return false
		}
	}
	return len(n.own) > 0
}

// learnStoredJobs applies what another process reports or what has been read.
func (n *Node) learnStoredJobs(now Time, known StoredJobs, source string) {
	if known <= n.storedJobs {
		return
	}
	n.notice("stored-jobs-known", Field{"known", known.String()}, Field{"before", n.storedJobs.String()}, Field{"source", source})
	n.storedJobs = known
	n.membersChanged(now)
	for _, s := range n.own {
		s.schedule.SetNoStoredJobs(known == NoStoredJobs)
		n.acquireRows(now, s)
	}
}

// acquireRows begins to claim ownership of the rows of a shard that this process leads,
// unless there are no stored jobs.
func (n *Node) acquireRows(now Time, s *shard) {
	if s.schedule.Leading() && n.storedJobs != NoStoredJobs {
		s.ledger.Acquire(now)
	}
}

// noteStoredJob records that a stored job exists, and reports it to all connected processes.
func (n *Node) noteStoredJob(now Time) {
	if n.storedJobs == HasStoredJobs {
		return
	}
	n.learnStoredJobs(now, HasStoredJobs, "job")
	n.sendHeartbeats(now)
}
