package fleet

// A scheduler that takes over must own and read the stored jobs before it may discard runs
// of unknown jobs that runners report. In a deployment without stored jobs that would cost
// calls to the store, and delay the takeover whenever the store is unavailable. Therefore
// heartbeats report whether there are any stored jobs.

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

// StoredJobsRead handles the result of reading the store: any says that it has stored jobs.
func (n *Node) StoredJobsRead(now Time, any bool) {
	if any {
		n.learnStoredJobs(now, HasStoredJobs)
		return
	}
	n.learnStoredJobs(now, NoStoredJobs)
}

// learnStoredJobs applies what another process reports or what has been read.
func (n *Node) learnStoredJobs(now Time, known StoredJobs) {
	if known <= n.storedJobs {
		return
	}
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

// noteStoredJob records that a stored job exists, and reports it to all other processes.
// They learn it before the job is accepted, since that takes a call to the store.
func (n *Node) noteStoredJob(now Time) {
	if n.storedJobs == HasStoredJobs {
		return
	}
	n.learnStoredJobs(now, HasStoredJobs)
	n.sendHeartbeats(now)
}
