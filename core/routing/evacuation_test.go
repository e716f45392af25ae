package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

// An old version of the evacuations arrives late. If it were applied, an evacuated domain would get
// tasks again.
func TestNewerEvacuationsWin(t *testing.T) {
	g := NewWithT(t)
	var e Evacuations
	g.Expect(e.Apply(Evacuations{Version: 4})).To(BeFalse(), "nothing is evacuated")
	g.Expect(e.Apply(Evacuations{Version: 7, Domains: []string{"a"}})).To(BeTrue())
	g.Expect(e.Apply(Evacuations{Version: 6})).To(BeFalse())
	g.Expect(e.Domains).To(Equal([]string{"a"}))
	g.Expect(e.Apply(Evacuations{Version: 9, Domains: []string{"a"}})).To(BeFalse(), "the same again")
	g.Expect(e.Apply(Evacuations{Version: 8})).To(BeFalse())
	g.Expect(e.Apply(Evacuations{Version: 10})).To(BeTrue())
	g.Expect(e.Domains).To(BeEmpty())
}
