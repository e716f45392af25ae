// Package rendezvous assigns objects to nodes by rendezvous (highest random weight) hashing. All
// processes with the same list of nodes compute the same owners. A node that joins or leaves changes
// only the owners of its own share of the objects.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"
)

// stackBufferBytes is the size up to which the hashed key (the node, the name and the index) fits
// into a buffer on the stack, so that hashing doesn't allocate.
const stackBufferBytes = 128

// Owner returns the node that owns an object, identified by a name and an index, or "" if there are
// no nodes. Only the low 16 bits of the index count: objects of a name whose indexes are 65,536
// apart have the same owner.
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

// Score returns the weight of a node for an object. The node with the highest weight owns the
// object.
func Score(node, name string, index uint32) uint64 {
	var buf [stackBufferBytes]byte
	b := append(buf[:0], node...)
	b = append(b, 0)
	b = append(b, name...)
	b = append(b, 0, byte(index), byte(index>>8))
	return xxhash.Sum64(b)
}
