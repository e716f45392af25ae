// Package gateway holds the jobs that an entry process answers for. It hands
// each to the scheduler in charge, again to the next one if that is lost, and
// answers the caller once.
//
// In a deployment with cells a job that its scheduler has no room for, or that
// has no scheduler in its cell, goes to another shard of the cell or to one of
// another cell. What an earlier scheduler may have started of it must be over by
// then: the runners of another shard can't tell.
package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

const (
	// unknownLife is how long after a scheduler was last heard a run that it
	// started may be alive where the next scheduler can't see it: until it
	// misses this entry VM, stops the runs, and if runners don't answer lets
	// their leases end.
	unknownLife = 1300 * time.Millisecond
	// leaderWait is how long a job waits for a scheduler at a start or a
	// change of leader, which take less.
	leaderWait = 300 * time.Millisecond
	// retryNoLeader is when a caller may come back if nobody schedules.
	retryNoLeader = time.Second
	// answerSlack is how long after the caller's patience has ended the
	// scheduler's own answer is waited for.
	answerSlack = 50 * time.Millisecond
)

// Command is an output of the gateway.
type Command interface{ command() }

// HandIn hands a job to a scheduler.
type HandIn struct {
	At Time
	To leader.ID
	// Shard is that which gets the job, Home the one that it had first, and Wait how
	// long a new job waits in Shard by the last word.
	Shard, Home int
	Wait        time.Duration
	Job         *workload.Job
	Due         time.Duration
	Patience    time.Duration
	Handed      int
	Unknown     time.Duration
	// Domain is the failure domain of the entry VM.
	Domain string
}

// Drop tells a scheduler that a job isn't its own any more: its caller has
// left, or another scheduler gets it.
type Drop struct {
	At         Time
	To         leader.ID
	Shard      int
	Job        workload.JobID
	HandedOver bool
}

// Reply answers one request.
type Reply struct {
	Request    uint64
	Job        *workload.Job
	Outcome    workload.Outcome
	RetryAfter time.Duration
	Reason     string
	// Scheduler gave the word, Handed counts the schedulers before it, and
	// Took is the time in this process.
	Scheduler leader.ID
	Handed    int
	Elapsed   time.Duration
}

func (HandIn) command() {}
func (Drop) command()   {}
func (Reply) command()  {}

// Verdict is a scheduler's word on a job.
type Verdict struct {
	From       leader.ID
	Job        workload.JobID
	Outcome    workload.Outcome
	RetryAfter time.Duration
	Reason     string
	// NoRoom: the scheduler has started nothing of the job for want of room, and
	// another one may have some.
	NoRoom bool
}

// FallbackShards are those that an entry process hands jobs to.
type FallbackShards struct {
	// SameCell are the shards of its own cell, and OtherCells those of other cells.
	SameCell, OtherCells []int
}

type inHand struct {
	job *workload.Job
	// shard is that of the job, and home the one that it had first.
	shard, home int
	// refused are the shards that had no room for it. doubtful: one of them
	// couldn't tell whether anything had run of an earlier copy.
	refused  []int
	doubtful bool
	arrived  Time
	due      Time
	deadline Time
	requests []uint64
	// scheduler has the job; "" if none has. handed counts the ones before.
	scheduler leader.ID
	handed    int
	// unknownUntil is when runs of earlier schedulers are surely over.
	unknownUntil Time
}

// Gateway is the state. It isn't safe for concurrent use.
type Gateway struct {
	now     Time
	choices map[int]leader.Choice
	jobs    map[workload.JobID]*inHand
	byReq   map[uint64]workload.JobID
	domain  string
	// others are set if jobs may go to another shard than their home.
	others FallbackShards
	// waits is how long a new job would wait in a shard, by the last word.
	waits map[int]time.Duration
	out   []Command
}

// New returns a gateway without jobs.
func New() *Gateway {
	return &Gateway{
		choices: make(map[int]leader.Choice),
		jobs:    make(map[workload.JobID]*inHand),
		byReq:   make(map[uint64]workload.JobID),
		waits:   make(map[int]time.Duration),
	}
}

// SetFallbackShards says to which shards jobs may go but their home.
func (g *Gateway) SetFallbackShards(s FallbackShards) { g.others = s }

// SetExpectedWait notes how long a new job would wait in a shard.
func (g *Gateway) SetExpectedWait(shard int, d time.Duration) { g.waits[shard] = d }

