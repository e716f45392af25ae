//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// oneWayCut is how long the cut lasts: for_s of the site file.
const oneWayCut = 5500 * time.Millisecond

// oneWay drops what the other machines of the system send to one machine, which doesn't lead, while it and the others
// take wide jobs that fill the runners. What it sends arrives, and so do all calls to runners and to the store.
func oneWay(w *world, trouble bool) error {
	w.small = envInt("SMALL", 0)
	if err := w.begin(48, 4); err != nil {
		return err
	}
	leader := w.leader()
	if leader == nil {
		return errors.New("nobody leads")
	}
	var victim *node
	for _, n := range w.nodes {
		if n != leader && (victim == nil || victim.Domain == leader.Domain) {
			victim = n
		}
	}
	w.record.line("%s leads, %s is to be cut off", leader.Name, victim.Name)
	ms, width, gap := envInt("MS", 200), envInt("WIDTH", 32), envInt("GAP", 65)
	j := jobBody{Spec: fmt.Sprintf("%dms", ms), BestEffort: true, Steps: []step{{Count: width, CPU: 27000, MemMB: 64, EstimateMs: ms}}}
	if width := envInt("KINDB", 0); width > 0 {
		j.Steps = []step{
			{Count: 1, CPU: 2000, MemMB: 64, EstimateMs: ms},
			{Count: width, CPU: 27000, MemMB: 64, EstimateMs: ms, Requires: "b"},
		}
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
			case <-time.After(time.Duration(gap) * time.Millisecond):
			}
			n := victim
			if i%8 == 0 {
				n = w.nodes[i/8%len(w.nodes)]
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				path := prefix
				if w.small > 0 {
					path = prefix2
				}
				w.callAt(n, http.MethodPost, path+w.newID(j), j, 2700*time.Millisecond)
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	for range envInt("CUTS", 1) {
		if trouble {
			w.record.line("%s hears no other machine", victim.Name)
			w.cutOneWay(victim, true, true)
		}
		time.Sleep(time.Duration(envInt("CUT", int(oneWayCut.Milliseconds()))) * time.Millisecond)
		if trouble {
			w.cutOneWay(victim, true, false)
			w.record.line("%s hears the others again", victim.Name)
		}
		time.Sleep(time.Duration(envInt("PAUSE", 2000)) * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
