// Package schedule decides which task runs where and when. A Scheduler owns
// runners by fencing tokens and leases, takes whole jobs from entry VMs, starts
// their tasks, restarts what was lost, and gives the final word on each job.
//
// It does no input or output and reads no clock: events and the time go in by
// its methods, commands come out of Ready, in the order in which they are to be
// carried out.
//
// What it knows is soft. The runners list what runs and what ended, and entry
// VMs keep the jobs that they answer for. A scheduler that takes over raises
// the fencing token of each runner, reads the lists, and is handed the jobs
// again; it goes on with what runs.
//
// Safety rests on leases measured on the runners' own clocks. A task is started
// again only if its last run is listed as ended, was stopped by an order that
// the runner answered, or can't be alive any more since its lease has lapsed.
package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// EntryID names one lifetime of an entry process: its VM and its number, with a
// '#' between.
type EntryID string

// VM is the VM of the process.
func (e EntryID) VM() string {
	vm, _, _ := strings.Cut(string(e), "#")
	return vm
}

// Config is the limits of a scheduler.
type Config struct {
	// ProcessNumber tells this process's fencing tokens from those of all others.
	ProcessNumber uint64
	// Lease is how long a run lives without a renewal, and so the time until
	// the work of a runner that fell silent is started elsewhere.
	//
	// It must be longer than the time after which this process misses an entry
	// VM, plus HoldWait. Otherwise, when a failure domain is cut off, this
	// scheduler would start a task of a job from there again shortly before it
	// drops that job, while the scheduler on the other side goes on with the
	// run that it found.
	Lease time.Duration
	// HoldWait is the longest that a runner may keep a renewal unanswered
	// while nothing ends. Lease must span two renewals and a timeout.
	HoldWait time.Duration
	// StopTimeout is the longest that a runner takes to stop a run.
	StopTimeout time.Duration
	// Resend is the earliest that a caller whose entry VM died sends its job
	// again.
	Resend time.Duration
	// Retention is how long callers may ask for the outcome of a stored job.
	Retention time.Duration
	// RemoteFactor is how many times as long a task takes away from its rack.
	RemoteFactor float64
}

// DefaultConfig returns the usual limits.
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
	// CallTimeout is how long an order may stay unanswered. Runners answer
	// within three milliseconds; each more that is waited is lost to the task.
	CallTimeout = 50 * time.Millisecond
	// timeoutFactor and timeoutMost let the timeout grow with what orders take,
	// this process's own delays included. A scheduler that falls behind would
	// otherwise take late answers for none, send more orders and open new
	// connections, and fall behind for good.
	timeoutFactor = 5
	timeoutMost   = 400 * time.Millisecond
	// latencyWeight is the weight of the latest order in the average.
	latencyWeight = 0.05
	// startTries is how often a start is sent to the same runner under the same
	// run number, which starts it once at most.
	startTries = 2
	// clockDriftPercent is how much slower than ours a runner's clock may be.
	clockDriftPercent = 2
	// leaseMargin covers the delay between reading our clock and sending.
	leaseMargin = 50 * time.Millisecond
	// idleCheck is how often an idle runner is looked at, so that a job
	// doesn't find out first that it is dead.
	idleCheck = time.Second
	// fencedWait is how long a runner is left to another scheduler that has
	// taken it. Mostly that one takes over, and says so in its next heartbeat;
	// taking the runner back at once would only hold it up.
	fencedWait = 150 * time.Millisecond
	// reacquireWait is the same for a runner that this scheduler itself took
	// only a while ago. Two that can't hear each other so change it seldom.
	reacquireWait = 1500 * time.Millisecond
	// settleTime is how long after taking over it isn't known yet what the
	// runners can take, and their connections aren't open.
	settleTime = time.Second
	// settleTimeout is CallTimeout for that time: some hundred calls and new
	// connections at once keep a small VM busy for a tenth of a second.
	settleTimeout = 250 * time.Millisecond
	// termStep raises the term after a runner has refused a token, and doubles
	// termDoublings times at most.
	termStep      = 16
	termDoublings = 10
	// orphanGrace is how long a run without a job is kept for the entry VM
	// that hands its job in again, within some milliseconds of a takeover.
	orphanGrace = 150 * time.Millisecond
	// abandonedGrace is how long the runs of a job go on whose entry process
	// has ended. It must end before the caller sends the job again, perhaps
	// to a scheduler that can't see these runs.
	abandonedGrace = 900 * time.Millisecond
	// limboWait is how long a job may wait for this scheduler to lead.
	limboWait = 700 * time.Millisecond
	// resultRetention is how long outcomes are kept for jobs sent again.
	resultRetention = 60 * time.Second
	// unsureWindow is how long after another scheduler was in charge a job may
	// come that it had: callers wait up to 2.7 s.
	unsureWindow = 4 * time.Second
	// UnreachableTimeout is how long a silent process is thought to be alive behind a
	// cut; VMs that are lost for good don't come back.
	UnreachableTimeout = 30 * time.Second
	// entryFresh is how lately an entry VM must have been heard for its tasks to
	// be started, in heartbeats two: it misses a scheduler after three, counted from
	// one heartbeat earlier at most. Those that have lapsed wait for entryWait then, in which it is heard again or counts as lost. After a cut a run
	// lapses 502 ms after the last heartbeat or later.
	entryFresh = 300 * time.Millisecond
	entryWait  = 300 * time.Millisecond
	// ranRetention is how long it is remembered that something of a job has run:
	// longer than any caller sends it again.
	ranRetention = 15 * time.Second
	// numberBits is the part of a fencing token that names its holder. Two
	// live processes would need start numbers 2^20 apart to share it.
	numberBits = 20
)

