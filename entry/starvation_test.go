package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The VM of a process turns slow: work that is ready waits ever longer. One long
// wait among short ones, as after a pause of the process, is none of that.
func TestStarvationMeter(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newStarvationMeter(now)
	medians := func(wait ...time.Duration) []time.Duration {
		var list []time.Duration
		for _, w := range wait {
			now = now.Add(starvationSampleInterval + w)
			if median, whole := m.add(now, w); whole {
				list = append(list, median)
			}
		}
		return list
	}
	const ms = time.Millisecond
	g.Expect(medians(ms, ms, ms, 50*ms, ms, ms, ms, ms)).To(Equal([]time.Duration{ms}))
	g.Expect(medians(400*ms, ms, ms)).To(Equal([]time.Duration{ms}))
	g.Expect(medians(80*ms, 90*ms, 70*ms)).To(Equal([]time.Duration{80 * ms}))
}
