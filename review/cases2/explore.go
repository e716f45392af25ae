//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// explore plays random disruptions beside stored jobs and checks what clients and runners see.
func explore(w *world, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	if length == 0 {
		length = 60
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	w.storeFor = func(n *node) (string, error) {
		address, err := w.store.ListenWithView(w.viewOf(n.Name))
		if err != nil {
			return "", err
		}
		return w.limitedStore(address)
	}
	if err := w.begin(48, 4); err != nil {
		return err
	}
	w.record.maxAttempts = 4
	w.unguarded = os.Getenv("UNGUARDED") != ""
	cpu := 8000
	if w.unguarded {
		cpu = 27000
	}
	x := &explorer{world: w, rng: rng, jobs: make(map[string]*exploredJob), cpu: cpu}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() { defer all.Done(); x.traffic(stop, &all) }()
	end := time.Now().Add(time.Duration(length) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		if trouble {
			x.fault()
		}
	}
	time.Sleep(6 * time.Second)
	x.faults.Wait()
	close(stop)
	all.Wait()
	time.Sleep(14 * time.Second)
	x.finish()
	fmt.Printf("seed %d: %d jobs\n", seed, len(x.jobs))
	return nil
}

type explorer struct {
	world  *world
	rng    *rand.Rand
	faults sync.WaitGroup
	cpu    int

	mu   sync.Mutex
	jobs map[string]*exploredJob
}

type exploredJob struct {
	body                    jobBody
	stored, poison          bool
	accepted                bool
	acceptedAt              time.Time
	cancelSent, cancelAcked bool
}

func (x *explorer) traffic(stop <-chan struct{}, all *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(x.rng.Uint64(), 9))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		j := &exploredJob{stored: rng.IntN(10) < 8, poison: rng.IntN(30) == 0}
		ms := 50 + rng.IntN(1200)
		spec := fmt.Sprintf("%dms", ms)
		if j.poison {
			spec += " fail"
		}
		j.body = jobBody{Spec: spec, BestEffort: !j.stored, Steps: []step{{Count: 1 + rng.IntN(5), CPU: x.cpu, MemMB: 64, EstimateMs: ms}}}
		if rng.IntN(3) == 0 {
			j.body.Steps = append(j.body.Steps, step{Count: 1 + rng.IntN(3), CPU: x.cpu, MemMB: 64, EstimateMs: ms, DependsOn: []int{0}})
		}
		if os.Getenv("HEAVY") != "" && j.stored && rng.IntN(2) == 0 {
			j.poison = false
			j.body.Spec = "60ms"
			j.body.Steps = []step{{Count: 60 + rng.IntN(60), CPU: 100, MemMB: 8, EstimateMs: 60}}
		}
		if os.Getenv("TIMED") != "" && j.stored && !j.poison && rng.IntN(4) == 0 {
			j.body.Times, j.body.IntervalMs = 2+rng.IntN(3), 300+rng.IntN(900)
			j.body.StartAtMs = time.Now().Add(time.Duration(rng.IntN(3000)) * time.Millisecond).UnixMilli()
		}
		if os.Getenv("LOAD") != "" {
			j.stored, j.poison = false, false
			ms = 100 + rng.IntN(500)
			j.body = jobBody{Spec: fmt.Sprintf("%dms", ms), BestEffort: true, Steps: []step{{Count: 8, CPU: 27000, MemMB: 64, EstimateMs: ms}}}
		}
		id := x.world.newID(j.body)
		x.mu.Lock()
		x.jobs[id] = j
		x.mu.Unlock()
		cancel, again := rng.IntN(12) == 0, rng.IntN(8) == 0
		delay := time.Duration(rng.IntN(1500)) * time.Millisecond
		all.Add(1)
		go func() {
			defer all.Done()
			x.client(i, id, j, cancel, again, delay)
		}()
	}
}

func (x *explorer) client(i int, id string, j *exploredJob, cancel, again bool, delay time.Duration) {
	w := x.world
	if !j.stored {
		for n := range 3 {
			if a := w.call(w.nodes[(i+n)%len(w.nodes)], http.MethodPost, id, j.body, 2700*time.Millisecond); a.status == 200 || a.status == 503 {
				return
			}
			time.Sleep(1300 * time.Millisecond)
		}
		return
	}
	if !w.submit(w.nodes, i, id, j.body, 15*time.Second) {
		return
	}
	x.mu.Lock()
	j.accepted, j.acceptedAt = true, time.Now()
	x.mu.Unlock()
	time.Sleep(delay)
	if cancel {
		x.mu.Lock()
		j.cancelSent = true
		x.mu.Unlock()
		if w.cancel(id, i, 12*time.Second) {
			x.mu.Lock()
			j.cancelAcked = true
			x.mu.Unlock()
			w.record.cancelledNow(id)
		}
		return
	}
	if again {
		time.Sleep(time.Second)
		w.call(w.nodes[(i+3)%len(w.nodes)], http.MethodPost, id, j.body, 1500*time.Millisecond)
	}
	if a := w.call(w.nodes[(i+1)%len(w.nodes)], http.MethodGet, id, nil, 1500*time.Millisecond); a.status == 410 {
		w.record.breaks("LOST? %s, accepted %.3f s before, is answered 410 by %s", id, time.Since(j.acceptedAt).Seconds(), w.nodes[(i+1)%len(w.nodes)].Name)
	}
}

