//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	DependsOn  []int `json:"dependsOn,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
	Times      int    `json:"times,omitempty"`
	StartAtMs  int64  `json:"startAtMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

// job is a job of a client.
type job struct {
	id        string
	body      jobBody
	mu        sync.Mutex
	accepted  time.Time
	firstSent time.Time
	refused   bool
	// attempts counts the sends, final is the last state that a client was told.
	attempts int
	final    string
}

const (
	// clientTimeout is the time that clients wait (Deadline-Ms): the time budget on the sheet.
	clientTimeout = 1500 * time.Millisecond
	// resendAfter is the pause before a request without an answer is sent again (retransmitMs).
	resendAfter = 1300 * time.Millisecond
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request to a node; status is 0 if there was no answer in time.
func (w *world) call(n *node, method, id string, body []byte) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallerAddress+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, strings.TrimSpace(string(raw))
}

func (w *world) anyNode() *node { return w.nodes[rand.IntN(len(w.nodes))] }

// submit hands a job in until it is accepted or refused, or until the end. It sends it again after no answer, 502 and 504.
func (w *world) submit(j *job, end time.Time) {
	raw, err := json.Marshal(j.body)
	if err != nil {
		panic(err)
	}
	j.firstSent = time.Now()
	for time.Now().Before(end) {
		n := w.anyNode()
		status, a := w.call(n, http.MethodPost, j.id, raw)
		w.rec.logf("POST %s at %s: %d %s", j.id, n.Name, status, a)
		j.mu.Lock()
		j.attempts++
		switch {
		case status == http.StatusOK:
			j.accepted = time.Now()
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound || status == http.StatusBadRequest:
			j.refused = true
		}
		settled := j.refused || !j.accepted.IsZero()
		j.mu.Unlock()
		if settled {
			return
		}
		time.Sleep(resendAfter)
	}
}

// state asks for a job's state, and returns it, or the status in its place.
func (w *world) state(j *job) string {
	n := w.anyNode()
	status, a := w.call(n, http.MethodGet, j.id, nil)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a), &b)
	s := b.State
	if s == "" {
		s = fmt.Sprintf("status %d", status)
	}
	j.mu.Lock()
	j.final = s
	j.mu.Unlock()
	return s
}

// awaitReady waits until all processes serve.
func (w *world) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, n := range w.nodes {
			res, err := httpClient.Get("http://" + n.HealthAddress + "/ready")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
