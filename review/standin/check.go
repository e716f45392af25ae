//go:build review

package main

import (
	"fmt"
	"slices"
	"time"
)

// violations checks the record by the rules on jobs as they are written, for what the stand-ins saw.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	at := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.rec.begun).Seconds()) }
	now := time.Now()
	for _, r := range w.runs {
		if r.task == nil {
			add("UNASKED: task %s, which no client sent, starts on %s at %s", r.name, r.runner.id, at(r.begun))
			continue
		}
		if r.spec != r.task.job.spec.Spec {
			add("UNASKED: task %s starts with another spec", r.name)
		}
	}
	for _, j := range w.order {
		for _, t := range j.tasks {
			runs := slices.Clone(t.runs)
			slices.SortFunc(runs, func(a, b *runRecord) int { return a.begun.Compare(b.begun) })
			endOf := func(r *runRecord) time.Time {
				if r.ended.IsZero() {
					return now
				}
				return r.ended
			}
			for i, r := range runs {
				for _, o := range runs[:i] {
					if endOf(o).After(r.begun) {
						add("TWICE: %s run %d starts on %s at %s while run %d runs on %s (from %s to %s)", t.name, r.run, r.runner.id, at(r.begun), o.run, o.runner.id, at(o.begun), at(endOf(o)))
					}
				}
				if j.spec.BestEffort {
					continue
				}
				for _, o := range runs {
					if o.how == "done" && o.ended.Before(r.begun) && !o.acked.IsZero() && !o.lapsedAfterEnd {
						add("TWICE: %s run %d starts at %s after run %d ended done at %s, acknowledged at %s", t.name, r.run, at(r.begun), o.run, at(o.ended), at(o.acked))
					}
				}
				n := 0
				for _, o := range runs {
					if o.how == "failed" && o.ended.Before(r.begun) && !o.acked.IsZero() && !o.lapsedAfterEnd {
						n++
					}
				}
				if n >= w.attempts {
					add("BUDGET: %s run %d starts at %s after %d failed runs", t.name, r.run, at(r.begun), n)
				}
				if !j.cancelAcked.IsZero() && r.begun.Sub(j.cancelAcked) > 3*time.Second {
					add("UNASKED: %s run %d starts at %s, job cancelled at %s", t.name, r.run, at(r.begun), at(j.cancelAcked))
				}
				if j.state == "completed" && r.begun.Sub(j.shownAt) > time.Second {
					add("TWICE: %s run %d starts at %s, job shown as completed at %s", t.name, r.run, at(r.begun), at(j.shownAt))
				}
				if j.spec.Times > 0 {
					due := time.UnixMilli(j.spec.StartAtMs + int64(t.k)*j.spec.IntervalMs)
					if due.Sub(r.begun) > 250*time.Millisecond {
						add("ORDER: %s run %d starts %v before its time", t.name, r.run, due.Sub(r.begun))
					}
				}
				for _, d := range j.spec.Steps[t.step].DependsOn {
					for _, p := range j.stepTasks(t.k, d) {
						if !slices.ContainsFunc(p.runs, func(o *runRecord) bool { return o.how == "done" && o.ended.Before(r.begun) }) {
							add("ORDER: %s run %d starts at %s before %s has ended done", t.name, r.run, at(r.begun), p.name)
						}
					}
				}
			}
			done := slices.ContainsFunc(runs, func(o *runRecord) bool { return o.how == "done" && (j.shownAt.IsZero() || o.ended.Before(j.shownAt)) })
			if j.state == "completed" && !done {
				add("MIXED: %s is shown as completed at %s, %s has not ended done", j.id, at(j.shownAt), t.name)
			}
		}
		if len(j.answers) > 0 && !slices.ContainsFunc(j.answers, func(s int) bool { return s != 503 && s != 429 }) {
			for _, t := range j.tasks {
				if len(t.runs) > 0 {
					add("REFUSED: %s was refused with %v, and %s starts", j.id, j.answers, t.name)
					break
				}
			}
		}
		if !j.spec.BestEffort && j.state == "cancelled" && j.cancelSent.IsZero() {
			add("LOST: %s is shown as cancelled, nobody cancelled it", j.id)
		}
		if !j.spec.BestEffort && j.state == "failed" {
			worst := 0
			for _, t := range j.tasks {
				n := 0
				for _, r := range t.runs {
					if r.how == "failed" {
						n++
					}
				}
				worst = max(worst, n)
			}
			if worst < w.attempts {
				add("LOST: %s is shown as failed, no task has failed %d times (at most %d)", j.id, w.attempts, worst)
			}
		}
		for _, step := range j.spec.Steps {
			if step.AntiAffinity == 0 {
				continue
			}
			for _, t := range j.tasks {
				for _, r := range t.runs {
					n := 0
					for _, p := range j.stepTasks(t.k, t.step) {
						for _, o := range p.runs {
							if o.runner == r.runner && !o.begun.After(r.begun) && (o.ended.IsZero() || o.ended.After(r.begun)) {
								n++
							}
						}
					}
					if limit := j.spec.Steps[t.step].AntiAffinity; limit > 0 && n > limit {
						add("ROUTE: %s run %d is one of %d on %s, limit %d", t.name, r.run, n, r.runner.id, limit)
					}
				}
			}
		}
	}
	return list
}

