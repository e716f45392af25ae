package fleet_test

import (
	"flag"
	"iter"
	"os"
	"runtime/debug"
	"testing"
)

var (
	seeds = flag.Int("fleet.seeds", 0, "number of random runs of each test, and of each deployment of the faulty runs an eighth of that; "+
		"0 for those that a test plays by default")
	firstSeed = flag.Uint64("fleet.first", 1, "seed of the first random run")
)

const (
	// defaultSeeds is the number of random runs of a test by default, beside the keptSeeds.
	defaultSeeds = 10
	// defaultFaultySeeds is the number of seeds that each deployment of faultyRuns plays by default: one with an odd
	// seed and one with an even one, which differ in the number of shards.
	defaultFaultySeeds = 2
	// defaultSingleSeeds is the number of seeds of tests that play one deployment in a few runs.
	defaultSingleSeeds = 5
	// faultyShare is the part of -fleet.seeds that each deployment of faultyRuns plays: one in so many.
	faultyShare = 8
)

// keptSeeds are the seeds beyond the first defaultSeeds that once violated an invariant in a random run.
var keptSeeds = []uint64{15, 28, 32, 36}

// randomSeeds yields the seeds of a random test with their indices, from which the number of shards may follow.
func randomSeeds() iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		for i := range fewerUnlessSet(defaultSeeds, 1) {
			if !yield(i, *firstSeed+uint64(i)) {
				return
			}
		}
		if *seeds > 0 || *firstSeed != 1 {
			return
		}
		for _, seed := range keptSeeds {
			if !yield(int(seed-*firstSeed), seed) {
				return
			}
		}
	}
}

// fewerUnlessSet is a test's default number of seeds, or its share of -fleet.seeds if that is set.
func fewerUnlessSet(byDefault, share int) int {
	if *seeds == 0 {
		return byDefault
	}
	return max(1, *seeds/share)
}

// faultyRunSeeds is the number of seeds of each of faultyRuns.
func faultyRunSeeds() int { return fewerUnlessSet(defaultFaultySeeds, faultyShare) }

// singleRunSeeds is the number of seeds of tests that play one deployment.
func singleRunSeeds() int { return fewerUnlessSet(defaultSingleSeeds, faultyShare) }

// gcPercent lets the heap grow between collections. The worlds allocate much and keep little.
const gcPercent = 400

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(m.Run())
}
