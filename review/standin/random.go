//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	plays["random"] = play{site: layout{zones: []string{"loughborough", "melton", "hinckley"}, nodes: []int{3, 2, 1}, runners: 12, perRack: 4}, attempts: 4, run: playRandom}
}

// randomJob draws a job.
func (w *world) randomJob() jobSpec {
	ms := func(a, b int) time.Duration { return time.Duration(a+w.pick(b-a)) * time.Millisecond }
	s := jobSpec{Spec: fmt.Sprintf("work-%d", w.pick(1000000)), BestEffort: w.chance(0.25)}
	steps := 1 + w.pick(3)
	for i := range steps {
		work := ms(20, 700)
		st := stepSpec{Count: 1 + w.pick(6), CPU: 2000 + w.pick(20000), MemMB: 64, EstimateMs: float64(work.Milliseconds()) * (0.7 + float64(w.pick(60))/100), work: work}
		if i > 0 && w.chance(0.8) {
			st.DependsOn = []int{w.pick(i)}
		}
		if w.chance(0.15) {
			st.failures = 1 + w.pick(3)
		}
		if w.chance(0.02) {
			st.failures = 9
		}
		if w.chance(0.1) {
			st.AntiAffinity = 1 + w.pick(2)
		}
		s.Steps = append(s.Steps, st)
	}
	if !s.BestEffort && w.chance(0.1) {
		s.Times = 2 + w.pick(3)
		s.StartAtMs = time.Now().UnixMilli() + int64(w.pick(4000)) - 500
		s.IntervalMs = int64(300 + w.pick(2500))
	}
	return s
}

// randomFaults are the disruptions of the random play.
var randomFaults = map[string]func(w *world, stop <-chan struct{}){
	"kill":   func(w *world, _ <-chan struct{}) { w.nodes[w.pick(len(w.nodes))].signal(syscall.SIGKILL) },
	"term":   func(w *world, _ <-chan struct{}) { w.nodes[w.pick(len(w.nodes))].signal(syscall.SIGTERM) },
	"freeze": func(w *world, stop <-chan struct{}) { w.freeze(w.nodes[w.pick(len(w.nodes))], stop) },
	"leadkill": func(w *world, _ <-chan struct{}) {
		if n := w.leader(); n != nil {
			n.signal(syscall.SIGKILL)
		}
	},
	"leadterm": func(w *world, _ <-chan struct{}) {
		if n := w.leader(); n != nil {
			n.signal(syscall.SIGTERM)
		}
	},
	"leadfreeze": func(w *world, stop <-chan struct{}) {
		if n := w.leader(); n != nil {
			w.freeze(n, stop)
		}
	},
	"killall": func(w *world, _ <-chan struct{}) {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	},
	"busy":   func(w *world, stop <-chan struct{}) { w.outage(true, false, 0, stop) },
	"silent": func(w *world, stop <-chan struct{}) { w.outage(false, true, 0, stop) },
	"lost":   func(w *world, stop <-chan struct{}) { w.outage(false, false, 0.35, stop) },
	"crash": func(w *world, _ <-chan struct{}) {
		r := w.runners[w.pick(len(w.runners))]
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		r.crash(born, w.between(200*time.Millisecond, 4500*time.Millisecond))
	},
	"cut": func(w *world, stop <-chan struct{}) {
		r := w.runners[w.pick(len(w.runners))]
		w.rec.line("runner-cut runner=%s", r.id)
		r.setSilent(true)
		w.later(w.between(300*time.Millisecond, 5*time.Second), stop, func() {
			r.setSilent(false)
			w.rec.line("runner-uncut runner=%s", r.id)
		})
	},
	"late": func(w *world, stop <-chan struct{}) {
		for _, r := range w.runners {
			r.mu.Lock()
			r.lateShare = 0.055
			r.mu.Unlock()
		}
		w.rec.line("late orders begin")
		w.later(5500*time.Millisecond, stop, func() {
			for _, r := range w.runners {
				r.mu.Lock()
				r.lateShare = 0
				r.mu.Unlock()
			}
		})
	},
	"grey": func(w *world, stop <-chan struct{}) {
		r := w.runners[w.pick(len(w.runners))]
		r.mu.Lock()
		r.failing = true
		r.mu.Unlock()
		w.later(5*time.Second, stop, func() {
			r.mu.Lock()
			r.failing = false
			r.mu.Unlock()
		})
	},
	"history": func(w *world, _ <-chan struct{}) { w.store.DropHistory() },
	"config":  func(w *world, _ <-chan struct{}) { w.putConfiguration() },
}

