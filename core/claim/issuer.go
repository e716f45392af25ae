// Package claim has the state of submission ids in one incarnation: the ids that it issued, the
// claims of other incarnations, unsettled claims, and retained answers.
//
// A claim is the right to start the tasks of a submission; its holder is the one incarnation that
// has it. The holder of an issued id is the incarnation that issued it. The holder of a caller's own
// key is the incarnation whose claim row for the key the table service has stored. Only the holder
// may start the tasks, and a claim is never transferred to another incarnation, so that no task of
// a submission starts twice.
package claim

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

// IDState is the state of a number at its issuer.
type IDState int

// The states of a number.
const (
	// Unissued: this incarnation hasn't issued the number.
	Unissued IDState = iota
	// Fresh: issued, valid and not used.
	Fresh
	// Used: a submission was accepted under the number.
	Used
	// Expired: no longer valid. Whether the number was used may no longer be recorded.
	Expired
)

const wordBits = 64

// block is a block of consecutive numbers that were issued together.
type block struct {
	first   uint64
	count   uint32
	expires task.Time
	// used has one bit for each number, set if the number is used.
	used []uint64
}

// Issuer issues ids in blocks of consecutive numbers and records which of them were used.
//
// If a holder that has removed an answer took the next resubmission for a new submission, the
// job would run again without an error anywhere. Therefore one bit is retained for each number
// until its block expires by the holder's own clock, and an expired number is never fresh.
type Issuer struct {
	validity task.Time
	// next is the next number to be issued.
	next uint64
	// blocks are ordered by their numbers.
	blocks []block
}

// NewIssuer returns an issuer whose ids are valid for the given time.
func NewIssuer(validity task.Time) *Issuer {
	return &Issuer{validity: validity, next: 1}
}

// Issue issues count numbers starting at first, which are valid until expires.
func (is *Issuer) Issue(now task.Time, count uint32) (first uint64, expires task.Time) {
	first = is.next
	is.next += uint64(count)
	expires = now + is.validity
	words := (count + wordBits - 1) / wordBits
	is.blocks = append(is.blocks, block{first, count, expires, make([]uint64, words)})
	return first, expires
}

// State returns the state of a number.
func (is *Issuer) State(now task.Time, number uint64) IDState {
	if number == 0 || number >= is.next {
		return Unissued
	}
	b := is.findBlock(number)
	if b == nil || now >= b.expires {
		return Expired
	}
	bit := number - b.first
	if b.used[bit/wordBits]&(1<<(bit%wordBits)) != 0 {
		return Used
	}
	return Fresh
}

// Use marks a fresh number as used. If the number isn't fresh, it returns false and changes
// nothing.
func (is *Issuer) Use(now task.Time, number uint64) bool {
	if is.State(now, number) != Fresh {
		return false
	}
	b := is.findBlock(number)
	bit := number - b.first
	b.used[bit/wordBits] |= 1 << (bit % wordBits)
	return true
}

// Expire removes the blocks that aren't valid any more.
func (is *Issuer) Expire(now task.Time) {
	n := 0
	for n < len(is.blocks) && now >= is.blocks[n].expires {
		n++
	}
	is.blocks = append(is.blocks[:0], is.blocks[n:]...)
}

// Blocks is the number of blocks that haven't been removed.
func (is *Issuer) Blocks() int {
	return len(is.blocks)
}

// findBlock finds the block of a number by binary search. It returns nil if the block was removed.
func (is *Issuer) findBlock(number uint64) *block {
	lo, hi := 0, len(is.blocks)
	for lo < hi {
		mid := (lo + hi) / 2
		b := &is.blocks[mid]
		switch {
		case number < b.first:
			hi = mid
		case number >= b.first+uint64(b.count):
			lo = mid + 1
		default:
			return b
		}
	}
	return nil
}

// Block is a block of issued numbers with one bit for each number, set if it is used.
type Block struct {
	First uint64
	Count uint32
	Used  []uint64
}

// ValidBlocks lists the blocks that are still valid, for the process that answers resubmissions
// in place of this one after its planned stop.
func (is *Issuer) ValidBlocks(now task.Time) []Block {
	var list []Block
	for _, b := range is.blocks {
		if now < b.expires {
			list = append(list, Block{b.first, b.count, b.used})
		}
	}
	return list
}

// Restore returns an issuer with the numbers of another incarnation, all valid until the given
// time. It is used for State only and issues no numbers. Blocks that are malformed or out of order
// are left out.
func Restore(blocks []Block, until task.Time) *Issuer {
	is := &Issuer{}
	for _, b := range blocks {
		words := (b.Count + wordBits - 1) / wordBits
		if b.Count == 0 || int(words) != len(b.Used) || b.First < is.next {
			continue
		}
		is.blocks = append(is.blocks, block{b.First, b.Count, until, b.Used})
		is.next = b.First + uint64(b.Count)
	}
	return is
}
