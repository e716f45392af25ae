package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a call that waits for changes for as long as settings may be outdated.
func TestWaitsEndWhenSettingsAreToBeConfirmed(t *testing.T) {
	g := NewWithT(t)
	var f Freshness
	_, known := f.Age(time.Second)
	g.Expect(known).To(BeFalse())
	g.Expect(f.NextWait(0)).To(BeZero())

	f.Confirm(time.Second)
	g.Expect(f.NextWait(time.Second)).To(Equal(ConfirmInterval))
	g.Expect(f.NextWait(time.Second + ConfirmInterval/2)).To(Equal(ConfirmInterval / 2))
	g.Expect(f.NextWait(time.Minute)).To(BeZero())

	// An answer that was overtaken by another one proves nothing more.
	f.Confirm(time.Second / 2)
	age, known := f.Age(time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(BeZero())
}
