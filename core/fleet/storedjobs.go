package fleet

import "time"

// A scheduler that takes over must own and read the stored jobs before it may discard runs
// of unknown jobs that runners report. In a deployment without stored jobs that would cost
// calls to the store, and delay the takeover whenever the store is unavailable. Therefore
// heartbeats report whether there are any stored jobs.
//
// That there are none may have ceased to hold unnoticed: a process that was cut off or paused when
// the first stored job was submitted isn't told. So before the end of an unknown run is acknowledged
// the store is read again.

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
	// storedJobsReadInterval is how often the store is read while ends of unknown runs wait for the
	// result.
	storedJobsReadInterval = 100 * time.Millisecond
	// storedJobsRefreshInterval is how often a leader reads it while a VM of the cell is unreachable,
	// which may have accepted stored jobs, and storedJobsMaxAge the age up to which a result holds then.
	storedJobsRefreshInterval = time.Second
	storedJobsMaxAge          = 2 * time.Second
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

// storedJobsRead is the state of the reads of whether the store has stored jobs.
type storedJobsRead struct {
	inFlight bool
	// at is when the last one was requested.
	at Time
	// noneAt is when a call was sent whose result was that there are no stored jobs.
	noneAt Time
}

// StoredJobsRead handles a result of reading the store; nil if the call has failed.
func (n *Node) StoredJobsRead(now Time, r *StoredJobsResult) {
	n.detectStall(now)
	n.storedJobsRead.inFlight = false
	if r == nil {
		return
	}
	if r.Any {
		n.learnStoredJobs(now, HasStoredJobs, "store")
		return
	}
	n.learnStoredJobs(now, NoStoredJobs, "store")
	n.storedJobsRead.noneAt = max(n.storedJobsRead.noneAt, r.SentAt)
	for _, s := range n.own {
		s.schedule.NoStoredJobsAt(now, r.SentAt)
	}
}

// readStoredJobs requests a read of the store while ends of unknown runs wait for it, and at intervals while
// a process that this one can't hear may have accepted stored jobs.
func (n *Node) readStoredJobs(now Time) {
	age := now - n.storedJobsRead.at
	if n.storedJobsRead.inFlight || age < storedJobsReadInterval {
		return
	}
	waiting := 0
	for _, s := range n.own {
		waiting += s.schedule.UnprovenEnds()
	}
	outdated := n.storedJobs == NoStoredJobs && n.Leads() && !n.allReachable() && age >= storedJobsRefreshInterval
	if waiting == 0 && !outdated {
		return
	}
	n.notice("stored-jobs-requested", Field{"known", n.storedJobs.String()}, Field{"unproven-ends", waiting}, Field{"age", ms(now - n.storedJobsRead.noneAt)})
	n.storedJobsRead.inFlight, n.storedJobsRead.at = true, now
	n.emit(ReadStoredJobs{})
}

// certainOfNoStoredJobs reports whether there are no stored jobs: the store has shown it lately, or the leaders of
// the cell are in reach, which know of none, and no process that could lead beside this one is unreachable.
func (n *Node) certainOfNoStoredJobs(now Time) bool {
	if n.storedJobs != NoStoredJobs {
		return false
	}
	if now-n.storedJobsRead.noneAt <= storedJobsMaxAge {
		return true
	}
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

// noteStoredJob records that a stored job exists, and reports it to all other processes in reach.
// Usually they learn it before the job is accepted, since that takes a call to the store.
func (n *Node) noteStoredJob(now Time) {
	if n.storedJobs == HasStoredJobs {
		return
	}
	n.learnStoredJobs(now, HasStoredJobs, "job")
	n.sendHeartbeats(now)
}
