package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	var table Table
	g.Expect(table.Find("h", "/a/1")).To(BeNil())
	table.Apply(&Declaration{Version: 1, Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "i", Prefix: "/"},
	}})
	g.Expect(table.Find("h", "/a/b/1").Name).To(Equal("long"))
	g.Expect(table.Find("h", "/a/c").Name).To(Equal("short"))
	g.Expect(table.Find("h", "/b")).To(BeNil())
	g.Expect(table.Find("i", "/b").Name).To(Equal("other"))
}

// An older version arrives after a newer one, from a store that lags behind or from a peer. If
// it were applied, a queue that was withdrawn would accept requests again.
func TestOlderDeclarationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var table Table
	g.Expect(table.Apply(&Declaration{Version: 7})).To(BeTrue())
	g.Expect(table.Apply(&Declaration{Version: 5})).To(BeFalse())
	g.Expect(table.Apply(&Declaration{Version: 7})).To(BeFalse())
	g.Expect(table.Version()).To(BeEquivalentTo(7))
}
