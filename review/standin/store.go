//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// The store's published limits.
const (
	maxEntries  = 100
	maxCallSize = 1 << 20
	maxRowBytes = 65536
)

// storeGate stands before the project's stand-in for the platform's store. It adds the limits of the
// pages, which that doesn't check, the time that a transaction takes, and outages.
type storeGate struct {
	w       *world
	address string
	server  *http.Server
	proxy   *httputil.ReverseProxy

	mu      sync.Mutex
	busy    bool
	silent  bool
	lost    float64
	refused int
}

func newStoreGate(w *world, target string) (*storeGate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &url.URL{Scheme: "http", Host: target}
	g := &storeGate{w: w, address: l.Addr().String(), proxy: httputil.NewSingleHostReverseProxy(u)}
	g.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// set sets whether calls are answered 503 or not at all, and the share of transactions that are applied and
// not answered.
func (g *storeGate) set(busy, silent bool, lost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy, g.silent, g.lost = busy, silent, lost
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	busy, silent, lost := g.busy, g.silent, g.lost
	g.mu.Unlock()
	switch {
	case silent:
		<-q.Context().Done()
		return
	case busy:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q.URL.Path == "/rows-tx" {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if reason := overLimit(body); reason != "" {
			g.mu.Lock()
			g.refused++
			n := g.refused
			g.mu.Unlock()
			g.w.rec.line("store refuses a transaction of %d bytes with status 400: %s (%d so far)", len(body), reason, n)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if len(body) > 300000 {
			g.w.rec.line("store takes a transaction of %d bytes", len(body))
		}
		time.Sleep(3 * time.Millisecond)
		q.Body = io.NopCloser(bytes.NewReader(body))
		q.ContentLength = int64(len(body))
		if lost > 0 && g.w.chance(lost) {
			g.proxy.ServeHTTP(discard{}, q)
			<-q.Context().Done()
			return
		}
	}
	g.proxy.ServeHTTP(rw, q)
}

// overLimit names the published limit that a transaction exceeds; "" if it exceeds none.
func overLimit(body []byte) string {
	if len(body) > maxCallSize {
		return "more than 1 MB"
	}
	var t struct {
		Conditions []json.RawMessage `json:"expectedRev"`
		Set        []struct {
			Value []byte `json:"value"`
		} `json:"setKeys"`
		Remove []json.RawMessage `json:"remove"`
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return "not a transaction"
	}
	if len(t.Conditions)+len(t.Set)+len(t.Remove) > maxEntries {
		return "more than 100 entries"
	}
	for _, r := range t.Set {
		if len(r.Value) > maxRowBytes {
			return "a value of more than rowBytes"
		}
	}
	return ""
}
