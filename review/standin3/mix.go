//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// mix is an exploration: stored jobs, timed jobs and cancels under random disruptions, one after the other.
func mix(w *world, trouble bool) verdict {
	if !w.awaitReady(10 * time.Second) {
		return failed
	}
	time.Sleep(2 * time.Second)
	kindsOf := strings.Split(os.Getenv("FAULTS"), ",")
	begin := time.Now()
	end := begin.Add(60 * time.Second)
	var wg sync.WaitGroup
	var jobs, cancelled []*job
	var mu sync.Mutex
	if trouble {
		wg.Go(func() {
			for time.Now().Before(end.Add(-8 * time.Second)) {
				time.Sleep(time.Duration(1500+rand.IntN(2500)) * time.Millisecond)
				k := kindsOf[rand.IntN(len(kindsOf))]
				w.rec.logf("FAULT %s", k)
				w.disrupt(k)
			}
		})
	}
	tick := time.NewTicker(time.Second / 60)
	defer tick.Stop()
	for time.Now().Before(end) {
		<-tick.C
		j := &job{id: newID()}
		d := time.Duration(30+rand.IntN(400)) * time.Millisecond
		j.body = jobBody{Spec: "label " + j.id, Steps: []step{
			{Count: 1 + rand.IntN(4), CPU: 9000, MemMB: 64, EstimateMs: int(d.Milliseconds())},
			{Count: 1 + rand.IntN(4), CPU: 9000, MemMB: 64, EstimateMs: int(d.Milliseconds()), DependsOn: []int{0}},
		}}
		if rand.IntN(12) == 0 {
			j.body.Times, j.body.StartAtMs, j.body.IntervalMs = 5, time.Now().Add(2*time.Second).UnixMilli(), 1500
		}
		w.setWork(j.id, work{spec: j.body.Spec, cpu: 9000, memMB: 64, time: d})
		cancel := rand.IntN(10) == 0
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		wg.Go(func() {
			w.submit(j, end)
			if !cancel || j.accepted.IsZero() {
				return
			}
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			mu.Lock()
			cancelled = append(cancelled, j)
			mu.Unlock()
			for time.Now().Before(end.Add(5 * time.Second)) {
				n := w.anyNode()
				status, a := w.call(n, "DELETE", j.id, nil)
				w.rec.logf("DELETE %s at %s: %d %s", j.id, n.Name, status, a)
				if status == 200 || status == 410 {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Until(end.Add(20 * time.Second)))
	wasCancelled := map[string]bool{}
	for _, j := range cancelled {
		wasCancelled[j.id] = true
	}
	bad := 0
	for _, j := range jobs {
		if j.accepted.IsZero() {
			if j.refused && j.attempts == 1 {
				for t := range w.runs.starts {
					if jobOf(t) == j.id {
						w.rec.logf("BAD refused job runs: %s", j.id)
						bad++
						break
					}
				}
			}
			continue
		}
		s := ""
		for range 3 {
			if s = w.state(j); !strings.HasPrefix(s, "status") || s == "status 410" {
				break
			}
		}
		complete := true
		w.runs.mu.Lock()
		for k := range max(1, j.body.Times) {
			for i, st := range j.body.Steps {
				for n := range st.Count {
					t := fmt.Sprintf("%s.%d.%d.%d", j.id, k, i, n)
					complete = complete && w.runs.done[t] > 0
				}
			}
		}
		w.runs.mu.Unlock()
		if s == "completed" && !complete || s != "completed" && !wasCancelled[j.id] {
			bad++
			w.rec.logf("BAD %s is %s, complete %v, cancelled %v", j.id, s, complete, wasCancelled[j.id])
		}
	}
	listed, noted := w.runs.counts()
	w.rec.logf("jobs %d bad %d overlaps %d unasked %d ends %d noted %d", len(jobs), bad, w.runs.overlaps, w.runs.unasked, listed, noted)
	if bad+w.runs.overlaps+w.runs.unasked > 0 {
		return broken
	}
	return held
}

func (w *world) disrupt(k string) {
	switch k {
	case "killleader", "freezeleader", "termleader":
		n := w.lastWriter()
		if n == nil {
			return
		}
		switch k {
		case "killleader":
			w.signal(n, syscall.SIGKILL)
		case "freezeleader":
			w.signal(n, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			w.signal(n, syscall.SIGCONT)
		case "termleader":
			w.signal(n, syscall.SIGTERM)
		}
	case "killall":
		for _, n := range w.nodes {
			w.signal(n, syscall.SIGKILL)
		}
		time.Sleep(3 * time.Second)
	case "killany":
		w.signal(w.anyNode(), syscall.SIGKILL)
	case "silent":
		w.store.silentFor(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
		time.Sleep(4 * time.Second)
	case "slow":
		w.store.slowFor(4500*time.Millisecond, 60)
	case "lost":
		w.store.loseFor(4500*time.Millisecond, 0.35)
	case "runner":
		w.crashRunner(rand.IntN(len(w.runners)))
	}
}

// crashRunner crashes a runner; another one comes in its place two seconds later, with another id.
func (w *world) crashRunner(i int) {
	old := w.runners[i]
	if old.isGone() {
		return
	}
	w.rec.logf("runner %s crashes", old.id)
	old.crash()
	time.AfterFunc(4500*time.Millisecond, func() { w.store.drop("servers", old.id) })
	time.AfterFunc(2*time.Second, func() {
		_ = w.startRunner(100 + rand.IntN(100000)*3 + i%3)
	})
}