// idleLimit is how long a job may have nothing running while a task's turn has come.
const idleLimit = 3 * time.Second

// span is a span of time.
type span struct{ from, to time.Time }

// stuck lists the accepted jobs that had nothing running for idleLimit at some time from a moment on,
// while a task's turn had come.
func (w *world) stuck(from time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []string
	for _, j := range w.order {
		if j.spec.BestEffort || j.acceptedAt.IsZero() || j.state != "" || !j.cancelSent.IsZero() {
			continue
		}
		idle := j.idleSpans(from, now)
		j.addDueOccurrences()
		if t, s := j.waitingIn(idle, now); t != nil {
			list = append(list, fmt.Sprintf("LOST: %s (accepted at %.3f) has nothing running from %.3f to %.3f, the turn of %s has come", j.id,
				j.acceptedAt.Sub(w.rec.begun).Seconds(), s.from.Sub(w.rec.begun).Seconds(), s.to.Sub(w.rec.begun).Seconds(), t.name))
		}
	}
	return list
}

// idleSpans returns the spans between two moments in which nothing of the job runs.
func (j *jobRecord) idleSpans(from, to time.Time) []span {
	var busy []span
	for _, t := range j.tasks {
		for _, r := range t.runs {
			end := r.ended
			if end.IsZero() {
				end = to
			}
			busy = append(busy, span{r.begun, end})
		}
	}
	slices.SortFunc(busy, func(a, b span) int { return a.from.Compare(b.from) })
	var idle []span
	at := from
	if j.acceptedAt.After(at) {
		at = j.acceptedAt
	}
	for _, b := range busy {
		if b.from.After(at) {
			idle = append(idle, span{at, b.from})
		}
		if b.to.After(at) {
			at = b.to
		}
	}
	if to.After(at) {
		idle = append(idle, span{at, to})
	}
	return idle
}

// waitingIn returns a task whose turn has come, and that isn't done, for idleLimit within one of the spans.
func (j *jobRecord) waitingIn(idle []span, now time.Time) (*taskRecord, span) {
	for _, t := range j.tasks {
		ready := t.readyAt()
		if ready.IsZero() {
			continue
		}
		done := t.doneAt()
		if done.IsZero() {
			done = now
		}
		for _, s := range idle {
			if ready.After(s.from) {
				s.from = ready
			}
			if done.Before(s.to) {
				s.to = done
			}
			if s.to.Sub(s.from) > idleLimit {
				return t, s
			}
		}
	}
	return nil, span{}
}

// doneAt is when a run of the task first ended done; zero if none has.
func (t *taskRecord) doneAt() time.Time {
	var first time.Time
	for _, r := range t.runs {
		if r.how == "done" && (first.IsZero() || r.ended.Before(first)) {
			first = r.ended
		}
	}
	return first
}

// readyAt is when the task's turn came; zero if it hasn't.
func (t *taskRecord) readyAt() time.Time {
	at := t.job.acceptedAt
	if t.job.spec.Times > 0 {
		due := time.UnixMilli(t.job.spec.StartAtMs + int64(t.k)*t.job.spec.IntervalMs)
		if due.After(time.Now()) {
			return time.Time{}
		}
		if due.After(at) {
			at = due
		}
	}
	for _, d := range t.job.spec.Steps[t.step].DependsOn {
		for _, p := range t.job.stepTasks(t.k, d) {
			done := p.doneAt()
			if done.IsZero() {
				return time.Time{}
			}
			if done.After(at) {
				at = done
			}
		}
	}
	return at
}
