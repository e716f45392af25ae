//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crashed is the number of runners that crash: a share of 0.125 of 48.
	crashed = 6
	// crashTime is how long they are down.
	crashTime = time.Second
)

// kind crashes some runners, which come back under their ids as runners of another kind, while jobs come whose tasks
// require a kind.
func kind(w *world, trouble bool) error {
	if err := w.begin(48, 4); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			j := jobBody{Spec: "200ms", BestEffort: true, Steps: []step{{Count: 3, CPU: 27000, MemMB: 64, EstimateMs: 200, Requires: "a"}}}
			clients.Add(1)
			go func() {
				defer clients.Done()
				w.call(w.nodes[i%len(w.nodes)], http.MethodPost, w.newID(j), j, 1500*time.Millisecond)
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	for _, r := range w.runners[:crashed] {
		if r.labels[0] != "a" {
			return fmt.Errorf("%s isn't of kind a", r.id)
		}
		if trouble {
			clients.Add(1)
			go func() { defer clients.Done(); r.crash(crashTime, []string{"b", r.labels[1]}) }()
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

// crash ends a lifetime, and after a time begins another one at the same address and under the same id.
func (r *runner) crash(d time.Duration, labels []string) {
	_ = r.server.Close()
	r.restart(r.labels, r.capacity)
	time.Sleep(d)
	r.restart(labels, r.capacity)
	if err := r.register(); err != nil {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.world.record.line("%s can't listen: %v", r.id, err)
		return
	}
	r.server = &http.Server{Handler: r.server.Handler}
	go func() { _ = r.server.Serve(l) }()
}

// checkKind checks that a runner has the label that a task requires. The caller holds the record's lock.
func (c *record) checkKind(r *runner, id runID) {
	if want := r.world.stepOf(id.task).Requires; want != "" && want != r.labels[0] {
		c.breaksLocked("ROUTE: %s, which requires %q, starts on %s of kind %q, %.3f s after that lifetime began",
			id.task, want, r.id, r.labels[0], time.Since(time.UnixMilli(r.bornMs)).Seconds())
	}
}
