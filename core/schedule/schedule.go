// Package schedule decides where and when each task runs. A Scheduler owns runners by
// fencing tokens and leases, accepts whole jobs from entry VMs, starts their tasks, restarts
// tasks whose runs were lost, and reports the final outcome of each job.
//
// It does no input or output and reads no clock: its methods take events and the time,
// and Ready returns the commands in the order in which they must be carried out.
//
// Its state can be rebuilt. Runners list what runs and what has ended, and entry VMs keep
// the jobs that they are responsible for. A scheduler that takes over raises the fencing
// token of each runner, reads the lists, receives the jobs again and continues with the
// runs that it finds.
//
// Safety rests on leases measured on the runners' own clocks. A task is started again only
// if its last run is listed as ended, was stopped by an order that the runner answered, or
// can't be alive any more because its lease has expired.
//
// Terms:
//
//   - A run is one start of a task on a runner. Its end is the runner's record of how it ended; the
//     runner lists the end until a scheduler acknowledges it.
//   - An orphan is a run that belongs to no task here: its job isn't known or was dropped, or its
//     task is done or has another run. It is a foreign orphan if another scheduler started it. If
//     its job arrives, the run is adopted: it becomes the current run of its task.
//   - A run lapses when its lease expires: the runner lists it as ended for that reason, or was
//     silent for longer than the lease can last.
//   - Prior runs of a job are those that earlier schedulers may have started.
//   - A copy of a job is another submission with the same id, by the caller or by an entry VM.
//   - A stored job is saved in the platform's store before it is accepted. The owner of the
//     shard's rows in the store is responsible for it, not an entry VM.
//   - A foreign job belongs to another shard, and was handed in here because that shard has no
//     room or no reachable leader.
//   - A job is late if it has waited too long to end within its latency objective, and worthless
//     if its answer would come when it has no value to the caller any more.
package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/pace"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// EntryID names one incarnation of an entry process: its VM and its process number,
// separated by '#'.
type EntryID string

// VM returns the VM of the process.
func (e EntryID) VM() string {
	vm, _, _ := strings.Cut(string(e), "#")
	return vm
}

// Config holds the limits of a scheduler.
type Config struct {
	// ProcessNumber distinguishes this process's fencing tokens from those of all others.
	ProcessNumber uint64
	// Lease is how long a run lives without a renewal, and so the time after which the work
	// of an unreachable runner is started elsewhere.
	//
	// It must be longer than HoldWait plus the time after which this process counts an entry
	// VM as lost. Otherwise, when a failure domain is cut off, this scheduler would restart a
	// task of a job from there shortly before it drops that job, while the scheduler on the
	// other side continues with the run that it found.
	Lease time.Duration
	// HoldWait is the longest that a runner may delay the answer to a renewal while no run
	// ends. Lease must span two renewals and a timeout.
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
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		Lease:        600 * time.Millisecond,
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
	// abandonedGrace is how long the runs of a job go on after its entry process has ended.
	// It must end before the caller sends the job again, perhaps to a scheduler that can't
	// see these runs.
	abandonedGrace = 900 * time.Millisecond
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
	// entryRecoveryDelay is how long a task waits whose run lapses when the last heartbeat of
	// its entry VM is older than maxHeartbeatAge. In that time a message of the entry VM
	// arrives or it counts as lost. After a partition a run lapses 502 ms after the last heartbeat
	// or later.
	entryRecoveryDelay = 300 * time.Millisecond
	// ranRetention is how long the scheduler remembers that a task of a job has run: longer
	// than callers go on sending the job again.
	ranRetention = 15 * time.Second
	// numberBits is the width of the process number in a fencing token. Two live processes
	// would need process numbers 2^20 apart to share a token.
	numberBits = 20
)

