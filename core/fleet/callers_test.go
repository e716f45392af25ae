package fleet_test

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// The callers of the simulated deployment.

// submit sends a new job from a domain.
func (w *world) submit(domain string, tasks int, work, timeout time.Duration) *fakeJob {
	j := w.newJob(domain, tasks, work, timeout)
	w.sendJob(j)
	return j
}

// newJob returns a job that hasn't been sent yet.
func (w *world) newJob(domain string, tasks int, work, timeout time.Duration) *fakeJob {
	id := workload.JobID(fmt.Sprintf("%016x", len(w.jobs)+1))
	if w.crowded {
		id = w.crowdedID()
	}
	estimate := time.Duration(float64(work) * (0.7 + w.rng.Float64()*0.6))
	j := &fakeJob{
		work: &workload.Job{
			ID: id, Queue: queue, Service: service, MaxAttempts: 3, Objective: estimate*8/5 + 60*time.Millisecond,
			Steps: []workload.Step{{
				Tasks: tasks, Need: workload.Resources{MilliCPU: 27000, MemoryMB: 64}, Estimate: estimate, Requires: w.requires,
			}},
		},
		duration: work, domain: domain, sent: w.now, timeout: timeout,
	}
	if w.storedShare > 0 && w.rng.Float64() < w.storedShare {
		j.work.Stored = true
		if w.rng.IntN(10) == 0 {
			j.cancelAt = w.now + w.randomDuration(1, 1500)
		}
	}
	w.jobs[id] = j
	return j
}

// sendJob sends a job to a serving process, preferably of the job's domain.
func (w *world) sendJob(j *fakeJob) {
	if j.answered || w.now >= j.sent+j.timeout {
		return
	}
	n := w.serving(j.domain)
	if n == nil {
		w.resubmit(j)
		return
	}
	w.sendTo(n, j)
}

// sendTo sends a job to a process.
func (w *world) sendTo(n *fakeNode, j *fakeJob) {
	n.lastID++
	request := n.lastID
	n.requests[request] = j
	w.do(n, func() { n.node.Submit(w.now, request, j.work, j.sent+j.timeout-w.now) })
}

// serving returns a random process that serves callers, preferably of the domain.
func (w *world) serving(domain string) *fakeNode {
	var near, all []*fakeNode
	for _, n := range w.nodes {
		if n.node == nil || n.id == "" || w.now < n.frozen || !n.node.Serves() {
			continue
		}
		all = append(all, n)
		if n.domain == domain {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

func (w *world) resubmit(j *fakeJob) { w.after(resendInterval, func() { w.sendJob(j) }) }

// load submits jobs at a rate, in all domains, for a while.
func (w *world) load(perSecond float64, d time.Duration) {
	end := w.now + d
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		domain := []string{"a", "b", "c"}[w.rng.IntN(3)]
		if w.crowded && w.cells && w.rng.Float64() < crowdedShare {
			domain = "a"
		}
		switch w.rng.IntN(8) {
		case 0:
			w.submit(domain, 1+w.rng.IntN(4), time.Duration(400+w.rng.IntN(800))*time.Millisecond, 2200*time.Millisecond)
		case 1, 2:
			w.submit(domain, 2+w.rng.IntN(8), time.Duration(30+w.rng.IntN(80))*time.Millisecond, 1900*time.Millisecond)
		default:
			w.submit(domain, 1+w.rng.IntN(3), time.Duration(100+w.rng.IntN(200))*time.Millisecond, 1900*time.Millisecond)
		}
		w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}
