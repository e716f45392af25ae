package dispatch

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// fakeStore is the table service: conditional inserts, all or none.
type fakeStore struct {
	w            *world
	rows         map[task.ID]ClaimConflict
	mode         string
	losesReplies bool
}

func (s *fakeStore) write(e *fakeEntry, cmd ClaimWrite) {
	w := s.w
	reply := func(d time.Duration, r ClaimResult) {
		e.schedule(d, func() {
			e.claims = appendBounded(e.claims, r)
			e.step(r)
		})
	}
	lost := ClaimResult{Batch: cmd.Batch}
	switch s.mode {
	case "down":
		reply(w.jitter(20*ms), lost)
		return
	case "slow":
		// The write may take effect long after its client has timed out.
		at := w.jitter(3 * time.Second)
		w.after(at, func() {
			r := s.commit(e, cmd)
			if at < storeTimeout {
				reply(0, r)
			}
		})
		if at >= storeTimeout {
			reply(storeTimeout, lost)
		}
		return
	}
	w.after(w.jitter(5*ms), func() {
		r := s.commit(e, cmd)
		if s.losesReplies && w.chance(50) {
			w.faults["reply-lost"]++
			r = lost
		}
		reply(w.jitter(ms), r)
	})
}

func (s *fakeStore) commit(e *fakeEntry, cmd ClaimWrite) ClaimResult {
	r := ClaimResult{Batch: cmd.Batch, OK: true}
	for _, c := range cmd.Claims {
		if row, exists := s.rows[c.ID]; exists {
			r.Conflicts = append(r.Conflicts, row)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	for _, c := range cmd.Claims {
		s.rows[c.ID] = ClaimConflict{c.ID, e.self(), c.Digest, c.Number}
		s.w.after(time.Duration(c.TTLSeconds)*time.Second, func() { delete(s.rows, c.ID) })
	}
	return r
}

// fakeRunner is one upstream and the connections to it.
type fakeRunner struct {
	w      *world
	name   string
	domain string
	run    int
	up     bool
	mode   string
	tasks  map[string]*fakeRun
}

// fakeRun is the state of a task name in one run of a runner.
type fakeRun struct {
	started bool
	done    bool
	result  task.Result
	notify  []func(task.Result)
}

func (w *world) runner(name string) *fakeRunner {
	for _, r := range w.runners {
		if r.name == name {
			return r
		}
	}
	panic("no runner " + name)
}

func (r *fakeRunner) runName() string { return fmt.Sprintf("%s#%d", r.name, r.run) }

func (r *fakeRunner) restart() {
	r.run++
	r.tasks = make(map[string]*fakeRun)
}

// sendStart does what a node does for StartTask: one request, one result.
func (w *world) sendStart(e *fakeEntry, cmd StartTask) {
	result := once(func(r task.Result) {
		e.schedule(w.jitter(ms), func() {
			ev := StartResult{cmd.Start, r}
			e.results = appendBounded(e.results, ev)
			e.step(ev)
		})
	})
	r := w.runner(cmd.Upstream)
	left := cmd.Deadline - e.clock()
	if left <= 0 || !r.up {
		result(task.Result{Verdict: task.NotStarted})
		return
	}
	atRun := r.run
	w.after(left+stopGrace, func() { result(task.Result{Verdict: task.Lost}) })
	if r.mode == "lossy" && w.chance(60) {
		w.faults["connection-lost"]++
		w.after(w.jitter(50*ms), func() { result(task.Result{Verdict: task.Lost}) })
	}
	travel := w.jitter(ms)
	if r.mode == "lossy" && w.chance(30) {
		travel = w.jitter(400 * ms)
	}
	if r.mode == "lossy" && w.chance(20) {
		return
	}
	w.after(travel, func() {
		if r.run != atRun {
			result(task.Result{Verdict: task.Lost})
			return
		}
		r.start(cmd, result)
	})
}

func once(f func(task.Result)) func(task.Result) {
	called := false
	return func(r task.Result) {
		if !called {
			called = true
			f(r)
		}
	}
}

func (r *fakeRunner) start(cmd StartTask, result func(task.Result)) {
	t := r.tasks[cmd.Name]
	if t != nil && !t.started || r.mode == "refuse" {
		result(task.Result{Verdict: task.NotStarted, Refused: true, UpstreamRun: r.runName()})
		return
	}
	r.w.oracle.ran(cmd)
	t = &fakeRun{started: true, notify: []func(task.Result){result}}
	r.tasks[cmd.Name] = t
	switch r.mode {
	case "hang":
	case "fail":
		r.finish(t, task.Result{Verdict: task.Failed, Detail: "fails all"})
	default:
		out := task.Result{Verdict: task.Finished, Output: []byte("out " + cmd.Name + " " + string(cmd.Payload))}
		r.w.after(r.w.jitter(100*ms), func() { r.finish(t, out) })
	}
}

func (r *fakeRunner) finish(t *fakeRun, res task.Result) {
	if t.done {
		return
	}
	t.done = true
	t.result = res
	t.result.UpstreamRun = r.runName()
	for _, notify := range t.notify {
		notify(t.result)
	}
}

func (r *fakeRunner) settle(name string) task.Result {
	t := r.tasks[name]
	switch {
	case t == nil:
		r.tasks[name] = &fakeRun{}
		fallthrough
	case !t.started:
		return task.Result{Verdict: task.NotStarted, Refused: true, UpstreamRun: r.runName()}
	case t.done:
		return t.result
	}
	return task.Result{Verdict: task.Running, UpstreamRun: r.runName()}
}

func (r *fakeRunner) stop(name string) {
	r.settle(name)
	if t := r.tasks[name]; t.started {
		r.finish(t, task.Result{Verdict: task.Failed, Detail: "stopped"})
	}
}

// sendSettle does what a node does for Settle.
func (w *world) sendSettle(e *fakeEntry, cmd Settle) {
	r := w.runner(cmd.Upstream)
	res := task.Result{Verdict: task.Lost}
	delay := w.jitter(50 * ms)
	if r.up && (r.mode != "lossy" || w.chance(50)) {
		res = r.settle(cmd.Name)
	}
	if res.Verdict == task.NotStarted && (cmd.UpstreamRun == "" || res.UpstreamRun != cmd.UpstreamRun) {
		res.Verdict = task.Unknown
	}
	if res.Verdict == task.Running {
		delay += 500 * ms
	}
	e.post(delay, StartResult{cmd.Start, res})
}
