package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// Workload describes a stream of jobs.
type Workload struct {
	// Load is the offered load as a share of all slots' time; 1 is capacity.
	Load float64
	// Bursts: for one second in every ten, jobs arrive at three times the mean rate, and at a lower
	// rate in between.
	Bursts bool
	// Stragglers is the share of tasks that take several seconds.
	Stragglers float64
	// Length is the time in which jobs arrive. Its first part, Warmup, isn't measured.
	Length, Warmup time.Duration
	// Between PartitionFrom and PartitionUntil the entry processes of the first domain can't reach the
	// others. Jobs still arrive everywhere.
	PartitionFrom, PartitionUntil time.Duration
	// Seed determines the stream.
	Seed uint64
}

// Task is a task with its actual and its declared run time.
type Task struct {
	Run, Declared time.Duration
}

// Job is one job of a stream.
type Job struct {
	// At is the time of arrival, Entry the index of the entry process to which it is submitted.
	At    time.Duration
	Entry int
	Tasks []Task
}

const (
	maxTasks = 19
	// Run times are lognormal with medianRun and runSigma, and at least minRun, except for those of
	// stragglers, which are evenly distributed between minStraggler and maxStraggler.
	medianRun    = 170 * time.Millisecond
	runSigma     = 0.6
	minRun       = 20 * time.Millisecond
	minStraggler = 2 * time.Second
	maxStraggler = 5 * time.Second
	// declaredSigma is the sigma of the lognormal error of declared run times.
	declaredSigma = 0.7
	burstFactor   = 3
	burstInterval = 10 * time.Second
	burstLength   = time.Second
	// DefaultStragglers is the usual share of tasks that take several seconds.
	DefaultStragglers = 0.03
)

// meanRun is the mean run time of a task.
func (s Workload) meanRun() float64 {
	usual := medianRun.Seconds() * math.Exp(runSigma*runSigma/2)
	long := (minStraggler + maxStraggler).Seconds() / 2
	return (1-s.Stragglers)*usual + s.Stragglers*long
}

// rate is the mean number of jobs per second.
func (s Workload) rate(slots int) float64 {
	meanTasks := float64(1+maxTasks) / 2
	return s.Load * float64(slots) / (meanTasks * s.meanRun())
}

// rateAt is the arrival rate at a time, relative to the mean.
func (s Workload) rateAt(at time.Duration) float64 {
	if !s.Bursts {
		return 1
	}
	part := burstLength.Seconds() / burstInterval.Seconds()
	if at%burstInterval < burstLength {
		return burstFactor
	}
	return (1 - burstFactor*part) / (1 - part)
}

// Stream returns the jobs that arrive at a site, at random times.
func (s Workload) Stream(site Site) []Job {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	peak := s.rate(site.totalSlots())
	if s.Bursts {
		peak *= burstFactor
	}
	var jobs []Job
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Length {
			return jobs
		}
		if s.Bursts && rng.Float64()*burstFactor > s.rateAt(at) {
			continue
		}
		jobs = append(jobs, s.draw(rng, at, site))
	}
}

func (s Workload) draw(rng *rand.Rand, at time.Duration, site Site) Job {
	j := Job{At: at, Entry: site.drawEntry(rng), Tasks: make([]Task, 1+rng.IntN(maxTasks))}
	for i := range j.Tasks {
		j.Tasks[i] = s.drawTask(rng)
	}
	return j
}

// drawTask draws a task. Half of the long tasks are declared with a usual run time, and all declared
// run times are off by a random factor, often of two or more.
func (s Workload) drawTask(rng *rand.Rand) Task {
	usual := max(minRun, lognormal(rng, medianRun, runSigma))
	run, declared := usual, usual
	if rng.Float64() < s.Stragglers {
		run = minStraggler + time.Duration(rng.Int64N(int64(maxStraggler-minStraggler)))
		if rng.IntN(2) == 0 {
			declared = run
		}
	}
	return Task{run, max(time.Millisecond, lognormal(rng, declared, declaredSigma))}
}

func lognormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

// longest is the run time of the longest task.
func (j Job) longest() time.Duration {
	var d time.Duration
	for _, t := range j.Tasks {
		d = max(d, t.Run)
	}
	return d
}

// drawEntry draws the entry process at which a job arrives.
func (s Site) drawEntry(rng *rand.Rand) int {
	entry := rng.IntN(s.Entries)
	if !s.ByDomain {
		return entry
	}
	domain := rng.IntN(len(s.Domains))
	inDomain := (s.Entries - domain + len(s.Domains) - 1) / len(s.Domains)
	return domain + len(s.Domains)*rng.IntN(inDomain)
}
