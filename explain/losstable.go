package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// LossTable prints losses, counted by cause, queue and second of arrival.
type LossTable struct {
	Losses []Loss
	// Begin is the time from which seconds are counted.
	Begin time.Time
}

// String formats the table: for each cause and queue the jobs lost and late, and the seconds
// in which most of them arrived.
func (t LossTable) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cause\tqueue\tlost\tlate\tmost in seconds")
	type key struct {
		cause Cause
		queue string
	}
	by := make(map[key][]Loss)
	for _, l := range t.Losses {
		k := key{l.Cause, l.Queue}
		by[k] = append(by[k], l)
	}
	keys := slices.SortedFunc(maps.Keys(by), func(a, b key) int {
		return cmp.Or(cmp.Compare(len(by[b]), len(by[a])), cmp.Compare(a.cause, b.cause), cmp.Compare(a.queue, b.queue))
	})
	for _, k := range keys {
		late := 0
		for _, l := range by[k] {
			if l.Late {
				late++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", k.cause, cmp.Or(k.queue, "-"), len(by[k])-late, late, t.topSeconds(by[k]))
	}
	_ = w.Flush() // writes to a strings.Builder don't fail
	return b.String()
}

// maxSeconds is the maximum number of seconds that a row lists.
const maxSeconds = 3

// topSeconds lists the seconds in which most of the losses arrived, with their numbers.
func (t LossTable) topSeconds(losses []Loss) string {
	counts := make(map[int]int)
	for _, l := range losses {
		counts[int(l.Arrived.Sub(t.Begin).Seconds())]++
	}
	order := slices.SortedFunc(maps.Keys(counts), func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var words []string
	for _, s := range order[:min(len(order), maxSeconds)] {
		words = append(words, fmt.Sprintf("%d: %d", s, counts[s]))
	}
	return strings.Join(words, ", ")
}
