package schedule

import "time"

// Config holds the limits of a scheduler.
type Config struct {
	// ProcessNumber distinguishes this process's fencing tokens from those of all others.
	ProcessNumber uint64
	// Lease is how long a run lives without a renewal. The work of an unreachable runner is started
	// elsewhere lateEndMargin later, since runners on busy hosts end their runs late.
	//
	// Both together must be longer than HoldWait plus the time after which this process counts an
	// entry VM as lost. Otherwise, when a failure domain is cut off, this scheduler would restart a
	// task of a job from there shortly before it drops that job, while the scheduler on the
	// other side continues with the run that it found.
	Lease time.Duration
	// HoldWait is the longest that a runner may delay the answer to a renewal while no run
	// ends. Lease must span two renewals and a timeout; where the timeout has grown, the delay is
	// shorter.
	HoldWait time.Duration
	// StopTimeout is the longest that a runner takes to stop a run.
	StopTimeout time.Duration
	// Resend is the shortest time after which a caller whose entry VM died sends its job
	// again.
	Resend time.Duration
	// Retention is how long callers may query the outcome of a stored job.
	Retention time.Duration
	// RemoteFactor is the factor by which a task takes longer outside its preferred rack.
	RemoteFactor float64
	// Memory bounds what the jobs take; all schedulers of a process share it. nil is no bound.
	Memory *Memory
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		Lease:        500 * time.Millisecond,
		HoldWait:     150 * time.Millisecond,
		StopTimeout:  50 * time.Millisecond,
		Resend:       1300 * time.Millisecond,
		Retention:    120 * time.Second,
		RemoteFactor: 3,
	}
}

const (
	// CallTimeout is the timeout of an order. Runners answer within three milliseconds; any
	// longer wait delays the task.
	CallTimeout = 50 * time.Millisecond
	// timeoutFactor and maxTimeout let the timeout grow with the measured latency of orders,
	// which includes this process's own delays. Otherwise a scheduler that falls behind would
	// treat late answers as missing, send more orders, open new connections and never catch
	// up.
	timeoutFactor = 5
	maxTimeout    = 400 * time.Millisecond
	// latencyWeight is the weight of the latest order in the averaged latency.
	latencyWeight = 0.05
	// maxStartAttempts is how often a start is sent to the same runner under the same run
	// number. The runner starts that run at most once.
	maxStartAttempts = 2
	// clockDriftPercent is how much slower than this process's clock a runner's may be.
	clockDriftPercent = 2
	// leaseMargin covers the delay between reading this process's clock and sending.
	leaseMargin = 50 * time.Millisecond
	// lateEndMargin is how much later than its lease, or than StopTimeout, a runner may end a run.
	lateEndMargin = 110 * time.Millisecond
	// idleCheckInterval is how often an idle runner is checked, so that a failed one is
	// noticed before a job is placed on it.
	idleCheckInterval = time.Second
	// reacquireDelay is how long a runner is left to another scheduler that has taken it.
	// Usually that scheduler is about to become leader, and its next heartbeat says so; taking
	// the runner back at once would only delay the takeover.
	reacquireDelay = 150 * time.Millisecond
	// contestedReacquireDelay is the same for a runner that this scheduler acquired only
	// recently. It limits how often a runner alternates between two schedulers that can't
	// reach each other.
	contestedReacquireDelay = 1500 * time.Millisecond
	// warmUpTime is how long after a takeover the runners' capacity is unknown and the
	// connections to them aren't open yet.
	warmUpTime = time.Second
	// warmUpTimeout replaces CallTimeout for that time: some hundred calls and new
	// connections at once occupy a small VM for a tenth of a second.
	warmUpTimeout = 250 * time.Millisecond
	// termStep is added to the term after a runner has refused a token. It doubles with
	// each refusal, maxTermDoublings times at most.
	termStep         = 16
	maxTermDoublings = 10
	// orphanGrace is how long an orphan is left running. After a takeover the entry VM hands
	// its job in again within some milliseconds.
	orphanGrace = 150 * time.Millisecond
	// abandonedGrace is how long the runs of a job go on after its entry process has ended or
	// has withdrawn the job. The last lease in that time must be over too before the job is
	// started by a scheduler that can't see these runs: Resend after its caller lost the entry
	// process, or after the job was withdrawn.
	abandonedGrace = 550 * time.Millisecond
	// leadershipTimeout is how long a job may wait for this scheduler to become leader.
	leadershipTimeout = 700 * time.Millisecond
	// resultRetention is how long outcomes are retained for jobs that are sent again.
	resultRetention = 60 * time.Second
	// takeoverWindow is how long after another scheduler was leader copies of its jobs may
	// arrive: callers wait up to 2.7 s.
	takeoverWindow = 4 * time.Second
	// UnreachableTimeout is how long an unreachable process is presumed to be alive beyond a
	// network partition; VMs that are lost for good don't come back.
	UnreachableTimeout = 30 * time.Second
	// maxHeartbeatAge is the age of an entry VM's last heartbeat up to which tasks of its jobs
	// are started. It is two heartbeat intervals: an entry VM counts a scheduler as lost after
	// three, counted from one heartbeat earlier at most.
	maxHeartbeatAge = 300 * time.Millisecond
	// maxEchoAge is how long ago this process sent, at most, the newest message that an entry VM is known to have
	// received, while tasks of its jobs are started. The VM counts this process as lost maxSilence after that message
	// arrived; the difference is left for orders under way. Usually the age is up to one and a half heartbeat
	// intervals, so that a lost heartbeat holds no starts back.
	maxEchoAge = 400 * time.Millisecond
	// entryRecoveryDelay is how long a task waits whose run lapses when the last heartbeat of
	// its entry VM is older than maxHeartbeatAge, or the newest one that the VM has received is older than
	// maxEchoAge. In that time a message of the entry VM arrives or it counts as lost. After a partition a
	// run lapses 510 ms after the last heartbeat or later.
	entryRecoveryDelay = 300 * time.Millisecond
	// ranRetention is how long the scheduler remembers that a task of a job has run: longer
	// than callers go on sending the job again.
	ranRetention = 15 * time.Second
	// numberBits is the width of the process number in a fencing token. Two live processes
	// would need process numbers 2^20 apart to share a token.
	numberBits = 20
)
