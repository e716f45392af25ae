// Package gateway holds the jobs that an entry process accepted from callers until they are
// answered. It hands each job in to the scheduler of its shard, hands it over to the next
// scheduler if that one is lost, and answers the caller once.
//
// In a deployment with cells, a job whose scheduler has no room, or whose cell has no
// scheduler, goes to another shard of the cell or to one of another cell. By then, all runs
// that an earlier scheduler may have started must have ended, since the runners of another
// shard don't know of them.
package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ordered"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

const (
	// orphanRunTTL is how long after the last contact with a scheduler a run that it
	// started may be alive unknown to the next scheduler: the lost scheduler first has to count
	// this entry VM as lost, then it stops the runs, and if runners don't answer their leases
	// expire. One that learns that a job is withdrawn has its runs over in that time, too.
	orphanRunTTL = 1300 * time.Millisecond
	// silentRunTTL is how long such a run may be alive on a runner that is silent. The shard's next scheduler waits for
	// that runner, or learns from it what became of the run; schedulers of other shards don't know of the runner.
	silentRunTTL = orphanRunTTL + schedule.MaxLateEnd
	// noLeaderTimeout is how long a job waits for a scheduler at a start or a change of
	// leader, which take less.
	noLeaderTimeout = 300 * time.Millisecond
	// noLeaderRetryAfter is the delay after which a caller may retry if there is no scheduler.
	noLeaderRetryAfter = time.Second
	// answerGrace is how long after the caller's timeout the gateway still waits for the
	// scheduler's own answer.
	answerGrace = 50 * time.Millisecond
)

// inFlightJob is a job that waits for an answer.
type inFlightJob struct {
	job *workload.Job
	// shard has the job now, and home is the shard that it belongs to.
	shard, home int
	// refusedBy are the shards that had no room for it.
	refusedBy []int
	// redirected: another shard was searched for after a refusal, which happens once.
	redirected bool
	// lent: it was handed to a lender.
	lent bool
	// mayHaveRun: a scheduler that had it couldn't rule out that a run of an earlier copy was
	// started.
	mayHaveRun bool
	// droppedBefore: an earlier hand-in of it was dropped, and a verdict on that one may arrive.
	droppedBefore bool
	// arrived is when it came, due when its latency objective ends, and deadline when its last
	// caller's timeout ends.
	arrived, due, deadline Time
	// requests are the callers' requests that wait for its answer.
	requests []uint64
	// scheduler has the job; "" if none has. priorSubmissions counts the schedulers before it.
	scheduler        leader.ID
	priorSubmissions int
	// uncertainUntil is when all runs of earlier schedulers have ended on runners that end their runs in time, and
	// staysUntil when they have on all others: until then the job stays in its shard.
	uncertainUntil, staysUntil Time
}

// Gateway holds the jobs in flight. It isn't safe for concurrent use.
type Gateway struct {
	now     Time
	choices map[int]leader.Choice
	// leaderLostAt is when the shards without a reachable leader lost theirs.
	leaderLostAt map[int]Time
	// leaderExpected are the shards that will have a leader.
	leaderExpected map[int]bool
	jobs           map[workload.JobID]*inFlightJob
	byRequest      map[uint64]workload.JobID
	// drops are the hand-ins that were dropped lately. mayRun are those that were withdrawn from their scheduler, or given up by
	// it, while a run might be alive on a silent runner; they are remembered for silentRunTTL.
	drops, mayRun recentDrops
	domain        string
	// fallback is set if jobs may go to shards other than their home.
	fallback FallbackShards
	// starting: the process has just started and hasn't reached a scheduler yet.
	starting bool
	// expectedWaits is how long a new job would wait in a shard, as last reported.
	expectedWaits map[int]time.Duration
	out           []Command
}

