//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// closedWide is the number of tasks of the job that can never be done, and closedTime how long each runs until it
	// fails: longer than finish_s.
	closedWide = 240
	closedTime = 20 * time.Second
	finish     = 14 * time.Second
	// idleLimit is how long a job may have nothing running by the rule.
	idleLimit = 3 * time.Second
)

// closedRunners hands in one wide job that can never be done, beside sound jobs of two steps.
func closedRunners(w *world, trouble bool) error {
	if err := w.begin(48, 4); err != nil {
		return err
	}
	spec := closedTime.String()
	if trouble {
		spec += " fail"
	}
	poison := jobBody{Spec: spec, Steps: []step{{Count: closedWide, CPU: 12000, MemMB: 64, EstimateMs: int(closedTime.Milliseconds())}}}
	if trouble && os.Getenv("LONG") == "1" {
		// A variant: the wide job's tasks don't fail, and take seven times their estimate.
		poison.Spec, poison.Steps[0].EstimateMs = "42s", 6000
	}
	if !w.submit(w.nodes, 0, w.newID(poison), poison, 5*time.Second) {
		return errors.New("the wide job wasn't accepted")
	}
	sound := jobBody{Spec: "20500ms", Steps: []step{
		{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: 20500},
		{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: 20500, DependsOn: []int{0}},
	}}
	var ids []string
	var clients sync.WaitGroup
	for i := range 30 {
		id := w.newID(sound)
		ids = append(ids, id)
		clients.Add(1)
		go func() { defer clients.Done(); w.submit(w.nodes, i, id, sound, 5*time.Second) }()
	}
	clients.Wait()
	w.record.line("the traffic ends")
	ended := time.Now()
	time.Sleep(time.Until(ended.Add(closedTime + 2*time.Second)))
	w.probeRoom()
	time.Sleep(time.Until(ended.Add(closedTime + 15*time.Second)))
	idle := 0
	for _, id := range ids {
		if w.record.idleBetweenSteps(id, ended.Add(finish)) {
			idle++
		}
	}
	fmt.Printf("%d of %d sound jobs had nothing running for over %v\n", idle, len(ids), idleLimit)
	return nil
}

// probeRoom sends some small jobs that needn't be stored while next to nothing runs, and records the answers.
func (w *world) probeRoom() {
	j := jobBody{Spec: "60ms", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 60}}, BestEffort: true}
	refused := 0
	for _, n := range w.nodes {
		if w.call(n, http.MethodPost, w.newID(j), j, 1500*time.Millisecond).status == http.StatusServiceUnavailable {
			refused++
		}
	}
	w.record.line("%d of %d small jobs are refused with 503", refused, len(w.nodes))
}

// idleBetweenSteps reports whether a job had nothing running for too long after its first step, after a time.
func (c *record) idleBetweenSteps(id string, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	done, ok := c.doneAt[id+".0.0.0"]
	if !ok {
		c.write("the first step of %s isn't done", id)
		return false
	}
	from := done
	if after.After(from) {
		from = after
	}
	next := time.Now()
	if s := c.starts[id+".0.1.0"]; len(s) > 0 {
		next = s[0].at
	}
	c.write("%s: first step done at %.3f, second step starts %.3f s later", id, done.Sub(c.begun).Seconds(), next.Sub(from).Seconds())
	if next.Sub(from) <= idleLimit {
		return false
	}
	c.breaksLocked("LOST: %s has nothing running for %.3f s while the turn of its second step has come", id, next.Sub(from).Seconds())
	return true
}
