package leader

import (
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

// Guards against jobs that go to another shard though their home has its next leader in a moment, and
// against jobs that wait for one while only the link between this process and the leader is cut.
func TestALostLeaderIsFollowedByTheNext(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.RecordContact(now, "c", candidateReport(3, ""))
	g.Expect(v.ExpectsLeader(now, 0)).To(BeTrue())

	v.RecordContact(now, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", HeartbeatInterval}}})
	g.Expect(v.ExpectsLeader(now, 0)).To(BeFalse(), "a is alive")

	// a sends no more: c has lost it, or is about to.
	later := now + HeartbeatTimeout
	v.RecordContact(later, "c", &Report{Number: 3, Able: true, Follows: []Follow{{"a", HeartbeatTimeout - HeartbeatInterval + ms}}})
	g.Expect(choose(v, later, false)).To(Equal(Choice{Leader: "a"}))
	g.Expect(v.ExpectsLeader(later, 0)).To(BeTrue())
}

// Guards against jobs that wait for a leader that no process here can become.
func TestNoLeaderIsExpectedWithoutACandidate(t *testing.T) {
	g := NewWithT(t)
	v, now := settledView()
	v.SetAble(false, true)
	g.Expect(v.ExpectsLeader(now, 0)).To(BeFalse())

	v, now = settledView()
	v.SetLayout(now, layout.Layout{"x", "y"}, "x")
	now += settlePeriod
	g.Expect(v.ExpectsLeader(now, 0)).To(BeTrue())
	g.Expect(v.ExpectsLeader(now, 1)).To(BeFalse(), "a shard of another cell")
}
