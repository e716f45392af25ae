// Package deployment is a small stand-in for the platform. It implements the platform's published
// protocol: a store of rows with a feed of changes, and runners that register in the store. Tests
// and examples run the entry program against it.
package deployment

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Row is a row of a table; Value is base64 on the wire. Version is the store's version at the row's
// last change.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"tableVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// StoreFaults are the faults injected at present.
type StoreFaults struct {
	// Busy: every call after the next CallsUntilBusy ones is answered with status 503.
	Busy           bool
	CallsUntilBusy int
	// Silent: no call is answered.
	Silent bool
	// Delay is how late calls are answered after they were carried out.
	Delay time.Duration
	// LoseReplies is the number of next transactions that are applied and not answered.
	LoseReplies int
	// FeedBytes bounds the encoded values in one answer of the feed; 0 is no bound.
	FeedBytes int
}

// Store is the stand-in for the platform's store.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// version is increased by each transaction and by each Put, PutRaw and Remove.
	version uint64
	rows    map[rowKey]Row
	// history holds the changes that the feed can return: all those after droppedVersion.
	history        []Row
	droppedVersion uint64
	// changed is closed, and replaced, when a row changes.
	changed chan struct{}
	faults  StoreFaults
	writes  int
}

type rowKey struct{ table, part, key string }

// NewStore starts a store on a free port of the loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Store{listener: l, rows: make(map[rowKey]Row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	s.server = &http.Server{Handler: s.applyFaults(mux), ReadHeaderTimeout: time.Second, BaseContext: baseContext}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the address on which the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close closes the store with all its connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history of changes, so that feeds that depend on it have to read all rows
// again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.droppedVersion = s.version
}

// Writes returns the number of transactions applied.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put writes a row as the platform or its operators do.
func (s *Store) Put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	s.PutRaw(table, key, raw)
	return nil
}

// PutRaw writes a row with the given bytes, which need not be valid.
func (s *Store) PutRaw(table, key string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Value: raw})
	s.notifyReaders()
}

// Remove deletes a row of the part without a name.
func (s *Store) Remove(table, key string) { s.RemoveFromPart(table, "", key) }

// RemoveFromPart deletes a row.
func (s *Store) RemoveFromPart(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Part: part, Key: key, Deleted: true})
	s.notifyReaders()
}

// apply stores or deletes a row at the present version and adds the change to the history. The caller
// holds the lock.
func (s *Store) apply(r Row) {
	r.Version = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.faults.CallsUntilBusy = max(0, f.CallsUntilBusy-1)
		s.mu.Unlock()
		switch {
		case f.Busy && f.CallsUntilBusy == 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case f.Silent:
			<-r.Context().Done()
		default:
			next.ServeHTTP(w, r)
			s.delayAnswer(r.Context())
		}
	})
}

// delayAnswer waits for the delay of answers. An answer is sent when its handler returns, at least its end.
func (s *Store) delayAnswer(ctx context.Context) {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// transact applies a transaction if each row of its conditions has the expected version (0 if it
// doesn't exist), and otherwise answers with status 412.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []Row `json:"expectedRev"`
		Set        []Row `json:"setKeys"`
		Remove     []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, c := range t.Conditions {
		if s.rows[rowKey{c.Table, c.Part, c.Key}].Version != c.Version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	s.writes++
	for _, row := range t.Set {
		s.apply(row)
	}
	for _, row := range t.Remove {
		row.Deleted = true
		s.apply(row)
	}
	s.notifyReaders()
	version, lose := s.version, s.faults.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"tableVersion": version, "nowMs": time.Now().UnixMilli()})
}

// get returns the rows of one part of a table in the order of their keys, beginning at the key from.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	n := fitting(rows, limit, maxGetBytes)
	more := len(rows) > n
	rows = seenBy(r, rows[:n])
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "tableVersion": s.version, "nowMs": time.Now().UnixMilli()})
}

// parts lists the parts of a table that have rows.
func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"parts": s.Parts(r.URL.Query().Get("table"))})
}

// Parts lists the parts of a table that have rows, in order.
func (s *Store) Parts(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for k := range s.rows {
		if k.table == table && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	return parts
}

// maxFeedRows bounds the changes in one answer of the feed.
const maxFeedRows = 500

// maxGetBytes bounds the encoded values in one answer about rows.
const maxGetBytes = 1 << 20

// feed returns the changes of a table after a version (dependsOn). If there are none, it waits for one,
// at most for waitMs. It answers with status 410 if the history no longer has all changes after that
// version.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if since < s.droppedVersion {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows, version, changed := s.changesSince(q.Get("table"), since), s.version, s.changed
		if n := s.feedLength(rows); n < len(rows) {
			rows = rows[:n]
			version = rows[n-1].Version
		}
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, map[string]any{"rows": seenBy(r, rows), "tableVersion": version, "nowMs": time.Now().UnixMilli()})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// feedLength is the number of rows that fit into one answer of the feed, at least one of several.
func (s *Store) feedLength(rows []Row) int { return fitting(rows, maxFeedRows, s.faults.FeedBytes) }

// fitting is the number of rows that fit into one answer, at least one of several. maxBytes bounds their encoded values; 0 is
// no bound.
func fitting(rows []Row, maxRows, maxBytes int) int {
	limit, size := min(len(rows), maxRows), 0
	for i, r := range rows[:limit] {
		size += base64.StdEncoding.EncodedLen(len(r.Value))
		if maxBytes > 0 && size > maxBytes {
			return max(1, i)
		}
	}
	return limit
}

func (s *Store) changesSince(table string, version uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
