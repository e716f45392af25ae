package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// pausedFor returns how long a process pauses between two readings of the members if an unknown
// process tries to connect at a time after the first; never, if it is negative.
func pausedFor(members int, unknownAt time.Duration) time.Duration {
	p := &Process{unknownPeer: make(chan struct{}, 1), metrics: newMetrics()}
	begin := time.Now()
	if unknownAt >= 0 {
		time.AfterFunc(unknownAt, p.UnknownPeer)
	}
	p.pauseMembers(context.Background(), members)
	return time.Since(begin)
}

// Guards against a process that refuses the connections of one that has just registered until a
// pause is over that grows with the fleet, and against readings of the members without a pause.
func TestUnknownPeerEndsThePauseBetweenReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const members = 1000
		g.Expect(pausedFor(members, -1)).To(Equal(members * pausePerMember))
		g.Expect(pausedFor(members, time.Second)).To(Equal(time.Second))
		g.Expect(pausedFor(members, 0)).To(Equal(members * urgentPausePerMember))
		g.Expect(pausedFor(100, 0)).To(Equal(minMembersPause))
		g.Expect(pausedFor(6, 0)).To(Equal(6 * pausePerMember))
	})
}
