package claim

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// A caller resubmits under an issued id whose answer was removed long ago. If the id's number were
// fresh again, the tasks would run a second time. In any order of issuing, use and expiry, each
// number is fresh until it is used or expires, and never again, not even after a handover.
func TestNumberIsFreshOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const valid = 10 * time.Second
		is := NewIssuer(valid)
		var now task.Time
		issued := map[uint64]task.Time{}
		used := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				first, until := is.Issue(now, uint32(rapid.IntRange(1, 200).Draw(t, "count")))
				for n := first; n < is.next; n++ {
					issued[n] = until
				}
			case 1:
				is.Expire(now)
			default:
				n := uint64(rapid.IntRange(0, int(is.next)+1).Draw(t, "number"))
				until, known := issued[n]
				fresh := known && now < until && !used[n]
				if got := is.Use(now, n); got != fresh {
					t.Fatalf("number %d at %s: used %t instead of %t", n, now, got, fresh)
				}
				used[n] = used[n] || fresh
			}
		}
		restored := Restore(is.ValidBlocks(now), now+valid)
		for n := range issued {
			if fresh := restored.State(now, n) == Fresh; fresh && used[n] {
				t.Fatalf("number %d is fresh after the handover", n)
			}
		}
	})
}

func answerOf(n, results int) (task.ID, *pb.Answer) {
	id := task.ID{Institution: "hollowell", Holder: task.Incarnation{Node: "loughborough-0", Run: 1}, Number: uint64(n)}
	a := &pb.Answer{Id: id.Proto(), Digest: make([]byte, 32), Outcome: pb.Outcome_OUTCOME_COMPLETE}
	for i := range results {
		a.Results = append(a.Results, &pb.TaskResult{Index: uint32(i), Output: fmt.Appendf(nil, "label %d", i)})
	}
	return id, a
}

// Answers to own keys, which are retained longer, fill the limit before answers to issued ids
// follow. The newest answer must be retained when its caller resubmits a moment later.
func TestAnswersEvictTheOldestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewAnswers(20 * answerOverhead)
	for i := range 30 {
		a.Put(task.ID{Institution: "hollowell", OwnKey: fmt.Sprint(i)}, &pb.Answer{}, time.Hour)
	}
	for i := range 100 {
		id, answer := answerOf(i, 4)
		a.Put(id, answer, time.Minute)
		g.Expect(a.Get(id)).To(gomega.BeIdenticalTo(answer))
		g.Expect(a.Bytes()).To(gomega.BeNumerically("<=", 20*answerOverhead))
	}
	a.Expire(time.Hour)
	g.Expect(a.Len()).To(gomega.BeZero())
	g.Expect(a.Bytes()).To(gomega.BeZero())
}

// BenchmarkAnswers measures the memory of retained answers with short results.
func BenchmarkAnswers(b *testing.B) {
	for _, results := range []int{0, 4, 20, 100} {
		b.Run(fmt.Sprintf("results=%d", results), func(b *testing.B) { benchmarkAnswers(b, results) })
	}
}

func benchmarkAnswers(b *testing.B, results int) {
	const n = 10_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a := NewAnswers(1 << 40)
		for i := range n {
			id, answer := answerOf(i, results)
			a.Put(id, answer, time.Hour)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-bytes/answer")
		b.ReportMetric(float64(a.Bytes())/n, "accounted-bytes/answer")
		runtime.KeepAlive(a)
	}
}

// BenchmarkIssuer measures the memory of issued ids by the size of their blocks.
func BenchmarkIssuer(b *testing.B) {
	for _, block := range []uint32{1, 16, 256} {
		b.Run(fmt.Sprintf("block=%d", block), func(b *testing.B) { benchmarkIssuer(b, block) })
	}
}

func benchmarkIssuer(b *testing.B, block uint32) {
	const n = 1 << 18
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		is := NewIssuer(time.Hour)
		for range n / block {
			is.Issue(0, block)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-bytes/id")
		runtime.KeepAlive(is)
	}
}
