// Command slopes measures how the cost of an entry process grows with its load and the size of the
// deployment, and prints fitted lines as a Markdown table. docs/CAPACITY.md is based on them.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// point is one measurement: a size and its cost.
type point struct {
	x, y float64
}

// series is a measurement over several sizes.
type series struct {
	// name says what is measured, per what the size x counts, and unit the unit of the cost y.
	name, per, unit string
	points          []point
}

// fittedLine is a straight line fitted to measurements, with its error.
type fittedLine struct {
	intercept, slope, r2 float64
	// maxDeviation is the largest deviation from the line, relative to the measured value.
	maxDeviation float64
}

// fit fits a straight line with the smallest relative errors.
func (s series) fit() fittedLine {
	xs := make([]float64, len(s.points))
	ys := make([]float64, len(s.points))
	for i, p := range s.points {
		xs[i], ys[i] = p.x, p.y
	}
	l := fittedLine{}
	// Weighting by the inverse square of the value makes the fit minimize relative errors, so that
	// small sizes count as much as large ones.
	weights := make([]float64, len(ys))
	for i, y := range ys {
		weights[i] = 1 / (y * y)
	}
	l.intercept, l.slope = stat.LinearRegression(xs, ys, weights, false)
	l.r2 = stat.RSquared(xs, ys, weights, l.intercept, l.slope)
	for _, p := range s.points {
		deviation := math.Abs(l.intercept+l.slope*p.x-p.y) / p.y
		l.maxDeviation = math.Max(l.maxDeviation, deviation)
	}
	return l
}

// print prints the fitted line and the points as a row of a Markdown table.
func (s series) print() {
	l := s.fit()
	var points string
	for _, p := range s.points {
		points += fmt.Sprintf("%g: %.4g; ", p.x, p.y)
	}
	r2 := "-"
	if !math.IsNaN(l.r2) {
		r2 = fmt.Sprintf("%.4f", l.r2)
	}
	fmt.Printf("| %s | %s | %.4g %s | %.4g %s | %s | %.0f%% | %s |\n",
		s.name, s.per, l.slope, s.unit, l.intercept, s.unit, r2, 100*l.maxDeviation, points)
}

// fastest returns the shortest of several runs, since noise on a shared machine only adds time.
func fastest(runs int, f func() time.Duration) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for range runs {
		runtime.GC()
		shortest = min(shortest, f())
	}
	return shortest
}

// liveHeapBytes returns the size of the live heap after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func main() {
	idleOnly := flag.Bool("idle", false, "measure only idle deployments over real sockets")
	flag.Parse()
	fmt.Printf("%s, GOMAXPROCS %d\n\n", runtime.Version(), runtime.GOMAXPROCS(0))
	fmt.Println("| cost | for each | slope | intercept | R² | worst deviation | points |")
	fmt.Println("|---|---|---|---|---|---|---|")
	if !*idleOnly {
		printCore()
	}
	if err := printControl(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// printCore measures the decision code without sockets.
func printCore() {
	for _, measure := range []func() series{
		taskTime, retainedResults, membersTime, membersMemory, membersBytes, placementTime,
		statusTime, peersTime, peersBytes, quotasTime, quotasBytes, teamsTime, teamsBytes, institutionsTime, claimBytes,
	} {
		measure().print()
	}
}
