package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The VM of a process turns slow: work that is ready waits ever longer. One long
// wait among short ones is none of that.
func TestStrainMeter(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	m := newStrainMeter(now)
	means := func(wait ...time.Duration) []time.Duration {
		var list []time.Duration
		for _, w := range wait {
			now = now.Add(strainInterval + w)
			if mean, whole := m.add(now, w); whole {
				list = append(list, mean)
			}
		}
		return list
	}
	const ms = time.Millisecond
	g.Expect(means(ms, ms, ms, 50*ms, ms, ms, ms, ms)).To(Equal([]time.Duration{57 * ms / 8}))
	g.Expect(means(80*ms, 80*ms)).To(Equal([]time.Duration{80 * ms}))
}
