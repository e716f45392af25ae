// Package claim keeps what one incarnation knows of submission ids: those it
// issued, those it holds, and the answers it still keeps. It is the rule that
// no task of a submission starts twice: only the holder of a claim may start
// its tasks, and a claim never passes to another incarnation.
package claim

import (
	"sapphirepoint.example/sapphirepoint/core/task"
)

// IDState is what an issuer says of a number.
type IDState int

// The states of an issued number.
const (
	// Unissued: this incarnation never handed the number out.
	Unissued IDState = iota
	// Fresh: handed out, not used, still valid.
	Fresh
	// Used: a submission was taken under it.
	Used
	// Expired: past its validity; whether it was used isn't known any more.
	Expired
)

const wordBits = 64

type block struct {
	first   uint64
	count   uint32
	expires task.Time
	used    []uint64
}

// Issuer hands out ids in blocks and remembers which were used.
//
// A holder that forgets an answer must not take the next resubmission for a
// new submission: it would run the job again and nobody would notice but the
// people who get two labels. So each number is kept as one bit until its block
// expires on the holder's own clock, and an expired number is never fresh.
type Issuer struct {
	valid  task.Time
	next   uint64
	blocks []block
}

// NewIssuer returns an issuer whose ids stay usable for the given span.
func NewIssuer(valid task.Time) *Issuer {
	return &Issuer{valid: valid, next: 1}
}

// Issue hands out count numbers beginning with first, usable until expires.
func (is *Issuer) Issue(now task.Time, count uint32) (first uint64, expires task.Time) {
	first = is.next
	is.next += uint64(count)
	expires = now + is.valid
	words := (count + wordBits - 1) / wordBits
	is.blocks = append(is.blocks, block{first, count, expires, make([]uint64, words)})
	return first, expires
}

// State says what is known of a number.
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

// Use marks a fresh number as used. It reports false, and changes nothing, if
// the number isn't fresh.
func (is *Issuer) Use(now task.Time, number uint64) bool {
	if is.State(now, number) != Fresh {
		return false
	}
	b := is.findBlock(number)
	bit := number - b.first
	b.used[bit/wordBits] |= 1 << (bit % wordBits)
	return true
}

// Expire drops blocks past their validity.
func (is *Issuer) Expire(now task.Time) {
	n := 0
	for n < len(is.blocks) && now >= is.blocks[n].expires {
		n++
	}
	is.blocks = append(is.blocks[:0], is.blocks[n:]...)
}

// Blocks is the number of blocks kept.
func (is *Issuer) Blocks() int {
	return len(is.blocks)
}

// findBlock locates the block of a number by binary search; blocks are in order.
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

// Block is a block of issued numbers with one bit for each used one.
type Block struct {
	First uint64
	Count uint32
	Used  []uint64
}

// ValidBlocks lists the blocks that are still valid, for a process that is to
// answer for this one after its planned stop.
func (is *Issuer) ValidBlocks(now task.Time) []Block {
	var list []Block
	for _, b := range is.blocks {
		if now < b.expires {
			list = append(list, Block{b.first, b.count, b.used})
		}
	}
	return list
}

// Restore returns an issuer that knows the numbers of another process until
// the given time, and issues none itself.
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
