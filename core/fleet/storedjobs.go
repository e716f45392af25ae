package fleet

// A scheduler that takes over must own and read the stored jobs before it may
// forget what runners list of jobs that it doesn't know. In a deployment without
// stored jobs that would cost calls to the store, and hold it up for nothing
// whenever the store is away. So the processes tell each other whether there are
// any.

// StoredJobs is what a process knows about stored jobs in the deployment.
type StoredJobs uint8

// What is known about stored jobs.
const (
	// StoredJobsUnknown: there may be some.
	StoredJobsUnknown StoredJobs = iota
	// NoStoredJobs: the store had none, and none has been handed in since.
	NoStoredJobs
	// HasStoredJobs: there are, or were, some.
	HasStoredJobs
)

var storedJobsNames = [...]string{"unknown", "none", "some"}

// String is for logs.
func (k StoredJobs) String() string { return storedJobsNames[k] }

// StoredJobsRead tells whether the store has any stored jobs, as it was read.
func (n *Node) StoredJobsRead(now Time, any bool) {
	if any {
		n.learnStored(now, HasStoredJobs)
		return
	}
	n.learnStored(now, NoStoredJobs)
}

// learnStored takes another process's knowledge, or what has been read.
func (n *Node) learnStored(now Time, known StoredJobs) {
	if known <= n.stored {
		return
	}
	n.stored = known
	n.membersChanged(now)
	for _, s := range n.own {
		s.schedule.SetNoStoredJobs(known == NoStoredJobs)
		n.ownRows(now, s)
	}
}

// ownRows takes the rows of a shard that this process leads, if it may have some.
func (n *Node) ownRows(now Time, s *shard) {
	if s.schedule.Leading() && n.stored != NoStoredJobs {
		s.ledger.Acquire(now)
	}
}

// seeStored notes a stored job. All others are told before it is accepted, which
// takes a call to the store.
func (n *Node) seeStored(now Time) {
	if n.stored == HasStoredJobs {
		return
	}
	n.learnStored(now, HasStoredJobs)
	n.heartbeatAll(now)
}
