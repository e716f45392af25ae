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
// can't be alive any more because its lease expired long enough ago (see silence.go).
//
// Terms:
//
//   - A run is one start of a task on a runner. Its end is the runner's record of how it ended; the
//     runner lists the end until a scheduler acknowledges it.
//   - An orphan is a run that belongs to no task here: its job isn't known or was dropped, or its
//     task is done or has another run. It is a foreign orphan if another scheduler started it. If
//     its job arrives, the run is adopted: it becomes the current run of its task.
//   - A run lapses when its lease expires: the runner lists it as ended for that reason, or has been
//     silent until the run can't be alive any more.
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
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/ordered"
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
	// forgotten are the runners that were dropped since they had left the list, and that may still have runs.
	forgotten []*runner
	// unlistedReportedAt is when the unlisted runners in use were last reported, and unreported is set
	// while one of them waits for that.
	unlistedReportedAt Time
	unreported         bool
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
	// loggedMissing are the runners of each service whose lists were missing when that was last logged.
	loggedMissing map[string][]workload.RunnerID
	// handoverListsAt is the time of the lists that jobs which another scheduler had wait for: runners whose
	// last list is older are asked for a new one. handoverListsDue are such times to come.
	handoverListsAt  Time
	handoverListsDue []Time
	// allSilentRunsOverAt is when no prior run of any job can be alive any more on a silent runner, and
	// priorRuns are those of jobs that were given up.
	allSilentRunsOverAt Time
	priorRuns           map[workload.JobID]priorRuns
	// possibleRuns are the jobs that the shard's leader has named, and until when a run of them may live.
	possibleRuns map[workload.JobID]Time
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
	// heardAt is when this process sent the newest message that each entry process reports to have received. It has
	// none of processes that don't report that.
	heardAt map[EntryID]Time
	// ranJobs are jobs without an outcome of which tasks have run, or may have run under an
	// earlier scheduler.
	ranJobs map[workload.JobID]ranJob
	// unstored are jobs that are known not to be stored ones, for a while after they have
	// ended.
	unstored  map[workload.JobID]Time
	expiredAt Time
	// doneWithoutJob are tasks that runners list as done and whose jobs aren't known.
	doneWithoutJob map[workload.TaskName]doneRun

	rows rows
	// refreshedAt is when RefreshEntries was last issued.
	refreshedAt Time
	// refused are the stored jobs that were refused in the last resultRetention.
	refused refusedJobs
	// alternate is the other shard in which a job would wait least, for alternateWait; -1 if
	// there is none.
	alternate     int
	alternateWait time.Duration
	// epochMs is the time of day at time 0, in milliseconds since 1970.
	epochMs int64

	// drops are the runs that were dropped in the last dropRetention.
	drops     dropMemory
	lostRuns  lostRuns
	borrowing borrowing
	resent    resentJobs
	// grants are the promises of room to jobs of other shards.
	grants map[workload.JobID]grant

	out []Command
	ctr Counters
}

// doneRun is a run that has ended successfully and whose job isn't known.
type doneRun struct {
	// number is the run's number; 0 if another scheduler has reported that the task is done.
	number int
	// at is when that was recorded.
	at Time
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
		heardAt:        make(map[EntryID]Time),
		unreachable:    make(map[string]Time),
		ranJobs:        make(map[workload.JobID]ranJob),
		unstored:       make(map[workload.JobID]Time),
		priorRuns:      make(map[workload.JobID]priorRuns),
		possibleRuns:   make(map[workload.JobID]Time),
		doneWithoutJob: make(map[workload.TaskName]doneRun),
		drops:          newDropMemory(),
		lostRuns:       make(lostRuns),
		borrowing:      newBorrowing(),
		grants:         make(map[workload.JobID]grant),
		rows:           newRows(),
		refused:        newRefusedJobs(),
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

// Lead makes the scheduler leader: it acquires all runners that it knows. Those that left the platform's list a while ago
// are only asked for their runs: they may answer, but other processes don't know them any more.
func (s *Scheduler) Lead(now Time) {
	s.now = now
	if s.leading {
		return
	}
	s.forgetRunners()
	s.leading = true
	s.yielding = false
	s.leadingSince = now
	s.uncertainUntil = now + takeoverWindow
	s.loggedMissing = make(map[string][]workload.RunnerID)
	s.term++
	s.noteSilentRunsOver(silentRunsOver(now + maxPriorRunLife))
	s.applyPossibleRuns()
	for _, r := range s.runnerList {
		s.acquire(r)
	}
	s.recallRunners()
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
		s.noteLostRuns(r)
		if len(r.runs) > 0 {
			r.retainUntil = max(r.retainUntil, now+s.cfg.Resend)
		}
		r.release()
	}
	for id, j := range s.jobs {
		s.noteRan(j)
		s.remove(id)
	}
	s.queue = nil
	s.borrowing.request = nil
	clear(s.grants)
	clear(s.doneWithoutJob)
	s.dropRows()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return ordered.Keys(m) }
