// Package heap is a binary heap of elements that know their position, so that
// one whose order has changed is moved, or dropped, in logarithmic time.
// Nothing is allocated but the slice.
package heap

// Absent is the position of an element that isn't in a heap.
const Absent = -1

// Item is an element. Its position is Absent at first and belongs to the heap.
type Item[T any] interface {
	comparable
	// Before says whether the element comes out before another.
	Before(T) bool
	// Position is where the heap keeps the element's position.
	Position() *int
}

// Put inserts an element, or restores the order after its change.
func Put[T Item[T]](h []T, e T) []T {
	p := e.Position()
	if *p == Absent {
		*p = len(h)
		h = append(h, e)
	}
	if !up(h, *p) {
		down(h, *p)
	}
	return h
}

// Drop removes an element if it is there.
func Drop[T Item[T]](h []T, e T) []T {
	i := *e.Position()
	if i == Absent {
		return h
	}
	last := len(h) - 1
	swap(h, i, last)
	*e.Position() = Absent
	var none T
	h[last] = none
	h = h[:last]
	if i < last && !up(h, i) {
		down(h, i)
	}
	return h
}

func up[T Item[T]](h []T, i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].Before(h[parent]) {
			break
		}
		swap(h, i, parent)
		i = parent
		moved = true
	}
	return moved
}

func down[T Item[T]](h []T, i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if r := child + 1; r < len(h) && h[r].Before(h[child]) {
			child = r
		}
		if !h[child].Before(h[i]) {
			return
		}
		swap(h, i, child)
		i = child
	}
}

func swap[T Item[T]](h []T, i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].Position() = i
	*h[j].Position() = j
}
