//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// poisonTasks is the number of tasks of the job that can never be done, poisonTime how long each of them runs
	// until it fails.
	poisonTasks = 980
	poisonTime  = 12 * time.Second
	// ackTimeout is ackTimeoutMs.
	ackTimeout = 4 * time.Second
	// The jobs to be cancelled are cancelled one each second, from cancelsFrom after the wide job came.
	cancels     = 26
	cancelsFrom = 28 * time.Second
)

// bigRow hands in one wide job that can never be done, while other jobs are accepted and cancelled.
func bigRow(w *world, trouble bool) error {
	address, err := w.limitedStore(w.store.Address())
	if err != nil {
		return err
	}
	w.storeFor = func(*node) (string, error) { return address, nil }
	if err := w.begin(48, 4); err != nil {
		return err
	}
	begun := time.Now()
	spec := poisonTime.String()
	if trouble {
		spec += " fail"
	}
	poison := jobBody{Spec: spec, Steps: []step{{Count: poisonTasks, CPU: 500, MemMB: 64, EstimateMs: int(poisonTime.Milliseconds())}}}
	if !w.submit(w.nodes, 0, w.newID(poison), poison, 10*time.Second) {
		return errors.New("the wide job wasn't accepted")
	}
	var toCancel []string
	long := jobBody{Spec: "100s", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 100000}}}
	for i := range cancels {
		id := w.newID(long)
		if !w.submit(w.nodes, i, id, long, 5*time.Second) {
			return errors.New("a job to be cancelled wasn't accepted")
		}
		toCancel = append(toCancel, id)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, accepted, refused := 0, 0, 0
	time.Sleep(time.Until(begun.Add(cancelsFrom)))
	for i, id := range toCancel {
		clients.Add(2)
		go func() {
			defer clients.Done()
			if w.cancel(id, i, ackTimeout) {
				return
			}
			w.record.line("no answer to the cancelling of %s for %v", id, ackTimeout)
			mu.Lock()
			defer mu.Unlock()
			late++
		}()
		go func() {
			defer clients.Done()
			j := jobBody{Spec: "200ms", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 200}}}
			ok := w.call(w.nodes[i%len(w.nodes)], http.MethodPost, w.newID(j), j, 1500*time.Millisecond).status/100 == 2
			mu.Lock()
			defer mu.Unlock()
			if ok {
				accepted++
			} else {
				refused++
			}
		}()
		time.Sleep(time.Second)
	}
	clients.Wait()
	text := fmt.Sprintf("%d of %d cancels without 2xx or 410 after %v; of the jobs sent meanwhile %d accepted, %d not", late, cancels, ackTimeout, accepted, refused)
	w.record.line("%s", text)
	fmt.Println(text)
	if late*10 > cancels {
		w.record.breaks("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after %v", late, cancels, ackTimeout)
	}
	return nil
}

// cancel asks for a job to be cancelled until that is answered with 2xx or 410, and reports whether it was in time.
func (w *world) cancel(id string, first int, limit time.Duration) bool {
	for i, end := first, time.Now().Add(limit); time.Now().Before(end); i++ {
		a := w.call(w.nodes[i%len(w.nodes)], http.MethodDelete, id, nil, time.Until(end))
		if a.status/100 == 2 || a.status == http.StatusGone {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
