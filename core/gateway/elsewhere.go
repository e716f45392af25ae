package gateway

import (
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

// reportAllElsewhere reports all jobs of a shard that are in others to the shard's leader.
func (g *Gateway) reportAllElsewhere(home int) {
	var jobs []*inFlightJob
	for _, j := range g.sortedJobs() {
		if j.home == home {
			jobs = append(jobs, j)
		}
	}
	g.reportElsewhere(home, jobs...)
}

// reportElsewhere reports those of a shard's jobs that are in others to the shard's leader, if that is
// reachable.
func (g *Gateway) reportElsewhere(home int, jobs ...*inFlightJob) {
	var list []JobElsewhere
	for _, j := range jobs {
		if j.elsewhere() {
			list = append(list, JobElsewhere{Job: j.job.ID, Shard: j.shard})
		}
	}
	if len(list) > 0 && g.hasReachableLeader(home) {
		g.out = append(g.out, ReportElsewhere{At: g.now, To: g.choices[home].Leader, Home: home, Jobs: list})
	}
}
