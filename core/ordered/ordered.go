// Package ordered lists the contents of maps in an order that is always the same.
package ordered

import (
	"cmp"
	"slices"
)

// Keys lists the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	list := make([]K, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// Values lists the values of a map in the order of compare, which may be 0 only for equal values.
func Values[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	if len(m) == 0 {
		return nil
	}
	list := make([]V, 0, len(m))
	for _, v := range m {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}
