//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"time"
)

// The limits of the store, by the pages: rowBytes of a row's value, and the entries and the size of a call.
const (
	rowBytes   = 65536
	maxEntries = 100
	maxCall    = 1 << 20
)

// limitedStore returns the address of a proxy of the store at an address, with its limits: a transaction that exceeds
// one is refused as invalid, and nothing of it is done. A share of the others is left unanswered and done later, if
// lateWrites says so.
func (w *world) limitedStore(address string) (string, error) {
	to, err := url.Parse("http://" + address)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	pass := httputil.NewSingleHostReverseProxy(to)
	pass.ErrorLog = log.New(io.Discard, "", 0)
	handler := http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		if q.Method != http.MethodPost {
			pass.ServeHTTP(rw, q)
			return
		}
		raw, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		var t struct {
			ExpectedRev, SetKeys, Remove []struct {
				Table, Key string
				Value      []byte
			}
		}
		if json.Unmarshal(raw, &t) != nil || len(raw) > maxCall || len(t.ExpectedRev)+len(t.SetKeys)+len(t.Remove) > maxEntries {
			w.record.line("the store refuses a call of %d bytes", len(raw))
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, r := range t.SetKeys {
			if len(r.Value) > rowBytes {
				w.record.line("the store refuses a call with row %s/%s of %d bytes", r.Table, r.Key, len(r.Value))
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		if w.isLateWrite() {
			later := q.Clone(context.Background())
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() {
				later.Body = io.NopCloser(bytes.NewReader(raw))
				pass.ServeHTTP(httptest.NewRecorder(), later)
			})
			<-q.Context().Done()
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(raw))
		pass.ServeHTTP(rw, q)
	})
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}
