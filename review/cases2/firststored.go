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

// cutTime is how long the machine is cut off: for_s of the site file.
const cutTime = 5500 * time.Millisecond

// firstStored cuts one machine off from the other machines of the system and from the store. During the cut the
// first jobs that must be stored come, at other machines.
func firstStored(w *world, trouble bool) error {
	if err := w.begin(48, 4); err != nil {
		return err
	}
	leader := w.leader()
	if leader == nil {
		return errors.New("nobody leads")
	}
	var others []*node
	var victim *node
	for _, n := range w.nodes {
		if n != leader && victim == nil && n.Domain != leader.Domain {
			victim = n
			continue
		}
		others = append(others, n)
	}
	w.record.line("%s leads, %s is to be cut off", leader.Name, victim.Name)
	var clients sync.WaitGroup
	// Jobs that needn't be stored come before and all the while.
	quit := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(100 * time.Millisecond):
			}
			j := jobBody{Spec: "200ms", Steps: []step{{Count: 2, CPU: 8000, MemMB: 64, EstimateMs: 200}}, BestEffort: true}
			clients.Add(1)
			go func() {
				defer clients.Done()
				w.call(others[i%len(others)], http.MethodPost, w.newID(j), j, 2700*time.Millisecond)
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	if os.Getenv("STORED_BEFORE") == "1" {
		// A control: one stored job has come before the cut.
		j := jobBody{Spec: "50ms", Steps: []step{{Count: 1, CPU: 8000, MemMB: 64, EstimateMs: 50}}}
		w.submit(others, 0, w.newID(j), j, 5*time.Second)
	}
	time.Sleep(time.Second)
	// With CUT=peers, another control, the machine still reaches the store.
	cut := w.cut
	if os.Getenv("CUT") == "peers" {
		cut = w.cutPeers
	}
	if trouble {
		cut(victim, true)
	}
	cutAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	accepted := make(map[string]bool)
	// All come from one client, whose channel is at one machine.
	for range 70 {
		j := jobBody{Spec: "900ms", Steps: []step{{Count: 4, CPU: 8000, MemMB: 64, EstimateMs: 900}}}
		id := w.newID(j)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if w.submit(others, 0, id, j, 10*time.Second) {
				mu.Lock()
				defer mu.Unlock()
				accepted[id] = true
			}
		}()
		time.Sleep(70 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		cut(victim, false)
	}
	time.Sleep(10 * time.Second)
	close(quit)
	clients.Wait()
	time.Sleep(5 * time.Second)
	if len(accepted) == 0 {
		return errors.New("no stored job was accepted")
	}
	for id := range accepted {
		if a := w.call(others[0], http.MethodGet, id, nil, 1500*time.Millisecond); a.status != http.StatusOK || a.body["state"] != "completed" {
			w.record.line("job %s ends as %d %v", id, a.status, a.body)
		}
	}
	fmt.Printf("%d stored jobs accepted\n", len(accepted))
	return nil
}
