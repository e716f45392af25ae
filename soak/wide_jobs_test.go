package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Callers that submit best-effort jobs of many tasks with wrong estimates, give some up, and send them again. So
// runs are stopped in numbers: those that take too long, and those of jobs that nobody waits for.

// Guards against tasks that run twice when overdue runs of one job are stopped together and started elsewhere.
func TestSoakWideJobs(t *testing.T) {
	soakOnly(t, scenario{faults: []fault{noFault}, minRunners: wideRunners, wide: wideJobs{shortShare: 0.4, minOverdue: minOverdueCalm}})
}

// Guards against the same while runners and processes fail, and while jobs arrive again.
func TestSoakWideJobsAndFaults(t *testing.T) {
	soakOnly(t, scenario{
		faults: slices.Concat(faultKinds, listFaults, answerFaults, orderFaults, processFaults, []fault{allPaused, runnersStarved(5), runnersUnresponsive}),
		wide:   wideJobs{shortShare: 0.4, minOverdue: minOverdueWithFaults}, minRunners: wideRunners,
	})
}

const (
	// defaultWideCallers is the number of callers of wide jobs, unless the flag sets it.
	defaultWideCallers = 12
	// wideRunners is the least number of runners, so that the tasks of a job run on many.
	wideRunners = 18
	// minOverdueCalm and minOverdueWithFaults are the least numbers of overdue runs without which a test hasn't
	// tried what it is for.
	minOverdueCalm       = 10
	minOverdueWithFaults = 5

	maxWideTasks     = 12
	wideTaskMilliCPU = 4500
	// minWideRun and maxWideRun bound the run times of wide jobs' tasks. From minShortRun on, a task whose estimate
	// is too short by minShort or more is overdue, unless its runner or its queue is known to be slow.
	minWideRun  = 30 * time.Millisecond
	minShortRun = 530 * time.Millisecond
	maxWideRun  = 930 * time.Millisecond
	// Estimates that are far too short are so by a factor from minShort to maxError. The others are too long, at
	// most by maxError.
	minShort = 5.0
	maxError = 6.0
	// wideTimeout is how long a caller waits for a job; one in giveUpOneIn callers gives up between minPatience
	// and maxPatience. resendTimeout is the time after its first request from which a job isn't sent again.
	wideTimeout   = 1500 * time.Millisecond
	giveUpOneIn   = 4
	minPatience   = 50 * time.Millisecond
	maxPatience   = 650 * time.Millisecond
	resendTimeout = 7 * time.Second
	// maxWidePause bounds the time between two jobs of a caller.
	maxWidePause = 200 * time.Millisecond
	// firstWideCaller is the number in the ids of the first caller's jobs. It is far above those of other
	// callers and, as those that follow, belongs to best-effort jobs, see isStored.
	firstWideCaller = 3001
)

// wideJobs says how wrong the estimates of wide jobs are. There are no such jobs if shortShare is 0.
type wideJobs struct {
	// shortShare is the share of jobs whose estimates are far too short. Those of the others are too long, since
	// a process would learn from errors that all have in common.
	shortShare float64
	// minOverdue is the least number of overdue runs of a test.
	minOverdue int
}

// noFault leaves a world as it is.
var noFault = fault{"none", func(*world) {}}

// allPaused pauses all entry processes together.
var allPaused = fault{"all paused", func(w *world) {
	d := w.randomDuration(100, 1500)
	for _, n := range w.nodes {
		n.signal(syscall.SIGSTOP)
		w.runAfter(d, func() { n.signal(syscall.SIGCONT) })
	}
}}

// wideCaller is a caller of wide jobs. Its random choices are its own, so that they follow from the seed.
type wideCaller struct {
	world  *world
	rng    *rand.Rand
	number int
	stop   chan struct{}
}

// startWideCallers starts the callers of wide jobs, if the scenario has any.
func (w *world) startWideCallers() *callerGroup {
	group := &callerGroup{stop: make(chan struct{})}
	if w.wide.shortShare == 0 {
		return group
	}
	for i := range cmp.Or(*callers, w.callers, defaultWideCallers) {
		number := firstWideCaller + 3*i
		c := &wideCaller{world: w, rng: w.callerRand(number, 0), number: number, stop: group.stop}
		group.done.Go(c.run)
	}
	return group
}

// callerRand returns a source of random numbers for a caller, or for one of its jobs.
func (w *world) callerRand(caller, job int) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, uint64(caller)<<32|uint64(job)))
}

