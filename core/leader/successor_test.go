package leader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/layout"
)

// The successor is the process that leads after the others are lost, with one shard or several.
func TestSuccessorLeadsAfterTheOthersAreLost(t *testing.T) {
	for shards := 1; shards <= 3; shards++ {
		g := NewWithT(t)
		v := NewView("", 0)
		v.Register(0, "self", 1)
		v.SetLayout(0, layout.Pooled(shards), "")
		v.SetAble(true, false)
		v.PeersDiscovered(0)
		for i, id := range []ID{"p2", "p3", "p4"} {
			v.RecordContact(time.Second, id, &Report{Number: uint64(2 + i), Able: true})
		}
		for shard := range shards {
			successor := v.Successor(time.Second, shard, func(id ID) bool { return id == "p3" || id == "p4" })
			g.Expect([]ID{"p3", "p4"}).To(ContainElement(successor))
			g.Expect(v.Successor(time.Second, shard, func(ID) bool { return true })).To(Equal(v.preferred(time.Second, shard)))
			g.Expect(v.Successor(time.Second, shard, func(ID) bool { return false })).To(BeEmpty())
			rest := func(id ID) bool { return id != "p2" }
			want := v.Successor(time.Second, shard, rest)
			v.RemovePeer("p2")
			g.Expect(v.preferred(time.Second, shard)).To(Equal(want))
			v.RecordContact(time.Second, "p2", &Report{Number: 2, Able: true})
		}
	}
}
