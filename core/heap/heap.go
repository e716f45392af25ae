// Package heap implements a binary heap whose elements store their position, so that an element
// whose order has changed can be moved or removed in logarithmic time. It allocates nothing but the
// slice.
package heap

// Absent is the position of an element that isn't in a heap.
const Absent = -1

// Item is an element of a heap. Its position must be Absent initially, and only this package may
// change it.
type Item[T any] interface {
	comparable
	// Before reports whether the element comes before another one.
	Before(T) bool
	// Position points to the element's position.
	Position() *int
}

// Put inserts an element, or moves it to its place if it is in the heap and its order has changed.
// It returns the heap, as append does.
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

// Drop removes an element if it is in the heap. It returns the heap.
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

// up moves the element at index i towards the root to its place, and reports whether it moved.
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

// down moves the element at index i towards the leaves to its place.
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

// swap exchanges two elements and updates their positions.
func swap[T Item[T]](h []T, i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].Position() = i
	*h[j].Position() = j
}
