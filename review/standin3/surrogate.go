//go:build review3

package main

import (
	"net/http"
	"time"
)

// surrogate: a client hands in a job whose spec ends with one half of a character beyond the first 65,536, as a text does
// that was cut to a length in a language with 16-bit characters. Runners must be told this spec and no other.
func surrogate(w *world, trouble bool) verdict {
	if !w.awaitReady(10 * time.Second) {
		w.rec.logf("the processes aren't ready")
		return failed
	}
	time.Sleep(2 * time.Second)
	// The client's JSON, as it stands on the wire; the second half is missing with the trouble.
	spec := `nut-free menu \ud83e\udd5c`
	if trouble {
		spec = `nut-free menu \ud83e`
	}
	j := &job{id: newID()}
	w.setWork(j.id, work{wireSpec: spec, cpu: 1000, memMB: 64, time: 50 * time.Millisecond})
	body := `{"spec":"` + spec + `","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":50}]}`
	for range 5 {
		n := w.anyNode()
		status, a := w.call(n, http.MethodPost, j.id, []byte(body))
		w.rec.logf("POST %s at %s: %d %s %s", j.id, n.Name, status, body, a)
		if status == http.StatusOK {
			break
		}
		if status == http.StatusBadRequest {
			return held
		}
		time.Sleep(resendAfter)
	}
	time.Sleep(3 * time.Second)
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	switch {
	case len(w.runs.starts) == 0:
		w.rec.logf("nothing was started")
		return failed
	case w.runs.unasked > 0:
		w.rec.logf("rule UNASKED broken: runners were told another spec")
		return broken
	}
	return held
}