// Scheduler is the state machine of one shard. It isn't safe for concurrent use.
type Scheduler struct {
	cfg  Config
	now  Time
	term uint64
	// version is the newest known version of a row in the store.
	version uint64
	leading bool
	// yielding is set while another process is about to take over.
	yielding     bool
	leadingSince Time
	// callLatency is the averaged latency of orders that runners answer at once.
	callLatency time.Duration

	runners map[workload.RunnerID]*runner
	// runnerList holds the runners in the order of their ids.
	runnerList []*runner
	// evacuated are the failure domains that get no new tasks.
	evacuated []string

	jobs  map[workload.JobID]*job
	queue []*job
	// offered is the arriving work, by service.
	offered map[string]*offeredLoad
	// learned holds what is learned from finished runs.
	learned *pace.Book
	// results are the outcomes of ended jobs that aren't stored; resultOrder has their ids,
	// oldest first.
	results     map[workload.JobID]result
	resultOrder []workload.JobID
	// cancelled are ids that were cancelled before their jobs arrived.
	cancelled map[workload.JobID]Time
	// uncertainUntil is when copies of jobs that an earlier scheduler had can't arrive any
	// more.
	uncertainUntil Time
	// progressWaitUntil is until when jobs that another scheduler had wait for the Progress
	// of the process progressFrom.
	progressWaitUntil Time
	progressFrom      EntryID
	// latestHandoverAt is when the latest job arrived that another scheduler had. Runners
	// whose last list is older are asked for a new one.
	latestHandoverAt Time
	// unreachable holds the VMs whose processes became unreachable and haven't come back,
	// and since when. They may lead on the other side of a network partition.
	unreachable map[string]Time
	// anyUnreachable: a VM that may be alive is unreachable. It may never have been reachable.
	anyUnreachable bool
	// otherCellUnreachable: a VM of another cell is unreachable, or was recently.
	otherCellUnreachable bool
	// allReachable: all processes of the deployment have been reachable since
	// allReachableSince without a break.
	allReachable bool
	// contested is set while another process is about to become leader.
	contested         bool
	allReachableSince Time
	// lastContact is when each entry process last sent a message.
	lastContact map[EntryID]Time
	// ranJobs are jobs without an outcome of which tasks have run, or may have run under an
	// earlier scheduler, and when that was last recorded.
	ranJobs map[workload.JobID]Time
	// unstored are jobs that are known not to be stored ones, for a while after they have
	// ended.
	unstored  map[workload.JobID]Time
	expiredAt Time
	// doneWithoutJob are tasks that runners list as done and whose jobs aren't known.
	doneWithoutJob map[workload.TaskName]Time

	rows rows
	// alternate is the other shard in which a job would wait least, for alternateWait; -1 if
	// there is none.
	alternate     int
	alternateWait time.Duration
	// epochMs is the time of day at time 0, in milliseconds since 1970.
	epochMs int64

	borrowing borrowing
	// grants are the rooms promised to jobs of other shards.
	grants map[workload.JobID]grant

	out []Command
	ctr Counters
}

// Counters are totals since the start of the process. Cancelled includes jobs whose callers left.
// Refused and GaveUp count the outcomes NotRun and GaveUp. Done counts tasks, Lapsed runs whose
// lease expired, Adopted the adopted orphans, and Overstayed the runs that were stopped as overdue.
// Fenced counts the runners that have accepted another scheduler's higher token, and Unanswered
// the orders without an answer.
type Counters struct {
	Submitted, Completed, Failed, Cancelled, Refused, GaveUp uint64
	Starts, Done, FailedRuns, Lapsed, Adopted, Overstayed    uint64
	Fenced, Unanswered                                       uint64
	Lending                                                  LendingCounters
}

// Plus returns the sum.
func (c Counters) Plus(o Counters) Counters {
	return Counters{
		Submitted: c.Submitted + o.Submitted, Completed: c.Completed + o.Completed, Failed: c.Failed + o.Failed,
		Cancelled: c.Cancelled + o.Cancelled, Refused: c.Refused + o.Refused, GaveUp: c.GaveUp + o.GaveUp,
		Starts: c.Starts + o.Starts, Done: c.Done + o.Done, FailedRuns: c.FailedRuns + o.FailedRuns,
		Lapsed: c.Lapsed + o.Lapsed, Adopted: c.Adopted + o.Adopted, Overstayed: c.Overstayed + o.Overstayed,
		Fenced: c.Fenced + o.Fenced, Unanswered: c.Unanswered + o.Unanswered,
		Lending: c.Lending.Plus(o.Lending),
	}
}

// result is the outcome of an ended job, and since when it is retained.
type result struct {
	outcome workload.Outcome
	at      Time
}

