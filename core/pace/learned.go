package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Learned is an export of a Book, for another process.
type Learned struct{ Runners, Kinds, Queues []Ratio }

// Ratio is an average ratio of run time to estimate.
type Ratio struct {
	// Name is the id of a runner, the name of a kind (see Kind.String) or that of a queue.
	Name  string
	Value float64
	// Runs is the number of runs that it rests on, and Age the time since the latest.
	Runs uint32
	Age  time.Duration
}

const (
	// MaxRunners, MaxKinds and MaxQueues bound the entries of an export.
	MaxRunners, MaxKinds, MaxQueues = 128, 16, 32
	// maxNameLength bounds the names of entries in an export, in bytes.
	maxNameLength = 96
	// maxAge is the age from which a ratio is ignored: by then its runs count for less than one.
	maxAge = 7 * HalfLife
	// roundingFactor is the factor by which a received ratio may be outside of its bounds, since its
	// encoding may round it.
	roundingFactor = 1.01
)

// Count is the number of entries.
func (l Learned) Count() int { return len(l.Runners) + len(l.Kinds) + len(l.Queues) }

// Age is the age of the youngest entry.
func (l Learned) Age() time.Duration {
	age := maxAge
	for _, list := range [][]Ratio{l.Runners, l.Kinds, l.Queues} {
		for _, r := range list {
			age = min(age, r.Age)
		}
	}
	return age
}

// Export returns the averages in the order of their names; of too many, those of the latest runs.
func (b *Book) Export(now Time) Learned {
	var l Learned
	for id, r := range b.runners {
		l.Runners = append(l.Runners, r.export(now, id))
	}
	for kind, a := range b.kinds {
		l.Kinds = append(l.Kinds, a.export(now, kind.String()))
	}
	for queue, a := range b.queues {
		l.Queues = append(l.Queues, a.export(now, queue))
	}
	return Learned{Runners: bounded(l.Runners, MaxRunners), Kinds: bounded(l.Kinds, MaxKinds), Queues: bounded(l.Queues, MaxQueues)}
}

func (a *average) export(now Time, name string) Ratio {
	return Ratio{Name: name, Value: math.Exp(a.log), Runs: uint32(math.Ceil(a.runs)), Age: max(0, now-a.at)}
}

// bounded returns the valid entries, limit at most and the youngest of them, in the order of their
// names.
func bounded(list []Ratio, limit int) []Ratio {
	list = slices.DeleteFunc(list, func(r Ratio) bool { return !r.valid() })
	if len(list) > limit {
		slices.SortFunc(list, func(x, y Ratio) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Name, y.Name)) })
		list = list[:limit]
	}
	slices.SortFunc(list, func(x, y Ratio) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// valid reports whether an entry can be used. An invalid one was sent by an unknown version.
func (r Ratio) valid() bool {
	return r.Name != "" && len(r.Name) <= maxNameLength && r.Runs > 0 && r.Age >= 0 && r.Age <= maxAge &&
		r.Value >= MinRatio/roundingFactor && r.Value <= MaxRatio*roundingFactor
}

// Merged counts the entries of a merge: those that were Taken over, those for which runs as late or
// later were Known here, those of Unknown runners or kinds, and Invalid ones.
type Merged struct{ Taken, Known, Unknown, Invalid int }

// Merge takes over the entries whose latest run is later than the latest one known here. kindOf
// returns the kind of a runner; entries of unknown runners are ignored.
func (b *Book) Merge(now Time, l Learned, kindOf func(runner string) (Kind, bool)) Merged {
	var m Merged
	m.merge(now, l.Runners, MaxRunners, func(id string) *average {
		kind, ok := kindOf(id)
		if !ok {
			return nil
		}
		return b.runner(id, kind)
	})
	m.merge(now, l.Kinds, MaxKinds, b.receivedKind)
	m.merge(now, l.Queues, MaxQueues, func(name string) *average { return averageOf(b.queues, name, MaxQueues) })
	b.deriveUsual()
	return m
}

// deriveUsual computes the usual ratios of services without runs from those of their kinds.
func (b *Book) deriveUsual() {
	// The order of a sum of floating-point numbers changes its result.
	sorted := slices.SortedFunc(maps.Keys(b.kinds), func(x, y Kind) int { return cmp.Compare(x.String(), y.String()) })
	derived := make(map[string]*average)
	for _, kind := range sorted {
		if usual := b.usual[kind.Service]; usual == nil || usual.runs == 0 {
			averageOf(derived, kind.Service, MaxKinds).join(b.kinds[kind])
		}
	}
	maps.Copy(b.usual, derived)
}

// merge takes over the entries of a list, limit at most. find returns the average that an entry is
// for; nil if there can't be one.
func (m *Merged) merge(now Time, list []Ratio, limit int, find func(name string) *average) {
	for i, r := range list {
		if i >= limit || !r.valid() {
			m.Invalid++
			continue
		}
		switch a := find(r.Name); {
		case a == nil:
			m.Unknown++
		case a.replace(now, r):
			m.Taken++
		default:
			m.Known++
		}
	}
}

// replace takes over a received ratio if its latest run is later than the latest one here.
func (a *average) replace(now Time, r Ratio) bool {
	at := now - r.Age
	if a.runs > 0 && a.at >= at {
		return false
	}
	*a = average{log: logOf(r.Value), runs: float64(min(r.Runs, maxGroupRuns)), at: at}
	return true
}

// receivedKind returns the average of a kind; nil if the name isn't one of a kind.
func (b *Book) receivedKind(name string) *average {
	kind, ok := parseKind(name)
	if !ok {
		return nil
	}
	return averageOf(b.kinds, kind, MaxKinds)
}
