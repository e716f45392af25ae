package deployment

import (
	"context"
	"net"
	"net/http"
	"time"
)

// incarnation is one run of a runner's process.
type incarnation struct {
	// connections are those that it has accepted. They end with it.
	connections []net.Conn
}

// acceptedByKey is the key of the incarnation in the contexts of the calls on a connection that it has accepted.
type acceptedByKey struct{}

// acceptedBy adds the present incarnation, which accepts a connection, to the connection's context.
func (r *Runner) acceptedBy(ctx context.Context, c net.Conn) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current.connections = append(r.current.connections, c)
	return context.WithValue(ctx, acceptedByKey{}, r.current)
}

// reached reports whether a call has come to the present incarnation. One that an earlier incarnation has received is
// neither carried out nor answered any more. The caller holds the lock.
func (r *Runner) reached(q *http.Request) bool {
	return q.Context().Value(acceptedByKey{}) == r.current
}

// lockAwakeIn locks mu once the runner isn't starved, unless the incarnation has ended by then. It reports whether
// mu is locked.
func (r *Runner) lockAwakeIn(i *incarnation) bool {
	r.lockAwake()
	if r.current == i {
		return true
	}
	r.mu.Unlock()
	return false
}

// afterAwake calls f with mu held after a time, once the runner isn't starved, unless the present incarnation has
// ended by then. The caller holds the lock.
func (r *Runner) afterAwake(d time.Duration, f func()) *time.Timer {
	i := r.current
	return time.AfterFunc(d, func() {
		if !r.lockAwakeIn(i) {
			return
		}
		defer r.mu.Unlock()
		f()
	})
}

// Restart begins a new incarnation and registers it in the store at the runner's own address.
func (r *Runner) Restart(s *Store) error {
	r.BeginIncarnation()
	return s.Put("servers", r.ID, r.Entry())
}

// BeginIncarnation simulates a restart of the runner's process under the same id. All runs and connections end, and
// the calls that wait get no answer. The new incarnation has no state of the last one, and its clock starts anew. Its
// entry isn't written into the store.
func (r *Runner) BeginIncarnation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for run := range r.running {
		r.endRun(run, "crashed")
	}
	for _, c := range r.current.connections {
		_ = c.Close()
	}
	r.current = &incarnation{}
	r.Info.IncarnationStart = max(r.Info.IncarnationStart+1, time.Now().UnixMilli())
	r.Info.Seq = 1
	r.clockStart = time.Now()
	r.token, r.leaseEnd, r.lastSequence, r.endedRuns = 0, time.Time{}, 0, nil
	r.starvedUntil, r.callsPausedUntil = time.Time{}, time.Time{}
	r.closedRuns = make(map[string]int)
}

// Entry returns what the runner says of its present incarnation, with its own address.
func (r *Runner) Entry() RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Info
}

// HideIncarnation keeps the runner from reporting when its incarnation began, as one that never restarts under its id.
func (r *Runner) HideIncarnation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Info.IncarnationStart = 0
}
