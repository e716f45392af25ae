package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a starved VM that isn't detected, and against a single long pause of
// the process that is taken for CPU starvation.
func TestStarvationMeter(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newStarvationMeter(now)
	medians := func(wait ...time.Duration) []time.Duration {
		var list []time.Duration
		for _, w := range wait {
			now = now.Add(starvationSampleInterval + w)
			if median, complete := m.add(now, w); complete {
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