// ExpectedWait is how long a new job would wait in a shard, by the last word; 0 if there was
// none.
func (g *Gateway) ExpectedWait(shard int) time.Duration { return g.waits[shard] }

// HasReachableScheduler reports whether a new job finds a scheduler: that of its home, or any
// that takes jobs of other shards.
func (g *Gateway) HasReachableScheduler() bool {
	for _, s := range append(slices.Clone(g.others.SameCell), g.others.OtherCells...) {
		if g.led(s) {
			return true
		}
	}
	return false
}

func (g *Gateway) led(shard int) bool {
	c := g.choices[shard]
	return c.Leader != "" && c.Reachable
}

// SetDomain says in which failure domain the process is.
func (g *Gateway) SetDomain(domain string) { g.domain = domain }

// Ready returns the commands since the last call.
func (g *Gateway) Ready() []Command {
	out := g.out
	g.out = nil
	return out
}

// InFlight is the number of jobs that wait for an answer.
func (g *Gateway) InFlight() int { return len(g.jobs) }

// Submit takes a caller's request for a job of a shard. A second one with the
// same id gets the same answer.
func (g *Gateway) Submit(now Time, request uint64, shard int, job *workload.Job, patience time.Duration) {
	g.now = now
	if h := g.jobs[job.ID]; h != nil {
		h.requests = append(h.requests, request)
		h.deadline = max(h.deadline, now+patience)
		g.byReq[request] = job.ID
		return
	}
	h := &inHand{job: job, shard: shard, home: shard, arrived: now, due: now + job.Objective, deadline: now + patience, requests: []uint64{request}}
	g.jobs[job.ID] = h
	g.byReq[request] = job.ID
	g.handIn(h)
	if c := g.choices[shard]; h.scheduler == "" && c.Leader != "" && !c.Reachable {
		g.giveUp(h, "the scheduler can't be reached")
	}
}

// CallerLeft notes that a caller has gone.
func (g *Gateway) CallerLeft(now Time, request uint64) {
	g.now = now
	id, ok := g.byReq[request]
	if !ok {
		return
	}
	delete(g.byReq, request)
	h := g.jobs[id]
	for i, r := range h.requests {
		if r == request {
			h.requests = append(h.requests[:i], h.requests[i+1:]...)
			break
		}
	}
	if len(h.requests) > 0 {
		return
	}
	delete(g.jobs, id)
	if h.scheduler != "" {
		g.out = append(g.out, Drop{At: g.now, To: h.scheduler, Shard: h.shard, Job: id})
	}
}

// SetLeader takes the choice of a shard's leader. The one before has heard this process
// until now at most.
func (g *Gateway) SetLeader(now Time, shard int, c leader.Choice) {
	g.now = now
	if c == g.choices[shard] {
		return
	}
	g.choices[shard] = c
	for _, h := range g.inOrder() {
		if h.shard == shard && h.scheduler != "" && h.scheduler != c.Leader {
			g.out = append(g.out, Drop{At: now, To: h.scheduler, Shard: h.shard, Job: h.job.ID, HandedOver: true})
			g.takeBack(h)
		}
		if h.scheduler == "" {
			g.handIn(h)
		}
	}
}

// Reconnected hands in again what a scheduler may have dropped while it wasn't
// heard.
func (g *Gateway) Reconnected(now Time, id leader.ID) {
	g.now = now
	for _, h := range g.inOrder() {
		if h.scheduler == id {
			g.takeBack(h)
			g.handIn(h)
		}
	}
}

// takeBack marks a job as being with no scheduler.
func (g *Gateway) takeBack(h *inHand) {
	h.scheduler = ""
	h.handed++
	h.unknownUntil = g.now + unknownLife
}

// pick is the shard that a job goes to. While something may run of it that an
// earlier scheduler has started, that is the shard it was in: only the runners of
// that one list it.
func (g *Gateway) pick(h *inHand) (int, bool) {
	if h.handed > 0 && g.now < h.unknownUntil || h.job.Stored {
		return h.shard, g.led(h.shard)
	}
	if g.led(h.home) {
		return h.home, true
	}
	if s, ok := g.shortest(h, g.others.SameCell); ok {
		return s, true
	}
	return g.shortest(h, g.others.OtherCells)
}

