package bench

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
)

// maxParallel bounds the simulations that run at the same time.
const maxParallel = 4

// Compare runs the reference policies and the given policies over the same stream.
func Compare(site Site, workload Workload, limit time.Duration, policies []Policy) []*Result {
	jobs := workload.Stream(site)
	runs := []func() *Result{
		func() *Result { return IdealQueue(site, workload, limit, jobs) },
		func() *Result { return RandomChoice(site, workload, limit, jobs) },
		func() *Result { return LeastOfTwo(site, workload, limit, jobs) },
	}
	for _, p := range policies {
		runs = append(runs, func() *Result { return SimulateDispatch(p, site, workload, limit, jobs) })
	}
	results := make([]*Result, len(runs))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, run := range runs {
		group.Go(func() error {
			results[i] = run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// TolerancePolicies returns policies with increasing borrow tolerance, and two for comparison: without
// lending, and with tasks served in the order of their jobs' arrival.
func TolerancePolicies() []Policy {
	list := []Policy{
		{Name: "slots divided, never lent", ChangeConfig: func(c *dispatch.Config) { c.Lending.Off = true }},
		{Name: "tolerance 0 ms, first come, first served", ChangeConfig: func(c *dispatch.Config) { c.Order.FIFO = true }},
	}
	for _, ms := range []int{0, 2, 5, 10, 20, 25, 40} {
		list = append(list, Policy{Name: fmt.Sprintf("tolerance %d ms", ms), Tolerance: time.Duration(ms) * time.Millisecond})
	}
	return list
}
