package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// benchCore returns the core of the only process, which owns all upstreams.
func benchCore(upstreams int) *Core {
	cfg := DefaultConfig(task.Incarnation{Node: "entry-0", Run: 1}, "melton")
	cfg.MaxQueuedTasks = 1 << 30
	// The longest queue measured is longer than admission control would admit.
	cfg.AdmissionPolicy.WaitPercent = percent
	cfg.AdmissionPolicy.OverloadWaitPercent = percent
	c := New(cfg)
	m := task.Members{Nodes: []task.Node{{Name: "entry-0", FailureDomain: "melton"}}}
	for i := range upstreams {
		name := fmt.Sprintf("runner-%05d", i)
		m.Upstreams = append(m.Upstreams, task.Upstream{Name: name, FailureDomain: "melton", Worker: name, Rack: fmt.Sprintf("rack-%d", i/8), Institution: inst, Slots: 8})
	}
	s := declared()
	s.Institutions[0].ResponseTimeMs = 100_000
	c.Step(0, SettingsRead{s})
	c.Step(0, MembersChanged{m})
	return c
}

type benchLoad struct {
	core    *Core
	now     task.Time
	request uint64
	ids     *pb.IdBlock
	used    uint32
	payload []byte
	started []task.StartID
	next    int
}

// submit adds a job of ten tasks.
func (l *benchLoad) submit() {
	if l.ids == nil || l.used == l.ids.GetCount() {
		l.ids, l.used = l.core.IssueIDs(l.now, 1000), 0
	}
	s := &pb.Submission{Service: "labels", Tasks: make([]*pb.Task, 10)}
	s.Id = &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: l.ids.GetHolder(), Number: l.ids.GetFirst() + uint64(l.used)}}}
	l.used++
	for i := range s.Tasks {
		s.Tasks[i] = &pb.Task{Payload: l.payload, RunTimeMs: uint32(50 + (l.request*7919+uint64(i)*104729)%400)}
	}
	l.request++
	l.core.Step(l.now, Submit{Request: l.request, Institution: inst, Submission: s})
	l.collect()
}

func (l *benchLoad) collect() {
	for _, cmd := range l.core.TakeCommands() {
		if s, ok := cmd.(StartTask); ok {
			l.started = append(l.started, s.Start)
		}
	}
}

// finish reports the end of the oldest start, which frees its slot.
func (l *benchLoad) finish() {
	id := l.started[l.next]
	l.next++
	if l.next == 1<<16 {
		l.started = append(l.started[:0], l.started[l.next:]...)
		l.next = 0
	}
	l.core.Step(l.now, StartResult{id, task.Result{Verdict: task.Finished}})
	l.collect()
}

// BenchmarkPlacement measures the cost of one task in the core: a tenth of a submission of
// ten tasks, the start, the result and a tenth of the answer. Jobs wait for slots, and no
// slots are lent.
func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct{ upstreams, waiting int }{{48, 100}, {384, 100}, {1000, 100}, {6700, 100}, {48, 1000}, {48, 10_000}, {48, 100_000}} {
		b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", c.upstreams, c.waiting), func(b *testing.B) {
			l := &benchLoad{core: benchCore(c.upstreams), payload: make([]byte, 64)}
			for range c.upstreams*8/10 + c.waiting/10 + 1 {
				l.submit()
			}
			if got := l.core.queue.Tasks(inst); got < c.waiting {
				b.Fatalf("%d tasks wait, not %d", got, c.waiting)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.now += 5 * time.Microsecond
				if i%10 == 0 {
					l.submit()
				}
				l.finish()
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
		})
	}
}