// New returns a scheduler that isn't leader.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:            cfg,
		term:           cfg.ProcessNumber,
		runners:        make(map[workload.RunnerID]*runner),
		jobs:           make(map[workload.JobID]*job),
		offered:        make(map[string]*offeredLoad),
		learned:        pace.NewBook(),
		results:        make(map[workload.JobID]result),
		cancelled:      make(map[workload.JobID]Time),
		lastContact:    make(map[EntryID]Time),
		unreachable:    make(map[string]Time),
		ranJobs:        make(map[workload.JobID]Time),
		unstored:       make(map[workload.JobID]Time),
		doneWithoutJob: make(map[workload.TaskName]Time),
		borrowing:      newBorrowing(),
		grants:         make(map[workload.JobID]grant),
		rows:           newRows(),
		alternate:      -1,
	}
}

// Term returns the highest term seen. Tokens of a higher term take precedence.
func (s *Scheduler) Term() uint64 { return s.term }

// ObserveTerm records the term of another scheduler.
func (s *Scheduler) ObserveTerm(term uint64) { s.term = max(s.term, term) }

// ObserveVersion records a recent version of a row of the store. Process numbers, from which
// terms begin, are such versions.
func (s *Scheduler) ObserveVersion(version uint64) { s.version = max(s.version, version) }

// SetProcessNumber sets the number that a process receives when it registers.
func (s *Scheduler) SetProcessNumber(n uint64) {
	s.cfg.ProcessNumber = n
	s.term = max(s.term, n)
}

// Leading reports whether the scheduler acts as leader of its shard.
func (s *Scheduler) Leading() bool { return s.leading }

// Counters returns the totals.
func (s *Scheduler) Counters() Counters { return s.ctr }

// token returns the fencing token of the present term, which begins with the term so that a token
// of a later term is higher.
func (s *Scheduler) token() uint64 {
	return s.term<<numberBits | s.cfg.ProcessNumber&(1<<numberBits-1)
}

// Ready returns the commands since the last call and removes them.
func (s *Scheduler) Ready() []Command {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

// Lead makes the scheduler leader: it acquires all runners that it knows.
func (s *Scheduler) Lead(now Time) {
	s.now = now
	if s.leading {
		return
	}
	s.leading = true
	s.yielding = false
	s.leadingSince = now
	s.uncertainUntil = now + takeoverWindow
	s.term++
	for _, r := range s.runnerList {
		s.acquire(r)
	}
	s.dispatch()
}

// Yield keeps the scheduler from reacquiring runners that another one takes, since that one
// is about to become leader.
func (s *Scheduler) Yield() { s.yielding = true }

// callTimeout returns the present timeout of an order.
func (s *Scheduler) callTimeout() time.Duration {
	minTimeout := CallTimeout
	if s.now-s.leadingSince < warmUpTime {
		minTimeout = warmUpTimeout
	}
	return min(max(minTimeout, timeoutFactor*s.callLatency), maxTimeout)
}

// recordLatency updates the averaged latency. An order without an answer counts with the
// time that was spent waiting.
func (s *Scheduler) recordLatency(sentAt Time) {
	if d := s.now - sentAt; d >= 0 {
		s.callLatency += time.Duration(latencyWeight * float64(d-s.callLatency))
	}
}

// Retire releases all runners and drops all jobs. It doesn't stop their runs, since the next
// leader adopts them; stopping would discard their work. Entry VMs hand their jobs in to that
// leader.
func (s *Scheduler) Retire(now Time) {
	s.now = now
	if !s.leading {
		return
	}
	s.leading = false
	for _, r := range s.runnerList {
		r.release()
	}
	for _, j := range s.jobs {
		s.noteRan(j)
	}
	clear(s.jobs)
	s.queue = nil
	s.borrowing.request = nil
	clear(s.grants)
	clear(s.doneWithoutJob)
	s.dropRows()
}

// Pending returns the number of jobs of each queue of which no task has started.
func (s *Scheduler) Pending() map[string]int {
	n := make(map[string]int)
	for _, j := range s.queue {
		if !j.begun {
			n[j.work.Queue]++
		}
	}
	return n
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
