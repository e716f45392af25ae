package queue

import (
	"fmt"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// BenchmarkServe measures the serving of one task, with a number of jobs waiting. For every ten
// tasks served, a job of ten tasks is added and about one is removed.
func BenchmarkServe(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			q := New()
			last := JobID(0)
			add := func() {
				last++
				work := make([]task.Time, 10)
				for i := range work {
					work[i] = time.Duration((uint64(last)*7919+uint64(i)*104729)%400+50) * time.Millisecond
				}
				q.Add(job(last, task.Time(last)*time.Millisecond, work...))
			}
			for range jobs {
				add()
			}
			left := make(map[JobID]int)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%10 == 0 {
					add()
				}
				r, _ := q.Next(hollowell, nil)
				if left[r.Job]++; left[r.Job] == 10 {
					q.Remove(r.Job)
					delete(left, r.Job)
				}
			}
		})
	}
}
