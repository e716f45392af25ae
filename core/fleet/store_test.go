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
	// storeDelay is the duration of a call to the store, and storeTimeout the time after
	// which a call is given up.
	storeDelay   = 4 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
)

// fakeStore stores the rows of the shards in virtual time.
type fakeStore struct {
	shards map[int]*fakeRows
	// lostShare of the writes are carried out, at once or seconds later, but not answered.
	lostShare float64
	// delayFactor multiplies the usual delay.
	delayFactor int
}

type fakeRows struct {
	ownership ledger.Ownership
	owner     leader.ID
	// excluded VMs may not claim the rows until excludedUntil.
	excluded      []string
	excludedUntil time.Duration
	records       map[workload.JobID]ledger.Record
}

func newFakeStore() *fakeStore { return &fakeStore{shards: make(map[int]*fakeRows), delayFactor: 1} }

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

// readStoredJobs reads for a process whether there are records.
func (w *world) readStoredJobs(n *fakeNode) {
	sent, incarnation := w.now, n.incarnation
	travel := storeDelay / 2 * time.Duration(w.store.delayFactor)
	answer := func(r *fleet.StoredJobsResult, travel time.Duration) {
		w.after(travel, func() {
			if n.incarnation == incarnation {
				w.do(n, func() { n.node.StoredJobsRead(w.now, r) })
			}
		})
	}
	w.after(travel, func() {
		if n.incarnation != incarnation || !w.storeReachable(n) {
			answer(nil, storeTimeout)
			return
		}
		answer(&fleet.StoredJobsResult{SentAt: sent, Any: w.store.any()}, travel)
	})
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

// storeCall passes a ledger's call to the store and its result back.
func (w *world) storeCall(n *fakeNode, c fleet.StoreCall) {
	rows, sent, incarnation := w.store.rows(c.Shard), w.now, n.incarnation
	travel := storeDelay / 2 * time.Duration(w.store.delayFactor)
	answer := func(r ledger.Result) func() {
		return func() { w.storeAnswer(n, incarnation, travel, c.Shard, r) }
	}
	late := func(failed ledger.Result) { w.storeAnswer(n, incarnation, storeTimeout-travel, c.Shard, failed) }
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

// storeDo carries out a call. An unreachable store rejects the call or leaves it unanswered;
// with lostShare set, a call may be carried out seconds later and stay unanswered.
func (w *world) storeDo(n *fakeNode, travel time.Duration, do func() ledger.Outcome, answered func(ledger.Outcome), silent func()) {
	incarnation := n.incarnation
	if !w.storeReachable(n) {
		if w.rng.IntN(2) == 0 {
			w.after(travel, func() { answered(ledger.Rejected) })
			return
		}
		w.after(travel, silent)
		return
	}
	if w.rng.Float64() < w.store.lostShare {
		w.after(travel+time.Duration(w.rng.IntN(2))*w.randomDuration(100, 6000), func() { do() })
		w.after(travel, silent)
		return
	}
	w.after(travel, func() {
		o := do()
		if n.incarnation == incarnation {
			answered(o)
		}
	})
}

func (w *world) storeAnswer(n *fakeNode, incarnation int, travel time.Duration, shard int, r ledger.Result) {
	w.after(travel, func() {
		if n.incarnation == incarnation {
			w.do(n, func() { n.node.StoreAnswered(w.now, shard, r) })
		}
	})
}

// pollInterval is the interval at which callers query a stored job.
const pollInterval = 300 * time.Millisecond

// poll queries a stored job until it has ended, and may cancel it.
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
		q := &jobQuery{job: j, cancel: cancel}
		n.queries[n.lastID] = q
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

// jobQuery is a query sent by a caller.
type jobQuery struct {
	job      *fakeJob
	cancel   bool
	answered bool
	// passive: the answer doesn't affect the caller's next actions.
	passive bool
}

// queryTimes are when all processes are queried for a job, after its acceptance.
var queryTimes = []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 440 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second}

// queryAllNodes queries all processes for a job, including frozen or isolated ones.
func (w *world) queryAllNodes(j *fakeJob) {
	for _, d := range queryTimes {
		w.after(d, func() {
			for _, n := range w.nodes {
				if n.node == nil || n.id == "" {
					continue
				}
				n.lastID++
				request := n.lastID
				n.queries[request] = &jobQuery{job: j, passive: true}
				w.do(n, func() { n.node.Query(w.now, request, j.work.ID, false) })
			}
		})
	}
}

func (w *world) receiveState(n *fakeNode, a fleet.StateAnswer) {
	q := n.queries[a.Request]
	delete(n.queries, a.Request)
	if q == nil || q.answered {
		return
	}
	q.answered = true
	if q.passive {
		w.checker.checkKnown(q.job, n, a)
		return
	}
	w.checker.checkShownState(q.job, q.cancel, a)
	w.poll(q.job)
}