// shortest is the shard of some in which a job would wait least. Jobs with the same
// wait everywhere spread over all.
func (g *Gateway) shortest(h *inHand, shards []int) (int, bool) {
	best, found := 0, false
	for i := range shards {
		s := shards[(h.home+i)%len(shards)]
		if !g.led(s) || slices.Contains(h.refused, s) {
			continue
		}
		if !found || g.waits[s] < g.waits[best] {
			best, found = s, true
		}
	}
	return best, found
}

func (g *Gateway) handIn(h *inHand) {
	if shard, ok := g.pick(h); ok {
		g.handTo(h, shard)
	}
}

func (g *Gateway) handTo(h *inHand, shard int) {
	h.shard = shard
	h.scheduler = g.choices[shard].Leader
	g.out = append(g.out, HandIn{
		At:       g.now,
		To:       h.scheduler,
		Shard:    shard,
		Home:     h.home,
		Wait:     g.waits[shard],
		Job:      h.job,
		Due:      h.due - g.now,
		Patience: h.deadline - g.now,
		Handed:   h.handed,
		Unknown:  max(0, h.unknownUntil-g.now),
		Domain:   g.domain,
	})
}

// HandleVerdict takes a scheduler's word. The word of one that no longer has the job
// counts only if the job is complete, or in the store: a ready answer is
// delivered, but another scheduler may yet complete what this one gave up.
func (g *Gateway) HandleVerdict(now Time, v Verdict) {
	g.now = now
	h := g.jobs[v.Job]
	if h == nil || h.scheduler != v.From && v.Outcome != workload.Completed && v.Outcome != workload.Accepted {
		return
	}
	if v.NoRoom && g.elsewhere(h) {
		h.doubtful = v.Outcome != workload.NotRun
		return
	}
	if v.Outcome == workload.NotRun && (h.handed > 0 || h.doubtful) {
		v.Outcome = workload.GaveUp
	}
	g.reply(h, v)
}

// elsewhere hands a job that was refused for want of room to a shard in which
// nothing waits. It isn't handed on twice: by then others are short of room too.
func (g *Gateway) elsewhere(h *inHand) bool {
	if len(h.refused) > 0 || h.handed > 0 || h.job.Stored {
		return false
	}
	h.refused = append(h.refused, h.shard)
	for _, shards := range [][]int{g.others.SameCell, g.others.OtherCells} {
		if s, ok := g.shortest(h, shards); ok && g.waits[s] == 0 {
			g.handTo(h, s)
			return true
		}
	}
	return false
}

func (g *Gateway) reply(h *inHand, v Verdict) {
	delete(g.jobs, h.job.ID)
	for _, r := range h.requests {
		delete(g.byReq, r)
		g.out = append(g.out, Reply{
			Request:    r,
			Job:        h.job,
			Outcome:    v.Outcome,
			RetryAfter: v.RetryAfter,
			Reason:     v.Reason,
			Scheduler:  v.From,
			Handed:     h.handed,
			Elapsed:    g.now - h.arrived,
		})
	}
}

// GiveUp answers all callers, since the process ends.
func (g *Gateway) GiveUp(now Time, reason string) {
	g.now = now
	for _, h := range g.inOrder() {
		g.giveUp(h, reason)
	}
}

// giveUp answers the callers of a job that something may have run of, and tells
// its scheduler, if it has one.
func (g *Gateway) giveUp(h *inHand, reason string) {
	if h.scheduler != "" {
		g.out = append(g.out, Drop{At: g.now, To: h.scheduler, Shard: h.shard, Job: h.job.ID})
	}
	g.reply(h, Verdict{From: h.scheduler, Job: h.job.ID, Outcome: workload.GaveUp, RetryAfter: retryNoLeader, Reason: reason})
}

// Tick answers what nobody else will.
func (g *Gateway) Tick(now Time) {
	g.now = now
	for _, h := range g.inOrder() {
		if h.scheduler == "" && now < h.deadline {
			// What kept it with its shard may be over.
			g.handIn(h)
		}
		switch {
		case now > h.deadline+answerSlack:
			g.giveUp(h, "no answer from the scheduler in time")
		case h.scheduler == "" && now > h.arrived+leaderWait:
			if h.handed > 0 && now < h.deadline {
				continue
			}
			// Who scheduled before may have had the job by another entry VM, so
			// this is no promise that nothing of it has run.
			g.giveUp(h, "no scheduler")
		}
	}
}

func (g *Gateway) inOrder() []*inHand {
	return slices.SortedFunc(maps.Values(g.jobs), func(a, b *inHand) int { return cmp.Compare(a.job.ID, b.job.ID) })
}
