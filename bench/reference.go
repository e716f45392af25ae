package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// queuedTask is a task in the ideal queue.
type queuedTask struct {
	// priority is the arrival time of the task's job. Tasks with equal priority are served in the
	// order of seq.
	priority time.Duration
	seq      int
	// job is an index in reference.jobs, task one in the job's tasks.
	job  int
	task int
}

// taskHeap has the tasks of the job with the earliest arrival first.
type taskHeap []queuedTask

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(queuedTask)) }
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// reference is the state that the reference policies share.
type reference struct {
	clock
	site  Site
	limit time.Duration
	jobs  []Job
	// unfinished is the number of tasks of each job that have not ended.
	unfinished []int
	result     *Result
	warmup     time.Duration
}

func newReference(name string, site Site, workload Workload, limit time.Duration, jobs []Job) *reference {
	r := &reference{site: site, limit: limit, jobs: jobs, unfinished: make([]int, len(jobs)), result: newResult(name), warmup: workload.Warmup}
	for i, j := range jobs {
		r.unfinished[i] = len(j.Tasks)
		if j.At >= workload.Warmup {
			r.result.Jobs++
			r.result.Tasks += len(j.Tasks)
		}
	}
	return r
}

// pastDeadline reports whether a job's response time limit has passed.
func (r *reference) pastDeadline(job int) bool {
	return r.now > r.jobs[job].At+r.limit
}

// done records the end of a task; the job is complete when its last task is done.
func (r *reference) done(job int, returnDelay time.Duration) {
	r.unfinished[job]--
	j := r.jobs[job]
	response := r.now + returnDelay + r.site.ClientDelay - j.At
	if r.unfinished[job] > 0 || j.At < r.warmup || response > r.limit+2*r.site.ClientDelay {
		return
	}
	r.result.complete(response, r.site.ideal(j))
}

// IdealQueue is the lower bound: one first-come queue over all slots in which each arrival and each end
// takes effect at once and without messages.
func IdealQueue(site Site, workload Workload, limit time.Duration, jobs []Job) *Result {
	r := newReference("one ideal first-come queue", site, workload, limit, jobs)
	var queue taskHeap
	idle := site.totalSlots()
	var serve func()
	serve = func() {
		for idle > 0 && len(queue) > 0 {
			w := heap.Pop(&queue).(queuedTask)
			if r.pastDeadline(w.job) {
				continue
			}
			idle--
			r.after(site.IntraDomainDelay+r.jobs[w.job].Tasks[w.task].Run, func() {
				idle++
				r.done(w.job, site.IntraDomainDelay)
				serve()
			})
		}
	}
	seq := 0
	for i, j := range jobs {
		r.at(j.At+site.ClientDelay, func() {
			for t := range j.Tasks {
				seq++
				heap.Push(&queue, queuedTask{j.At, seq, i, t})
			}
			serve()
		})
	}
	r.run(workload.Length + drainTime)
	return r.result
}

// randomPolicy is the state of the policies that pick upstreams at random without owning slots.
type randomPolicy struct {
	*reference
	rng  *rand.Rand
	busy []int
	// knownLoad is the load of each upstream at each entry: as last reported, plus one for each
	// task sent since.
	knownLoad [][]int
	// pick returns the upstream to which an entry sends a task.
	pick func(entry int) int
}

// The backoff after a refusal starts at retryBase, doubles with each attempt up to retryMax, and is
// reduced by a random part of at most half.
const (
	retryBase = 2 * time.Millisecond
	retryMax  = 500 * time.Millisecond
)

// RandomChoice sends each task to a random upstream. If the task is refused, it is sent to another
// one after a backoff.
func RandomChoice(site Site, workload Workload, limit time.Duration, jobs []Job) *Result {
	c := newRandomPolicy("random, refused and retried", site, workload, limit, jobs)
	c.pick = func(int) int { return c.rng.IntN(site.Upstreams) }
	return c.measure(workload)
}

// LeastOfTwo sends each task to the less loaded of two random upstreams, by the load that the last
// answers reported.
func LeastOfTwo(site Site, workload Workload, limit time.Duration, jobs []Job) *Result {
	c := newRandomPolicy("least loaded of two", site, workload, limit, jobs)
	c.pick = func(entry int) int {
		a, b := c.rng.IntN(site.Upstreams), c.rng.IntN(site.Upstreams)
		if c.knownLoad[entry][b] < c.knownLoad[entry][a] {
			return b
		}
		return a
	}
	return c.measure(workload)
}

func newRandomPolicy(name string, site Site, workload Workload, limit time.Duration, jobs []Job) *randomPolicy {
	c := &randomPolicy{
		reference: newReference(name, site, workload, limit, jobs),
		rng:       rand.New(rand.NewPCG(workload.Seed, 2)),
		busy:      make([]int, site.Upstreams),
		knownLoad: make([][]int, site.Entries),
	}
	for i := range c.knownLoad {
		c.knownLoad[i] = make([]int, site.Upstreams)
	}
	return c
}

func (c *randomPolicy) measure(workload Workload) *Result {
	for i, j := range c.jobs {
		c.at(j.At+c.site.ClientDelay, func() {
			for t := range j.Tasks {
				c.send(i, t, 0)
			}
		})
	}
	c.run(workload.Length + drainTime)
	return c.result
}

func (c *randomPolicy) send(job, index, attempt int) {
	if c.pastDeadline(job) {
		return
	}
	j := c.jobs[job]
	u := c.pick(j.Entry)
	c.knownLoad[j.Entry][u]++
	delay := c.site.delay(c.site.entryDomain(j.Entry), c.site.upstreamDomain(u))
	c.after(delay, func() {
		if c.busy[u] >= c.site.Slots {
			c.refuse(job, index, attempt, u, delay)
			return
		}
		c.busy[u]++
		c.after(j.Tasks[index].Run, func() {
			c.busy[u]--
			load := c.busy[u]
			c.after(delay, func() {
				c.knownLoad[j.Entry][u] = load
				c.done(job, 0)
			})
		})
	})
}

func (c *randomPolicy) refuse(job, index, attempt, u int, delay time.Duration) {
	if c.jobs[job].At >= c.warmup {
		c.result.Waste.Refusals += 2
	}
	load := c.busy[u]
	backOff := min(retryBase<<min(attempt, 8), retryMax)
	backOff = backOff/2 + time.Duration(c.rng.Int64N(int64(backOff)))/2
	c.after(delay, func() { c.knownLoad[c.jobs[job].Entry][u] = load })
	c.after(delay+backOff, func() { c.send(job, index, attempt+1) })
}