func (r *runner) setSilent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

func (w *world) later(d time.Duration, stop <-chan struct{}, f func()) {
	go func() {
		select {
		case <-time.After(d):
		case <-stop:
		}
		f()
	}()
}

func (w *world) freeze(n *node, stop <-chan struct{}) {
	n.signal(syscall.SIGSTOP)
	w.later(w.between(200*time.Millisecond, 3500*time.Millisecond), stop, func() { n.signal(syscall.SIGCONT) })
}

func (w *world) outage(busy, silent bool, lost float64, stop <-chan struct{}) {
	w.gate.set(busy, silent, lost)
	w.later(w.between(300*time.Millisecond, 4500*time.Millisecond), stop, func() { w.gate.set(false, false, 0) })
}

// playRandom sends random jobs while random disruptions come, one after the other.
func playRandom(w *world) ([]string, error) {
	stop, stopFaults := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	for c := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				j := w.newJob(fmt.Sprintf("%08x%08x", c+1, k), w.randomJob())
				w.client(j, c+k)
			}
		}()
	}
	kinds := strings.Split(*faults, ",")
	end := time.Now().Add(*duration)
	for time.Now().Before(end) {
		time.Sleep(w.between(200*time.Millisecond, 2500*time.Millisecond))
		if *faults == "" {
			continue
		}
		k := kinds[w.pick(len(kinds))]
		w.rec.line("FAULT %s", k)
		randomFaults[k](w, stopFaults)
	}
	close(stopFaults)
	time.Sleep(500 * time.Millisecond)
	w.gate.set(false, false, 0)
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	w.rec.line("traffic has ended")
	broken := w.settle(14 * time.Second)
	if *planned {
		broken = append(broken, w.cut...)
	}
	return append(broken, w.violations()...), nil
}

// client sends a job, sometimes cancels it, and asks for its state for a while.
func (w *world) client(j *jobRecord, node int) {
	if !w.submit(j, node, 4, 2500*time.Millisecond) || j.spec.BestEffort {
		return
	}
	if w.chance(0.08) {
		time.Sleep(w.between(0, 800*time.Millisecond))
		w.cancel(j, node+1, 6)
	}
	if w.chance(0.03) {
		time.Sleep(w.between(0, 2*time.Second))
		w.submit(j, node+2, 1, 2500*time.Millisecond)
	}
	for i := range 6 {
		time.Sleep(w.between(20*time.Millisecond, 500*time.Millisecond))
		status, state := w.ask(j, node+i)
		if status == 410 {
			w.report("LOST: %s was accepted and is unknown now", j.id)
			return
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// report notes a broken rule that a client has seen.
func (w *world) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, fmt.Sprintf(format, args...))
}

// settle asks for all accepted jobs that haven't ended until they have, for a while, and returns what is
// wrong with those that haven't.
func (w *world) settle(limit time.Duration) []string {
	begin := time.Now()
	for k := 0; time.Since(begin) < limit; k++ {
		open := 0
		for i, j := range w.accepted() {
			w.mu.Lock()
			ended := j.state != ""
			w.mu.Unlock()
			if ended {
				continue
			}
			if status, _ := w.ask(j, i+k); status == 410 && j.cancelSent.IsZero() {
				w.report("LOST: %s was accepted and is unknown now", j.id)
			}
			open++
		}
		if open == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	broken := w.stuck(begin)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.order {
		if !j.spec.BestEffort && !j.acceptedAt.IsZero() && j.state == "" {
			broken = append(broken, fmt.Sprintf("OPEN: %s was accepted at %.3f and has not ended %v after the traffic", j.id, j.acceptedAt.Sub(w.rec.begun).Seconds(), limit))
		}
	}
	return append(broken, w.seen...)
}
