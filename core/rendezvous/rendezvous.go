// Package rendezvous divides things among nodes by rendezvous (highest random
// weight) hashing: every node that knows the same nodes comes to the same
// owners, and a node that joins or leaves moves only its own share.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"
)

// stackBufferBytes is room for the names hashed without an allocation.
const stackBufferBytes = 128

// Owner picks the node that owns one of the things of a name, told apart by an
// index; "" if there are no nodes. Things whose indices are 65,536 apart share
// their owner.
func Owner(nodes []string, name string, index uint32) string {
	var best string
	var bestScore uint64
	for _, n := range nodes {
		if h := Score(n, name, index); best == "" || h > bestScore {
			best, bestScore = n, h
		}
	}
	return best
}

// Score is a node's weight for one of the things of a name; the highest owns
// it.
func Score(node, name string, index uint32) uint64 {
	var buf [stackBufferBytes]byte
	b := append(buf[:0], node...)
	b = append(b, 0)
	b = append(b, name...)
	b = append(b, 0, byte(index), byte(index>>8))
	return xxhash.Sum64(b)
}
