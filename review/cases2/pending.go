//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// waitingJobs is the number of jobs that wait for room.
	waitingJobs = 12
	// settledAfter is visible_ms and 2 s more.
	settledAfter = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// pendingJobs kills the process that leads while accepted jobs wait for room, and asks all others how many wait.
func pendingJobs(w *world, trouble bool) error {
	if err := w.begin(48, 4); err != nil {
		return err
	}
	leader := w.leader()
	if leader == nil {
		return errors.New("nobody leads")
	}
	var others []*node
	for _, n := range w.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	// All room is taken for the rest of the run.
	long := jobBody{Spec: "60s", Steps: []step{{Count: 4, CPU: 30000, MemMB: 64, EstimateMs: 60000}}}
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() { defer clients.Done(); w.submit(others, i, w.newID(long), long, 10*time.Second) }()
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	short := jobBody{Spec: "900ms", Steps: []step{{Count: 1, CPU: 27000, MemMB: 64, EstimateMs: 900}}}
	var mu sync.Mutex
	var waiting []string
	for i := range waitingJobs {
		id := w.newID(short)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if w.submit(others, i, id, short, 5*time.Second) {
				mu.Lock()
				defer mu.Unlock()
				waiting = append(waiting, id)
			}
		}()
	}
	clients.Wait()
	if len(waiting) < waitingJobs/2 {
		return fmt.Errorf("only %d jobs were accepted", len(waiting))
	}
	time.Sleep(settledAfter + 500*time.Millisecond)
	stop := make(chan struct{})
	for _, n := range others {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				w.checkPending(n, waiting)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.record.line("%s, which leads, is killed", leader.Name)
		leader.signal(syscall.SIGKILL, false)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

// checkPending asks a node for the number of waiting jobs, and checks it against those that haven't begun.
func (w *world) checkPending(n *node, waiting []string) {
	a := w.call(n, http.MethodGet, "", nil, time.Second)
	if a.status != http.StatusOK {
		return
	}
	left := w.record.notBegun(waiting)
	pending, _ := a.body["pending"].(float64)
	if 2*int(pending) < left {
		w.record.breaks("MIXED: %s gives %v as pending, and %d jobs that were accepted over 5 s before haven't begun", n.Name, pending, left)
	}
}

// notBegun returns how many of the jobs have had no start.
func (c *record) notBegun(jobs []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := make(map[string]bool)
	for task := range c.starts {
		id, _, _ := strings.Cut(task, ".")
		begun[id] = true
	}
	n := 0
	for _, id := range jobs {
		if !begun[id] {
			n++
		}
	}
	return n
}
