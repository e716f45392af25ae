package ordered

import (
	"cmp"
	"testing"

	. "github.com/onsi/gomega"
)

func TestOrder(t *testing.T) {
	g := NewWithT(t)
	m := map[string]int{"b": 1, "c": 3, "a": 2}
	g.Expect(Keys(m)).To(Equal([]string{"a", "b", "c"}))
	g.Expect(Values(m, cmp.Compare[int])).To(Equal([]int{1, 2, 3}))
	clear(m)
	g.Expect(Keys(m)).To(BeNil())
	g.Expect(Values(m, cmp.Compare[int])).To(BeNil())
}
