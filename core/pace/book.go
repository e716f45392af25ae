package pace

import (
	"math"
	"strings"
)

const (
	// kindRuns is the number of runs for which the ratio of its kind counts in a runner's average,
	// and serviceRuns that for which the usual ratio of its service counts in a kind's.
	kindRuns, serviceRuns = 4, 4
	// queueRuns weighs the assumption that a queue's estimates are as good as those of other queues:
	// it counts like that many runs.
	queueRuns = 30
)

// Kind is a kind of runner: its service, and a name for what makes runners of a service similar.
type Kind struct{ Service, Name string }

// String returns the name under which the kind is exported. A Name contains no '/'.
func (k Kind) String() string { return k.Service + "/" + k.Name }

// parseKind is the inverse of Kind.String.
func parseKind(name string) (Kind, bool) {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		return Kind{}, false
	}
	return Kind{name[:at], name[at+1:]}, true
}

// Book holds the averages of a scheduler. It isn't safe for concurrent use.
//
// A run's ratio is the product of its runner's and its queue's: each is learned from what the
// other one doesn't explain.
type Book struct {
	runners map[string]*runnerAverage
	kinds   map[Kind]*average
	queues  map[string]*average
	// usual are the averages of all runs of a service, by service.
	usual map[string]*average
	// revision grows with each run.
	revision uint64
}

// runnerAverage is the average of a runner, and the runner's kind at that time.
type runnerAverage struct {
	average
	kind Kind
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		runners: make(map[string]*runnerAverage),
		kinds:   make(map[Kind]*average),
		queues:  make(map[string]*average),
		usual:   make(map[string]*average),
	}
}

// Revision grows with each run that is learned.
func (b *Book) Revision() uint64 { return b.revision }

// Observe learns the ratio of run time to estimate of a run.
func (b *Book) Observe(now Time, runner string, kind Kind, queue string, ratio float64) {
	b.revision++
	log := logOf(ratio)
	ofQueue, ofRunner := b.queueLog(now, queue), b.runnerLog(now, runner, kind)
	b.runner(runner, kind).add(now, log-ofQueue, maxRuns)
	averageOf(b.kinds, kind, MaxKinds).add(now, log-ofQueue, maxGroupRuns)
	averageOf(b.usual, kind.Service, MaxKinds).add(now, log-ofQueue, maxGroupRuns)
	averageOf(b.queues, queue, MaxQueues).add(now, log-ofRunner, maxGroupRuns)
}

// Runner returns the usual ratio of a runner. The fewer runs of it are known, the more the ratio of
// its kind counts, and in that likewise the usual one of its service.
func (b *Book) Runner(now Time, runner string, kind Kind) float64 {
	return math.Exp(b.runnerLog(now, runner, kind))
}

// Queue returns the factor by which a queue's runs take longer than those of other queues,
// relative to their estimates.
func (b *Book) Queue(now Time, queue string) float64 { return math.Exp(b.queueLog(now, queue)) }

func (b *Book) runnerLog(now Time, runner string, kind Kind) float64 {
	guess := b.kindLog(now, kind)
	r := b.runners[runner]
	if r == nil || r.kind != kind {
		return guess
	}
	return r.blend(now, guess, kindRuns)
}

func (b *Book) kindLog(now Time, kind Kind) float64 {
	guess := 0.0
	if usual := b.usual[kind.Service]; usual != nil {
		guess = usual.log
	}
	k := b.kinds[kind]
	if k == nil {
		return guess
	}
	return k.blend(now, guess, serviceRuns)
}

func (b *Book) queueLog(now Time, queue string) float64 {
	q := b.queues[queue]
	if q == nil {
		return 0
	}
	return q.blend(now, 0, queueRuns)
}

// runner returns the average of a runner, an empty one if the runner isn't known or was of another
// kind. If there are too many runners the one with the oldest run is forgotten.
func (b *Book) runner(id string, kind Kind) *average {
	r := b.runners[id]
	if r != nil && r.kind == kind {
		return &r.average
	}
	delete(b.runners, id)
	if len(b.runners) >= MaxRunners {
		b.forgetOldestRunner()
	}
	r = &runnerAverage{kind: kind}
	b.runners[id] = r
	return &r.average
}

// forgetOldestRunner forgets the runner with the oldest run.
func (b *Book) forgetOldestRunner() {
	ages := make(map[string]*average, len(b.runners))
	for id, r := range b.runners {
		ages[id] = &r.average
	}
	delete(b.runners, oldest(ages))
}

// ForgetRunner forgets a runner's own runs; its kind's remain.
func (b *Book) ForgetRunner(runner string) { delete(b.runners, runner) }

// averageOf returns the average of a key, an empty one if the key isn't known. If there are too many
// keys the one with the oldest run is forgotten.
func averageOf[K comparable](m map[K]*average, key K, limit int) *average {
	a := m[key]
	if a != nil {
		return a
	}
	if len(m) >= limit {
		delete(m, oldest(m))
	}
	a = &average{}
	m[key] = a
	return a
}

// oldest returns the key with the oldest run.
func oldest[K comparable](m map[K]*average) K {
	var found K
	first := Time(math.MaxInt64)
	for key, a := range m {
		if a.at < first {
			found, first = key, a.at
		}
	}
	return found
}
