// Package admission decides by the institutions' terms which jobs are taken
// on: quotas and ceilings over all entry processes, what can never run, what
// can't be done in its time and when to come back, and how long tasks really
// take.
package admission

import (
	"maps"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/task"
)

func sortedLoans(m map[task.Incarnation]*loan) []task.Incarnation {
	if len(m) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(m), func(a, b task.Incarnation) int {
		if a.Node != b.Node {
			if a.Node < b.Node {
				return -1
			}
			return 1
		}
		if a.Run < b.Run {
			return -1
		}
		return 1
	})
}
