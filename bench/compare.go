package bench

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
)

// parallel bounds the policies that run at the same time.
const parallel = 4

// Compare runs the references and policies over the same stream.
func Compare(site Site, shape Shape, limit time.Duration, policies []Policy) []*Result {
	jobs := shape.Stream(site)
	runs := []func() *Result{
		func() *Result { return IdealQueue(site, shape, limit, jobs) },
		func() *Result { return RandomChoice(site, shape, limit, jobs) },
		func() *Result { return LeastOfTwo(site, shape, limit, jobs) },
	}
	for _, p := range policies {
		runs = append(runs, func() *Result { return Cores(p, site, shape, limit, jobs) })
	}
	results := make([]*Result, len(runs))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, run := range runs {
		group.Go(func() error {
			results[i] = run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Tolerances is the curve that the institution's terms move along, with the
// policies that its parts are measured against.
func Tolerances() []Policy {
	list := []Policy{
		{Name: "slots divided, never lent", Change: func(c *dispatch.Config) { c.Lending.Off = true }},
		{Name: "tolerance 0 ms, first come, first served", Change: func(c *dispatch.Config) { c.Order.FIFO = true }},
	}
	for _, ms := range []int{0, 2, 5, 10, 20, 25, 40} {
		list = append(list, Policy{Name: fmt.Sprintf("tolerance %d ms", ms), Tolerance: time.Duration(ms) * time.Millisecond})
	}
	return list
}
