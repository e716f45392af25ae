package fleet_test

import (
	"maps"
	"slices"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

const (
	// storeDelay is the time of a call to the store, storeTimeout that after
	// which it is given up.
	storeDelay   = 4 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
)

// fakeStore keeps the rows of the shards in virtual time.
type fakeStore struct {
	shards map[int]*fakeRows
	// lostShare of the writes are done, at once or seconds later, and not
	// answered.
	lostShare float64
	// slow times the usual delay.
	slow int
}

type fakeRows struct {
	ownership ledger.Ownership
	owner     leader.ID
	// excluded VMs may not take the rows until a time.
	excluded      []string
	excludedUntil time.Duration
	records       map[workload.JobID]ledger.Record
}

func newFakeStore() *fakeStore { return &fakeStore{shards: make(map[int]*fakeRows), slow: 1} }

func (s *fakeStore) rows(shard int) *fakeRows {
	if s.shards[shard] == nil {
		s.shards[shard] = &fakeRows{records: make(map[workload.JobID]ledger.Record)}
	}
	return s.shards[shard]
}

// any reports whether there are records.
func (s *fakeStore) any() bool {
	for _, r := range s.shards {
		if len(r.records) > 0 {
			return true
		}
	}
	return false
}

func (r *fakeRows) write(w ledger.Write) ledger.Outcome {
	if w.Version != r.ownership.Version {
		return ledger.Superseded
	}
	for _, rec := range w.Records {
		if rec.State == ledger.Forgotten {
			delete(r.records, rec.Job)
			continue
		}
		if rec.Definition == nil {
			rec.Definition = r.records[rec.Job].Definition
		}
		r.records[rec.Job] = rec
	}
	return ledger.Applied
}

// storeCall carries a ledger's call to the store and its result back.
func (w *world) storeCall(n *fakeNode, c fleet.StoreCall) {
	rows, sent, life := w.store.rows(c.Shard), w.now, n.life
	travel := storeDelay / 2 * time.Duration(w.store.slow)
	answer := func(r ledger.Result) func() {
		return func() { w.storeAnswer(n, life, travel, c.Shard, r) }
	}
	late := func(failed ledger.Result) { w.storeAnswer(n, life, storeTimeout-travel, c.Shard, failed) }
	switch call := c.Call.(type) {
	case ledger.Claim:
		before, id := rows.ownership, n.id
		w.storeDo(n, travel, func() ledger.Outcome {
			if rows.ownership != before || call.Renew > 0 && (rows.owner != id || before.Epoch != call.Renew) {
				return ledger.Superseded
			}
			if call.Renew == 0 && w.now < rows.excludedUntil && slices.Contains(rows.excluded, n.name) {
				return ledger.Rejected
			}
			rows.excluded, rows.excludedUntil = call.Excluded, w.now+ledger.ExclusionTime
			rows.ownership.Version++
			if call.Renew == 0 {
				rows.ownership.Epoch++
			}
			rows.owner = id
			return ledger.Applied
		}, func(o ledger.Outcome) {
			answer(ledger.ClaimResult{Call: call.Call, Outcome: o, Ownership: rows.ownership, SentAt: sent})()
		}, func() { late(ledger.ClaimResult{Call: call.Call, Outcome: ledger.Unanswered, SentAt: sent}) })
	case ledger.Read:
		w.storeDo(n, travel, func() ledger.Outcome { return ledger.Applied }, func(o ledger.Outcome) {
			r := ledger.ReadResult{Call: call.Call, Outcome: o}
			for _, id := range slices.Sorted(maps.Keys(rows.records)) {
				r.Records = append(r.Records, rows.records[id])
			}
			answer(r)()
		}, func() { late(ledger.ReadResult{Call: call.Call, Outcome: ledger.Unanswered}) })
	case ledger.Check:
		w.storeDo(n, travel, func() ledger.Outcome { return ledger.Applied }, func(o ledger.Outcome) {
			answer(ledger.CheckResult{Call: call.Call, Outcome: o, Version: rows.ownership.Version, SentAt: sent})()
		}, func() { late(ledger.CheckResult{Call: call.Call, Outcome: ledger.Unanswered, SentAt: sent}) })
	case ledger.Write:
		w.storeDo(n, travel, func() ledger.Outcome { return rows.write(call) }, func(o ledger.Outcome) {
			answer(ledger.WriteResult{Call: call.Call, Outcome: o, SentAt: sent})()
		}, func() { late(ledger.WriteResult{Call: call.Call, Outcome: ledger.Unanswered, SentAt: sent}) })
	}
}

// storeDo has a call done. A store that can't be reached turns it away or stays
// silent; one that loses answers may do it seconds later.
func (w *world) storeDo(n *fakeNode, travel time.Duration, do func() ledger.Outcome, answered func(ledger.Outcome), silent func()) {
	life := n.life
	if !w.storeReached(n) {
		if w.rng.IntN(2) == 0 {
			w.after(travel, func() { answered(ledger.Rejected) })
			return
		}
		w.after(travel, silent)
		return
	}
	if w.rng.Float64() < w.store.lostShare {
		w.after(travel+time.Duration(w.rng.IntN(2))*w.span(100, 6000), func() { do() })
		w.after(travel, silent)
		return
	}
	w.after(travel, func() {
		o := do()
		if n.life == life {
			answered(o)
		}
	})
}

func (w *world) storeAnswer(n *fakeNode, life int, travel time.Duration, shard int, r ledger.Result) {
	w.after(travel, func() {
		if n.life == life {
			w.do(n, func() { n.node.StoreAnswered(w.now, shard, r) })
		}
	})
}

// pollInterval is how often callers ask how far a stored job is.
const pollInterval = 300 * time.Millisecond

// poll asks for a stored job's state until it has ended, and may cancel it.
func (w *world) poll(j *fakeJob) {
	w.after(pollInterval, func() {
		if j.ended {
			return
		}
		n := w.serving(j.domain)
		if n == nil {
			w.poll(j)
			return
		}
		cancel := j.cancelAt > 0 && w.now >= j.cancelAt
		if cancel && j.cancelSent == 0 {
			j.cancelSent = w.now
		}
		n.lastID++
		q := &askedJob{job: j, cancel: cancel}
		n.questions[n.lastID] = q
		request := n.lastID
		w.do(n, func() { n.node.Query(w.now, request, j.work.ID, cancel) })
		w.after(time.Second, func() {
			if !q.answered {
				q.answered = true
				w.poll(j)
			}
		})
	})
}

// askedJob is a question that a caller has asked.
type askedJob struct {
	job      *fakeJob
	cancel   bool
	answered bool
	// beside: its answer changes nothing of what the caller does.
	beside bool
}

// askTimes are when all processes are asked for a job, after it was accepted.
var askTimes = []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 440 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second}

// askEverywhere asks all processes for a job, also those that are frozen or cut off.
func (w *world) askEverywhere(j *fakeJob) {
	for _, d := range askTimes {
		w.after(d, func() {
			for _, n := range w.nodes {
				if n.node == nil || n.id == "" {
					continue
				}
				n.lastID++
				request := n.lastID
				n.questions[request] = &askedJob{job: j, beside: true}
				w.do(n, func() { n.node.Query(w.now, request, j.work.ID, false) })
			}
		})
	}
}

func (w *world) stateAnswered(n *fakeNode, a fleet.StateAnswer) {
	q := n.questions[a.Request]
	delete(n.questions, a.Request)
	if q == nil || q.answered {
		return
	}
	q.answered = true
	if q.beside {
		w.truth.known(q.job, n, a)
		return
	}
	w.truth.shown(q.job, q.cancel, a)
	w.poll(q.job)
}
