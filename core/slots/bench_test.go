package slots

import (
	"fmt"
	"testing"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// BenchmarkAcquireRelease measures one Release and Acquire with half of the slots in use.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, upstreams := range []int{48, 384, 1000, 6700} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			p := NewPool("a", "melton")
			m := task.Members{Nodes: []task.Node{{Name: "a", FailureDomain: "melton"}}}
			for i := range upstreams {
				m.Upstreams = append(m.Upstreams, task.Upstream{Name: fmt.Sprintf("runner-%05d", i), FailureDomain: "melton", Institution: hollowell, Slots: 8})
			}
			p.SetMembers(m)
			held := make([]task.Slot, p.Owned()/2)
			for i := range held {
				held[i], _ = p.Acquire(hollowell)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i * 7919 % len(held)
				p.Release(held[k])
				held[k], _ = p.Acquire(hollowell)
			}
		})
	}
}