// run submits one job after another.
func (c *wideCaller) run() {
	for k := 0; c.wait(c.duration(0, maxWidePause)); k++ {
		c.callOnce(c.job(k))
	}
}

// wait waits, and reports whether the caller goes on.
func (c *wideCaller) wait(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *wideCaller) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)))
}

// wideJob is a job of one step.
type wideJob struct {
	id                string
	tasks             int
	runTime, estimate time.Duration
}

// job draws the caller's next job.
func (c *wideCaller) job(k int) wideJob {
	runTime, estimate := c.times()
	return wideJob{
		id:       fmt.Sprintf("%08x%08x", c.number, k),
		tasks:    1 + c.rng.IntN(maxWideTasks),
		runTime:  runTime,
		estimate: max(time.Millisecond, estimate),
	}
}

// times draws the run time of a job's tasks and its estimate.
func (c *wideCaller) times() (runTime, estimate time.Duration) {
	if c.rng.Float64() < c.world.wide.shortShare {
		runTime = c.duration(minShortRun, maxWideRun)
		return runTime, time.Duration(float64(runTime) / c.factor(minShort, maxError))
	}
	runTime = c.duration(minWideRun, maxWideRun)
	return runTime, time.Duration(float64(runTime) * c.factor(1, maxError))
}

func (c *wideCaller) factor(from, to float64) float64 { return from + c.rng.Float64()*(to-from) }

// callOnce submits a job, and again for as long as its outcome is unknown.
func (c *wideCaller) callOnce(j wideJob) {
	begin := time.Now()
	for tries := 1; time.Since(begin) < resendTimeout; tries++ {
		n := c.world.nodes[c.rng.IntN(len(c.world.nodes))]
		status, body := c.world.submitWide(n, j, c.patience())
		c.world.checker.checkAnswer(j.id, j.tasks, status, tries, body)
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return
		}
		if !c.wait(resendInterval) {
			return
		}
	}
}

// patience draws how long the caller waits for an answer.
func (c *wideCaller) patience() time.Duration {
	if c.rng.IntN(giveUpOneIn) == 0 {
		return c.duration(minPatience, maxPatience)
	}
	return wideTimeout
}

// submitWide submits a job and waits for its answer for as long as the caller's patience lasts. The request says
// that the caller waits for wideTimeout.
func (w *world) submitWide(n *node, j wideJob, patience time.Duration) (int, string) {
	body := fmt.Sprintf(`{"spec":"%dms","steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}],"bestEffort":true}`,
		j.runTime.Milliseconds(), j.tasks, wideTaskMilliCPU, j.estimate.Milliseconds())
	return w.requestWithin(n, http.MethodPost, j.id, body, wideTimeout, patience)
}

// isWide reports whether a job is one of a wideCaller.
func isWide(job string) bool {
	caller, ok := callerOf(job)
	return ok && caller >= firstWideCaller && caller < maxWideCaller
}

// maxWideCaller is above the numbers of all callers of wide jobs.
const maxWideCaller = 1 << 16

// stopCounts are numbers of runs that ended otherwise than by themselves, by the logs.
type stopCounts struct {
	overdue, lapsed int
	// ranTwice is how often a process found a dropped run alive beside another run of its task.
	ranTwice int
	// stopped and dropped are by reason.
	stopped, dropped map[string]int
}

func (s stopCounts) String() string {
	return fmt.Sprintf("runs overdue %d, lapsed %d, found beside another one %d, stopped %v, dropped %v",
		s.overdue, s.lapsed, s.ranTwice, s.stopped, s.dropped)
}

var stopOrReason = regexp.MustCompile(`event=(run-stop-ordered|run-dropped) .*?\breason=("[^"]*"|\S+)`)

// countStops counts the runs that were stopped or dropped.
func (w *world) countStops() stopCounts {
	counts := map[string]map[string]int{"run-stop-ordered": {}, "run-dropped": {}}
	for _, n := range w.nodes {
		for _, m := range stopOrReason.FindAllSubmatch(n.log.bytes(), -1) {
			counts[string(m[1])][string(m[2])]++
		}
	}
	return stopCounts{
		overdue: w.countEvents("run-overdue"), lapsed: w.countEvents("run-lapsed"), ranTwice: w.countEvents("task-ran-twice"),
		stopped: counts["run-stop-ordered"], dropped: counts["run-dropped"],
	}
}