func (x *explorer) fault() {
	w, rng := x.world, x.rng
	n := w.nodes[rng.IntN(len(w.nodes))]
	if rng.IntN(3) == 0 {
		if l := w.leader(); l != nil {
			n = l
		}
	}
	r := w.runners[rng.IntN(len(w.runners))]
	d := time.Duration(300+rng.IntN(5000)) * time.Millisecond
	after := func(d time.Duration, f func()) {
		x.faults.Add(1)
		go func() { defer x.faults.Done(); time.Sleep(d); f() }()
	}
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	kind := kinds[rng.IntN(len(kinds))]
	w.record.line("FAULT %s %s %s %v", kind, n.Name, r.id, d)
	switch kind {
	case "kill":
		n.signal(syscall.SIGKILL, false)
	case "term":
		n.signal(syscall.SIGTERM, false)
		after(6*time.Second, func() {})
	case "freeze":
		d = min(d, 3500*time.Millisecond)
		n.signal(syscall.SIGSTOP, false)
		after(d, func() { n.signal(syscall.SIGCONT, false) })
	case "cut":
		w.cut(n, true)
		after(d, func() { w.cut(n, false) })
	case "onewayin", "onewayout":
		w.cutOneWay(n, kind == "onewayin", true)
		after(d, func() { w.cutOneWay(n, kind == "onewayin", false) })
	case "cutpeers":
		w.cutPeers(n, true)
		after(d, func() { w.cutPeers(n, false) })
	case "cutstore":
		n.proxy.Drop(true, true)
		after(d, func() { n.proxy.Drop(false, false) })
	case "crash":
		r.restart(r.labels, r.capacity)
		after(0, func() { _ = r.register() })
	case "busy":
		w.store.SetFaults(deployment.StoreFaults{Busy: true})
		after(min(d, 4500*time.Millisecond), func() { w.store.SetFaults(deployment.StoreFaults{}) })
	case "silent":
		w.store.SetFaults(deployment.StoreFaults{Silent: true})
		after(min(d, 4500*time.Millisecond), func() { w.store.SetFaults(deployment.StoreFaults{}) })
	case "slow":
		w.store.SetFaults(deployment.StoreFaults{Delay: 240 * time.Millisecond})
		after(min(d, 4500*time.Millisecond), func() { w.store.SetFaults(deployment.StoreFaults{}) })
	case "lost":
		w.store.SetFaults(deployment.StoreFaults{LoseReplies: 3})
	case "latewrites":
		w.setLateWrites(0.35)
		after(min(d, 4500*time.Millisecond), func() { w.setLateWrites(0) })
	case "late":
		w.lateOrders(0.055)
		after(d, func() { w.lateOrders(0) })
	case "freeze2":
		m := w.nodes[rng.IntN(len(w.nodes))]
		m.signal(syscall.SIGSTOP, false)
		n.signal(syscall.SIGSTOP, false)
		d = min(d, 3500*time.Millisecond)
		after(d, func() { n.signal(syscall.SIGCONT, false) })
		after(d+100*time.Millisecond, func() { m.signal(syscall.SIGCONT, false) })
	}
}

// finish asks for all accepted jobs.
func (x *explorer) finish() {
	w := x.world
	for id, j := range x.jobs {
		if !j.accepted {
			continue
		}
		a := w.call(w.nodes[0], http.MethodGet, id, nil, 1500*time.Millisecond)
		state, _ := a.body["state"].(string)
		switch {
		case j.cancelSent:
		case a.status != 200:
			w.record.breaks("LOST: %s is answered %d in the end", id, a.status)
		case state == "cancelled", state == "failed" && !j.poison:
			w.record.breaks("LOST: %s is shown as %s", id, state)
		case state == "running", state == "queued":
			w.record.breaks("LOST? %s is still %s", id, state)
		case state == "completed":
			w.record.checkCompleted(id, j.body)
		}
	}
}

// checkCompleted checks that each task of a completed job has ended done.
func (c *record) checkCompleted(id string, j jobBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range max(1, j.Times) {
		for s, step := range j.Steps {
			for i := range step.Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", id, k, s, i); !c.doneEver[task] {
					c.breaksLocked("MIXED: %s is shown as completed and %s hasn't ended done", id, task)
				}
			}
		}
	}
}

func (c *record) cancelledNow(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled[id] = time.Now()
}