// New returns a gateway without jobs.
func New() *Gateway {
	return &Gateway{
		choices:        make(map[int]leader.Choice),
		leaderLostAt:   make(map[int]Time),
		leaderExpected: make(map[int]bool),
		jobs:           make(map[workload.JobID]*inFlightJob),
		byRequest:      make(map[uint64]workload.JobID),
		drops:          newRecentDrops(dropRetention),
		mayRun:         newRecentDrops(silentRunTTL),
		expectedWaits:  make(map[int]time.Duration),
	}
}

// SetFallbackShards sets the shards to which jobs may go if their home can't take them.
func (g *Gateway) SetFallbackShards(s FallbackShards) { g.fallback = s }

// SetExpectedWait records how long a new job would wait in a shard.
func (g *Gateway) SetExpectedWait(shard int, d time.Duration) { g.expectedWaits[shard] = d }

// SetStarting sets whether the process has just started and hasn't reached a scheduler yet. While
// it is set, a job without a scheduler waits for one until it couldn't be answered in time.
func (g *Gateway) SetStarting(starting bool) { g.starting = starting }

// ExpectedWait is how long a new job would wait in a shard, as last reported; 0 if it hasn't
// been.
func (g *Gateway) ExpectedWait(shard int) time.Duration { return g.expectedWaits[shard] }

// HasReachableScheduler reports whether a new job finds a scheduler: whether one of the fallback
// shards, which include its home, has a reachable leader.
func (g *Gateway) HasReachableScheduler() bool {
	for _, s := range append(slices.Clone(g.fallback.SameCell), g.fallback.OtherCells...) {
		if g.hasReachableLeader(s) {
			return true
		}
	}
	return false
}

func (g *Gateway) hasReachableLeader(shard int) bool {
	c := g.choices[shard]
	return c.Leader != "" && c.Reachable
}

// SetDomain sets the failure domain of the process.
func (g *Gateway) SetDomain(domain string) { g.domain = domain }

// Ready returns the commands since the last call.
func (g *Gateway) Ready() []Command {
	out := g.out
	g.out = nil
	return out
}

// InFlight is the number of jobs that wait for an answer.
func (g *Gateway) InFlight() int { return len(g.jobs) }

// Submit takes a caller's request for a job of a shard; remainingTimeout is the time until
// the caller's timeout. A second request with the same job ID gets the same answer.
func (g *Gateway) Submit(now Time, request uint64, shard int, job *workload.Job, remainingTimeout time.Duration) {
	g.now = now
	if j := g.jobs[job.ID]; j != nil {
		j.requests = append(j.requests, request)
		j.deadline = max(j.deadline, now+remainingTimeout)
		g.byRequest[request] = job.ID
		return
	}
	j := &inFlightJob{job: job, shard: shard, home: shard, arrived: now, due: now + job.Objective, deadline: now + remainingTimeout, requests: []uint64{request}}
	j.droppedBefore = g.drops.has(now, job.ID)
	g.notePriorHandIn(j)
	g.noteLostLeader(j)
	g.jobs[job.ID] = j
	g.byRequest[request] = job.ID
	g.handIn(j)
	g.reportElsewhere(j)
	if c := g.choices[shard]; j.scheduler == "" && c.Leader != "" && !c.Reachable && !g.starting && !g.awaitsLeader(shard) {
		g.giveUp(j, workload.NoScheduler, "the scheduler can't be reached")
	}
}

// CallerLeft removes the request of a caller that has gone, and the job with its last request.
func (g *Gateway) CallerLeft(now Time, request uint64) {
	g.now = now
	id, ok := g.byRequest[request]
	if !ok {
		return
	}
	delete(g.byRequest, request)
	j := g.jobs[id]
	for i, r := range j.requests {
		if r == request {
			j.requests = append(j.requests[:i], j.requests[i+1:]...)
			break
		}
	}
	if len(j.requests) > 0 {
		return
	}
	delete(g.jobs, id)
	g.drop(j)
}

// drop tells a job's scheduler, if it has one, to drop the job, and remembers that.
func (g *Gateway) drop(j *inFlightJob) {
	if j.scheduler != "" {
		g.sendDrop(j)
		g.rememberDrop(j)
	}
}