// Scheduler is the state machine. It isn't safe for concurrent use.
type Scheduler struct {
	cfg  Config
	now  Time
	term uint64
	// version is the newest version of a row in the store that is known.
	version uint64
	leading bool
	// yielding: another process is about to take over.
	yielding bool
	since    Time
	// latency is how long orders take that don't wait, averaged.
	latency time.Duration

	runners map[workload.RunnerID]*runner
	// list is the runners in the order of their ids.
	list []*runner
	// evacuated are the failure domains that get no new tasks.
	evacuated []string

	jobs  map[workload.JobID]*job
	queue []*job
	// offered is the work that arrives, by service.
	offered map[string]*offeredLoad
	// results are the outcomes of jobs that have ended, oldest first.
	results     map[workload.JobID]result
	resultOrder []workload.JobID
	// cancelled are ids that were cancelled before their jobs came.
	cancelled map[workload.JobID]Time
	// unsureUntil is when this scheduler knows again of all jobs that may come
	// a second time.
	unsureUntil Time
	// awaitUntil is how long jobs that another scheduler had wait for the word of
	// awaited, its process.
	awaitUntil Time
	awaited    EntryID
	// listsWanted is when the latest job came that another scheduler had.
	// Runners that haven't listed their runs since are looked at.
	listsWanted Time
	// missing are VMs whose processes fell silent, by when, and that haven't
	// come back. They may lead on the other side of a cut.
	missing map[string]Time
	// misses: a VM that may be alive isn't heard, perhaps never was.
	misses bool
	// doubt: a VM of another cell is missing, or was of late.
	doubt bool
	// allHeard: all processes of the deployment are heard, without a break since
	// allHeardSince.
	allHeard bool
	// contested: another process is about to lead.
	contested     bool
	allHeardSince Time
	// heard is when each entry process was last heard.
	heard map[EntryID]Time
	// ran are jobs without an outcome of which something is known to have run.
	ran map[workload.JobID]Time
	// unstored are jobs that are known not to be stored ones, for a while after
	// they have ended.
	unstored  map[workload.JobID]Time
	expiredAt Time
	// found are ends of tasks whose jobs aren't known, by the runners' lists.
	found map[workload.TaskName]Time

	custody custody
	// alternate is the other shard in which a job would wait least, -1 if none, and
	// alternateWait for how long.
	alternate     int
	alternateWait time.Duration
	// epochMs is the time of day, in milliseconds since 1970, at time 0.
	epochMs int64

	out []Command
	ctr Counters
}

// Counters are totals since the start.
type Counters struct {
	Submitted, Completed, Failed, Cancelled, Refused, GaveUp uint64
	Starts, Done, FailedRuns, Lapsed, Adopted, Overstayed    uint64
	Fenced, Unanswered                                       uint64
}

