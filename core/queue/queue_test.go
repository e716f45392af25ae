package queue

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/task"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	hollowell       = "hollowell"
	distantDeadline = time.Hour
)

func job(id JobID, arrived task.Time, work ...task.Time) Job {
	return Job{ID: id, Institution: hollowell, Arrived: arrived, Deadline: distantDeadline, RunTimes: work}
}

func drain(q *Queue) []Ref {
	var list []Ref
	for {
		r, ok := q.Next(hollowell, nil)
		if !ok {
			return list
		}
		list = append(list, r)
	}
}

func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	urgent := job(3, 50*ms, 900*ms)
	urgent.Priority = 1
	pressed := job(4, 60*ms, 900*ms)
	pressed.Deadline = 900 * ms
	cases := map[string]struct {
		jobs []Job
		want []Ref
	}{
		"longest first within a job":          {[]Job{job(1, 0, 10*ms, 30*ms, 20*ms)}, []Ref{{1, 1}, {1, 2}, {1, 0}}},
		"short before long of the same time":  {[]Job{job(1, 0, 900*ms), job(2, 0, 20*ms)}, []Ref{{2, 0}, {1, 0}}},
		"long not after much later short":     {[]Job{job(1, 0, 900*ms), job(2, 1000*ms, 20*ms)}, []Ref{{1, 0}, {2, 0}}},
		"a task that can wait lets others by": {[]Job{job(1, 0, 900*ms, 10*ms), job(2, 100*ms, 900*ms)}, []Ref{{1, 0}, {2, 0}, {1, 1}}},
		"priority first":                      {[]Job{job(1, 0, 20*ms), urgent}, []Ref{{3, 0}, {1, 0}}},
		"contracted time before length":       {[]Job{job(1, 0, 20*ms), pressed}, []Ref{{4, 0}, {1, 0}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := New()
			for _, j := range c.jobs {
				q.Add(j)
			}
			NewWithT(t).Expect(drain(q)).To(Equal(c.want))
		})
	}
}

// A team has used up its quota while tasks of other teams wait behind its job. If the queue stopped
// at that job, the other teams would be delayed as well.
func TestTeamWithoutQuotaIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	q := New()
	for i, team := range []string{"weddings", "schools", "homes"} {
		j := job(JobID(i+1), task.Time(i)*time.Second, time.Millisecond)
		j.Team = team
		q.Add(j)
	}
	allow := func(team string) bool { return team != "weddings" }
	r, _ := q.Next(hollowell, allow)
	g.Expect(r).To(Equal(Ref{2, 0}))
	r, _ = q.Next(hollowell, allow)
	g.Expect(r).To(Equal(Ref{3, 0}))
	_, ok := q.Next(hollowell, allow)
	g.Expect(ok).To(BeFalse())
}

// Short jobs arrive faster than they are served. If any of them could overtake a long job that
// arrived first, the long job would never start.
func TestLongJobIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.Add(job(1, 0, 3*time.Second))
	for i := range 1000 {
		now := task.Time(i) * 10 * time.Millisecond
		q.Add(job(JobID(2*i+2), now, 20*time.Millisecond))
		q.Add(job(JobID(2*i+3), now, 20*time.Millisecond))
		if r, _ := q.Next(hollowell, nil); r.Job == 1 {
			g.Expect(now).To(BeNumerically("<", 10*time.Second))
			return
		}
	}
	t.Fatal("the long job never started")
}

// In any order of calls, each waiting task is served once unless it is requeued, no task of a held
// or removed job is served, and no served task has a later rank than one that stays waiting.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		waiting := make(map[Ref]bool)
		held := make(map[JobID]bool)
		var taken []Ref
		last := JobID(0)
		id := func() JobID { return JobID(rapid.IntRange(1, int(last)+1).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				last++
				j := job(last, task.Time(last), rapid.SliceOfN(rapid.Map(rapid.IntRange(1, 9), func(n int) task.Time { return task.Time(n) }), 1, 5).Draw(t, "work")...)
				j.Team = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team")
				for i := range j.RunTimes {
					waiting[Ref{last, i}] = true
				}
				q.Add(j)
			},
			"next": func(t *rapid.T) {
				r, ok := q.Next(hollowell, nil)
				servable := 0
				for w := range waiting {
					if !held[w.Job] {
						servable++
					}
				}
				if ok != (servable > 0) || ok && (!waiting[r] || held[r.Job]) {
					t.Fatalf("served %v %v of %v, held %v", r, ok, waiting, held)
				}
				if !ok {
					return
				}
				delete(waiting, r)
				taken = append(taken, r)
				e := q.jobs[r.Job]
				rank := min(e.latestStart(r.Index)+e.longest, distantDeadline-e.longest)
				for w := range waiting {
					if o := q.jobs[w.Job]; !held[w.Job] && min(o.latestStart(w.Index)+o.longest, distantDeadline-o.longest) < rank {
						t.Fatalf("%v served before %v", r, w)
					}
				}
			},
			"requeue": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip("nothing taken")
				}
				r := taken[len(taken)-1]
				taken = taken[:len(taken)-1]
				q.Requeue(r)
				waiting[r] = q.jobs[r.Job] != nil
				if !waiting[r] {
					delete(waiting, r)
				}
			},
			"remove": func(*rapid.T) {
				j := id()
				q.Remove(j)
				for w := range waiting {
					if w.Job == j {
						delete(waiting, w)
					}
				}
			},
			"hold": func(t *rapid.T) {
				j := id()
				if q.jobs[j] == nil {
					t.Skip("no such job")
				}
				held[j] = !held[j]
				q.Hold(j, held[j])
			},
			"": func(t *rapid.T) {
				if q.Tasks(hollowell) != len(waiting) {
					t.Fatalf("%d tasks counted, %d wait", q.Tasks(hollowell), len(waiting))
				}
			},
		})
	})
}