// sendDrop sends a Drop to a job's scheduler.
func (g *Gateway) sendDrop(j *inFlightJob) {
	g.out = append(g.out, Drop{At: g.now, To: j.scheduler, Shard: j.shard, Job: j.job.ID})
}

// SetLeader sets the choice of a shard's leader, and hands over the jobs of the former leader.
// That leader has had contact with this process until now at the latest.
func (g *Gateway) SetLeader(now Time, shard int, c leader.Choice) {
	g.now = now
	if c == g.choices[shard] {
		return
	}
	g.recordLoss(shard, c)
	g.choices[shard] = c
	for _, j := range g.sortedJobs() {
		if j.shard == shard && j.scheduler != "" && j.scheduler != c.Leader {
			g.out = append(g.out, Drop{At: now, To: j.scheduler, Shard: j.shard, Job: j.job.ID, HandedOver: true})
			g.withdraw(j)
		}
		if j.scheduler == "" {
			g.handIn(j)
		}
	}
	g.reportAllElsewhere(shard)
}

// Reconnected hands in again the jobs that a scheduler may have dropped while it had no
// contact with this process.
func (g *Gateway) Reconnected(now Time, id leader.ID) {
	g.now = now
	for _, j := range g.sortedJobs() {
		if j.scheduler == id {
			g.withdraw(j)
			g.handIn(j)
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(g.choices)) {
		if g.choices[shard].Leader == id {
			g.reportAllElsewhere(shard)
		}
	}
}

// withdraw records that no scheduler has the job.
func (g *Gateway) withdraw(j *inFlightJob) {
	j.scheduler = ""
	j.priorSubmissions++
	j.uncertainUntil, j.staysUntil = g.now+orphanRunTTL, g.now+silentRunTTL
	g.rememberDrop(j)
	g.rememberRuns(j)
}

// handIn hands a job in to the leader of the shard chosen for it. If none has a reachable leader,
// the job stays without a scheduler.
func (g *Gateway) handIn(j *inFlightJob) {
	if shard, ok := g.chooseShard(j); ok {
		g.handTo(j, shard)
	}
}

func (g *Gateway) handTo(j *inFlightJob, shard int) { g.out = append(g.out, g.assign(j, shard)) }

// assign makes a shard's leader the scheduler of a job, and returns the command that hands the job in.
func (g *Gateway) assign(j *inFlightJob, shard int) HandIn {
	j.shard = shard
	j.scheduler = g.choices[shard].Leader
	return HandIn{
		At:                 g.now,
		To:                 j.scheduler,
		Shard:              shard,
		Home:               j.home,
		ExpectedWait:       g.expectedWaits[shard],
		Job:                j.job,
		RemainingObjective: j.due - g.now,
		RemainingTimeout:   j.deadline - g.now,
		PriorSubmissions:   j.priorSubmissions,
		PriorRunsTTL:       max(0, j.uncertainUntil-g.now),
		Domain:             g.domain,
	}
}

// HandleVerdict takes a scheduler's verdict. The verdict of a scheduler that no longer has the
// job counts only if the job is completed or in the store. Other outcomes are ignored, since
// the present scheduler may still complete what the former one gave up.
func (g *Gateway) HandleVerdict(now Time, v Verdict) {
	g.now = now
	j := g.jobs[v.Job]
	if j == nil || j.scheduler != v.From && v.Outcome != workload.Completed && v.Outcome != workload.Accepted {
		return
	}
	if v.Lent && g.handToLender(j, v) || v.NoRoom && g.mayRedirect(j, v) && g.redirect(j) {
		j.mayHaveRun = j.mayHaveRun || v.Outcome != workload.NotRun
		return
	}
	// The home of a lent job sends copies of it to the lender, which may start them.
	j.mayHaveRun = j.mayHaveRun || v.Lent
	if v.Outcome == workload.NotRun && (j.priorSubmissions > 0 || j.mayHaveRun || j.droppedBefore) {
		v.Outcome = workload.GaveUp
	}
	if j.droppedBefore && refused(v) {
		// The verdict may be on the earlier hand-in, and the scheduler may have this one. This drop isn't
		// remembered, so that a job that is refused again and again gets a final answer in the end.
		g.sendDrop(j)
	}
	if v.Cause == workload.RunnerSilent {
		g.rememberRuns(j)
	}
	g.reply(j, v)
}

// refused reports whether a verdict leaves a job undone.
func refused(v Verdict) bool {
	return v.Outcome == workload.NotRun || v.Outcome == workload.GaveUp
}

func (g *Gateway) reply(j *inFlightJob, v Verdict) {
	delete(g.jobs, j.job.ID)
	for _, r := range j.requests {
		delete(g.byRequest, r)
		g.out = append(g.out, Reply{
			Request:          r,
			Job:              j.job,
			Outcome:          v.Outcome,
			RetryAfter:       v.RetryAfter,
			Reason:           v.Reason,
			Cause:            v.Cause,
			Scheduler:        v.From,
			PriorSubmissions: j.priorSubmissions,
			Elapsed:          g.now - j.arrived,
		})
	}
}

// GiveUp answers all callers because the process ends.
func (g *Gateway) GiveUp(now Time, reason string) {
	g.now = now
	for _, j := range g.sortedJobs() {
		g.giveUp(j, workload.ProcessEnding, reason)
	}
}

// giveUp answers the callers of a job that may have run in part, and tells its scheduler, if
// it has one, to drop the job.
func (g *Gateway) giveUp(j *inFlightJob, cause workload.RefusalCause, reason string) {
	g.giveUpFor(j, noLeaderRetryAfter, cause, reason)
}

func (g *Gateway) giveUpFor(j *inFlightJob, retryAfter time.Duration, cause workload.RefusalCause, reason string) {
	g.drop(j)
	g.reply(j, Verdict{From: j.scheduler, Job: j.job.ID, Outcome: workload.GaveUp, RetryAfter: retryAfter, Cause: cause, Reason: reason})
}

// waitsInVain reports whether a job without a scheduler can't be answered in time: its shard is to have none, others
// have, and by the time at which the job may go there too little time is left.
func (g *Gateway) waitsInVain(j *inFlightJob) bool {
	return j.scheduler == "" && !j.job.Stored && g.mayRunInShard(j) && g.now >= j.uncertainUntil &&
		!g.awaitsLeader(j.shard) && g.HasReachableScheduler() && j.staysUntil+j.job.TimeToAnswer() >= j.deadline
}

// Tick answers the jobs that no scheduler has answered in time.
func (g *Gateway) Tick(now Time) {
	g.now = now
	g.drops.expire(now)
	g.mayRun.expire(now)
	for _, j := range g.sortedJobs() {
		if j.scheduler == "" && now < j.deadline {
			// All runs of the former scheduler may have ended by now, so that the job may go to
			// another shard.
			g.handIn(j)
		}
		switch {
		case now > j.deadline+answerGrace:
			g.giveUp(j, workload.NoAnswer, "no answer from the scheduler in time")
		case g.waitsInVain(j):
			g.giveUpFor(j, max(noLeaderRetryAfter, j.staysUntil-now), workload.NoScheduler, "its runs may go on in a shard without a scheduler")
		case j.scheduler == "" && now > j.arrived+noLeaderTimeout:
			if j.priorSubmissions > 0 && now < j.deadline || g.starting && g.canAnswer(j) {
				continue
			}
			// The former scheduler may have had the job from another entry VM, so the
			// answer doesn't promise that no task of the job has run.
			g.giveUp(j, workload.NoScheduler, "no scheduler")
		}
	}
}

// canAnswer reports whether a job that a scheduler gets now would be answered before its deadline.
func (g *Gateway) canAnswer(j *inFlightJob) bool { return g.now+j.job.TimeToAnswer() < j.deadline }

func (g *Gateway) sortedJobs() []*inFlightJob {
	return ordered.Values(g.jobs, func(a, b *inFlightJob) int { return cmp.Compare(a.job.ID, b.job.ID) })
}
