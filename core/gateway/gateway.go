// Package gateway holds the jobs that an entry process answers for. It hands
// each to the scheduler in charge, again to the next one if that is lost, and
// answers the caller once.
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
	At       Time
	To       leader.ID
	Job      *workload.Job
	Due      time.Duration
	Patience time.Duration
	Handed   int
	Unknown  time.Duration
	// Domain is the failure domain of the entry VM.
	Domain string
}

// Drop tells a scheduler that a job isn't its own any more: its caller has
// left, or another scheduler gets it.
type Drop struct {
	At         Time
	To         leader.ID
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
	Took      time.Duration
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
}

type inHand struct {
	job *workload.Job
	// shard is that of the job.
	shard    int
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
	out     []Command
}

// New returns a gateway without jobs.
func New() *Gateway {
	return &Gateway{choices: make(map[int]leader.Choice), jobs: make(map[workload.JobID]*inHand), byReq: make(map[uint64]workload.JobID)}
}

// SetDomain says in which failure domain the process is.
func (g *Gateway) SetDomain(domain string) { g.domain = domain }

// Ready returns the commands since the last call.
func (g *Gateway) Ready() []Command {
	out := g.out
	g.out = nil
	return out
}

// InHand is the number of jobs that wait for an answer.
func (g *Gateway) InHand() int { return len(g.jobs) }

// Arrive takes a caller's request for a job of a shard. A second one with the
// same id gets the same answer.
func (g *Gateway) Arrive(now Time, request uint64, shard int, job *workload.Job, patience time.Duration) {
	g.now = now
	if h := g.jobs[job.ID]; h != nil {
		h.requests = append(h.requests, request)
		h.deadline = max(h.deadline, now+patience)
		g.byReq[request] = job.ID
		return
	}
	h := &inHand{job: job, shard: shard, arrived: now, due: now + job.Objective, deadline: now + patience, requests: []uint64{request}}
	g.jobs[job.ID] = h
	g.byReq[request] = job.ID
	if c := g.choices[shard]; c.Leader != "" && !c.Reachable {
		g.giveUp(h, "the scheduler can't be reached")
		return
	}
	g.handIn(h)
}

// Left notes that a caller has gone.
func (g *Gateway) Left(now Time, request uint64) {
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
		g.out = append(g.out, Drop{At: g.now, To: h.scheduler, Job: id})
	}
}

// Follow takes the choice of a shard's leader. The one before has heard this process
// until now at most.
func (g *Gateway) Follow(now Time, shard int, c leader.Choice) {
	g.now = now
	if c == g.choices[shard] {
		return
	}
	g.choices[shard] = c
	for _, h := range g.inOrder() {
		if h.shard != shard {
			continue
		}
		if h.scheduler != "" && h.scheduler != c.Leader {
			g.out = append(g.out, Drop{At: now, To: h.scheduler, Job: h.job.ID, HandedOver: true})
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

func (g *Gateway) handIn(h *inHand) {
	c := g.choices[h.shard]
	if c.Leader == "" || !c.Reachable {
		return
	}
	h.scheduler = c.Leader
	g.out = append(g.out, HandIn{
		At:       g.now,
		To:       h.scheduler,
		Job:      h.job,
		Due:      h.due - g.now,
		Patience: h.deadline - g.now,
		Handed:   h.handed,
		Unknown:  max(0, h.unknownUntil-g.now),
		Domain:   g.domain,
	})
}

// Decide takes a scheduler's word. The word of one that no longer has the job
// counts only if the job is complete, or in the store: a ready answer is
// delivered, but another scheduler may yet complete what this one gave up.
func (g *Gateway) Decide(now Time, v Verdict) {
	g.now = now
	h := g.jobs[v.Job]
	if h == nil || h.scheduler != v.From && v.Outcome != workload.Completed && v.Outcome != workload.Accepted {
		return
	}
	if v.Outcome == workload.NotRun && h.handed > 0 {
		v.Outcome = workload.GaveUp
	}
	g.reply(h, v)
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
			Took:       g.now - h.arrived,
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
		g.out = append(g.out, Drop{At: g.now, To: h.scheduler, Job: h.job.ID})
	}
	g.reply(h, Verdict{From: h.scheduler, Job: h.job.ID, Outcome: workload.GaveUp, RetryAfter: retryNoLeader, Reason: reason})
}

// Tick answers what nobody else will.
func (g *Gateway) Tick(now Time) {
	g.now = now
	for _, h := range g.inOrder() {
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