// Plus returns the sum.
func (c Counters) Plus(o Counters) Counters {
	return Counters{
		Submitted: c.Submitted + o.Submitted, Completed: c.Completed + o.Completed, Failed: c.Failed + o.Failed,
		Cancelled: c.Cancelled + o.Cancelled, Refused: c.Refused + o.Refused, GaveUp: c.GaveUp + o.GaveUp,
		Starts: c.Starts + o.Starts, Done: c.Done + o.Done, FailedRuns: c.FailedRuns + o.FailedRuns,
		Lapsed: c.Lapsed + o.Lapsed, Adopted: c.Adopted + o.Adopted, Overstayed: c.Overstayed + o.Overstayed,
		Fenced: c.Fenced + o.Fenced, Unanswered: c.Unanswered + o.Unanswered,
	}
}

type result struct {
	outcome workload.Outcome
	at      Time
}

// New returns a scheduler that leads nothing yet.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:       cfg,
		term:      cfg.ProcessNumber,
		runners:   make(map[workload.RunnerID]*runner),
		jobs:      make(map[workload.JobID]*job),
		offered:   make(map[string]*offeredLoad),
		results:   make(map[workload.JobID]result),
		cancelled: make(map[workload.JobID]Time),
		heard:     make(map[EntryID]Time),
		missing:   make(map[string]Time),
		ran:       make(map[workload.JobID]Time),
		unstored:  make(map[workload.JobID]Time),
		found:     make(map[workload.TaskName]Time),
		custody:   newCustody(),
		alternate: -1,
	}
}

// Term is the highest term seen; tokens of a higher term win.
func (s *Scheduler) Term() uint64 { return s.term }

// ObserveTerm notes the term of another scheduler.
func (s *Scheduler) ObserveTerm(term uint64) { s.term = max(s.term, term) }

// ObserveVersion notes a version of a row of the store that was given out of late. The
// numbers of processes, where terms begin, are such versions.
func (s *Scheduler) ObserveVersion(version uint64) { s.version = max(s.version, version) }

// SetProcessNumber sets the number that a process learns when it registers.
func (s *Scheduler) SetProcessNumber(n uint64) {
	s.cfg.ProcessNumber = n
	s.term = max(s.term, n)
}

// Leading reports whether the scheduler owns runners.
func (s *Scheduler) Leading() bool { return s.leading }

// Counters returns the totals.
func (s *Scheduler) Counters() Counters { return s.ctr }

func (s *Scheduler) token() uint64 {
	return s.term<<numberBits | s.cfg.ProcessNumber&(1<<numberBits-1)
}

// Ready returns the commands since the last call.
func (s *Scheduler) Ready() []Command {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

// Lead makes the scheduler take all runners that it knows.
func (s *Scheduler) Lead(now Time) {
	s.now = now
	if s.leading {
		return
	}
	s.leading = true
	s.yielding = false
	s.since = now
	s.unsureUntil = now + unsureWindow
	s.term++
	for _, r := range s.list {
		s.acquire(r)
	}
	s.dispatch()
}

// Yield keeps the scheduler from taking back runners that another one takes,
// since that is to take over.
func (s *Scheduler) Yield() { s.yielding = true }

// callTimeout is how long an order may stay unanswered now.
func (s *Scheduler) callTimeout() time.Duration {
	least := CallTimeout
	if s.now-s.since < settleTime {
		least = settleTimeout
	}
	return min(max(least, timeoutFactor*s.latency), timeoutMost)
}

// took notes how long an order took; one without an answer counts as the time
// that it was waited for.
func (s *Scheduler) took(sentAt Time) {
	if d := s.now - sentAt; d >= 0 {
		s.latency += time.Duration(latencyWeight * float64(d-s.latency))
	}
}

// Retire gives up all runners and jobs without a word to them: another
// scheduler takes the runners with what runs there, and entry VMs hand their
// jobs in to it. Stopping the runs would throw away work that it goes on with.
func (s *Scheduler) Retire(now Time) {
	s.now = now
	if !s.leading {
		return
	}
	s.leading = false
	for _, r := range s.list {
		r.release()
	}
	for _, j := range s.jobs {
		s.noteRan(j)
	}
	clear(s.jobs)
	s.queue = nil
	clear(s.found)
	s.dropCustody()
}

// Pending is the number of jobs of each queue of which no task has started.
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
