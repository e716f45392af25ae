package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

// change applies a random change to a view that has some peers.
func change(v *View, rng *rand.Rand, now Time) {
	flip := rng.IntN(2) == 0
	id := ID(fmt.Sprintf("p%d", rng.IntN(8)))
	switch rng.IntN(14) {
	case 0:
		v.SetAble(flip, rng.IntN(2) == 0)
	case 1:
		v.SetOlderPeerPending(flip)
	case 2:
		v.SetAllVMsReachable(flip)
	case 3:
		v.SetStoreLost(flip)
	case 4:
		v.Demote()
	case 5:
		v.RecordStarvation()
	case 6:
		v.SetMilliCPU(200 * (1 + rng.IntN(4)))
	case 7:
		v.RecordStall(now, flip)
	case 8:
		v.RemovePeer(id)
	case 9:
		v.ExpirePeers(now)
	case 10:
		v.RecordContact(now, id, nil)
	case 11:
		v.PeersDiscovered(now)
	default:
		v.RecordContact(now, id, &Report{
			Number: 1 + rng.Uint64N(8), Able: flip, Standby: !flip, Cell: "a", Demotions: uint32(rng.IntN(2)),
			StoreLost: rng.IntN(4) == 0, MilliCPU: 200 * (1 + rng.IntN(4)),
		})
	}
}

// Guards against a leader chosen from outdated reports because a change doesn't invalidate
// the cached assignment.
func TestCachedAssignmentFollowsEachChange(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Second
		v := NewView("", 0)
		v.Register(0, "self", 3)
		v.SetLayout(0, layout.Layout{"a", "a", "a", "b"}[seed%3:], "a")
		for step := range 400 {
			if rng.IntN(3) == 0 {
				now += Time(rng.IntN(120)) * ms
			}
			change(v, rng, now)
			for _, shard := range v.shards {
				candidates, _ := v.candidates(now)
				want := v.leadersAmong(candidates)[shard]
				g.Expect(v.preferred(now, shard)).To(Equal(want), "seed %d, step %d", seed, step)
			}
		}
	}
}

// candidateCount and shardCount are those of a large cell.
const (
	candidateCount = 16
	shardCount     = 9
)

// largeCell returns the view of a process that has heard from many candidates.
func largeCell(now Time) *View {
	v := NewView("", 0)
	v.Register(0, "self", 3)
	v.SetLayout(0, make(layout.Layout, shardCount), "")
	v.SetAble(true, false)
	v.PeersDiscovered(0)
	for i := range candidateCount {
		hearFrom(v, now, i)
	}
	return v
}

// hearFrom records a heartbeat of candidate i.
func hearFrom(v *View, now Time, i int) {
	v.RecordContact(now, ID(fmt.Sprintf("p%d", i)), &Report{Number: uint64(10 + i), Able: true, Follows: make([]Follow, shardCount)})
}

func chooseAll(v *View, now Time) {
	for _, shard := range v.shards {
		v.Choose(now, shard, false)
	}
}

// Guards against an election whose cost for each heartbeat is the number of shards times the
// square of that of the candidates.
func TestAssignmentIsComputedOncePerEvent(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	v := largeCell(now)
	chooseAll(v, now)
	g.Expect(testing.AllocsPerRun(20, func() { chooseAll(v, now) })).To(BeZero(), "the second choice at the same time computes nothing")
}

func BenchmarkChooseAfterHeartbeat(b *testing.B) {
	now := time.Second
	v := largeCell(now)
	b.ReportAllocs()
	for i := range b.N {
		hearFrom(v, now, i%candidateCount)
		chooseAll(v, now)
	}
}
