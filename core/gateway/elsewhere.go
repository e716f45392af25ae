package gateway

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Copies of a job arrive in its home shard by way of other entry processes, and must not run there
// while the job runs in another shard. The home's leader knows of a job that it has lent, but not where
// a refused job went, and its successor knows neither. So the entry process that has the job reports it.

// JobElsewhere is a job that is in another shard than its home.
type JobElsewhere struct {
	Job workload.JobID
	// Shard has the job.
	Shard int
}

// ReportElsewhere reports to the leader of the shard Home which jobs of that shard are in others.
type ReportElsewhere struct {
	At   Time
	To   leader.ID
	Home int
	Jobs []JobElsewhere
}

func (ReportElsewhere) command() {}

// elsewhere reports whether another shard than the home has the job.
func (j *inFlightJob) elsewhere() bool { return j.scheduler != "" && j.shard != j.home }

// LeaderClaims reports to a process that begins to lead a shard which jobs of the shard are in others. This process may
// still follow the former leader, and other entry processes hand copies in to the new one already.
func (g *Gateway) LeaderClaims(now Time, home int, claimant leader.ID) {
	g.now = now
	if g.choices[home].Leader != claimant {
		g.sendReportTo(claimant, home, g.allElsewhere(home))
	}
}

// reportAllElsewhere reports all jobs of a shard that are in others, or may have a run there, to the shard's leader.
func (g *Gateway) reportAllElsewhere(home int) { g.sendReport(home, g.allElsewhere(home)) }

// allElsewhere lists the jobs of a shard that are in others, or may have a run there.
func (g *Gateway) allElsewhere(home int) []JobElsewhere {
	var list []JobElsewhere
	for _, j := range g.sortedJobs() {
		if j.home == home && j.elsewhere() {
			list = append(list, JobElsewhere{Job: j.job.ID, Shard: j.shard})
		}
	}
	return append(list, g.endedElsewhere(home)...)
}

// endedElsewhere lists the jobs of a shard that aren't in flight and of which a run may be alive in another one.
func (g *Gateway) endedElsewhere(home int) []JobElsewhere {
	var list []JobElsewhere
	add := func(past recentDrops, runsLive time.Duration) {
		for _, h := range past.ordered {
			recent := g.now < h.at+runsLive && past.latest[h.job] == h
			if recent && h.home == home && h.shard != home && h.scheduler != "" && g.jobs[h.job] == nil {
				list = append(list, JobElsewhere{Job: h.job, Shard: h.shard})
			}
		}
	}
	add(g.drops, orphanRunTTL)
	add(g.mayRun, silentRunTTL)
	return list
}

// reportElsewhere reports a job to the leader of its home if it is in another shard.
func (g *Gateway) reportElsewhere(j *inFlightJob) {
	if j.elsewhere() {
		g.sendReport(j.home, []JobElsewhere{{Job: j.job.ID, Shard: j.shard}})
	}
}

// sendReport sends a report to a shard's leader, if that is reachable.
func (g *Gateway) sendReport(home int, list []JobElsewhere) {
	if g.hasReachableLeader(home) {
		g.sendReportTo(g.choices[home].Leader, home, list)
	}
}

func (g *Gateway) sendReportTo(to leader.ID, home int, list []JobElsewhere) {
	if len(list) > 0 {
		g.out = append(g.out, ReportElsewhere{At: g.now, To: to, Home: home, Jobs: list})
	}
}
