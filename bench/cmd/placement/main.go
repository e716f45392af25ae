// Command placement compares placement policies in virtual time and prints a
// Markdown table for each load.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/bench"
)

func main() {
	var seed uint64
	var length time.Duration
	var loads []float64
	site := bench.Hollowell
	limit := 30 * time.Second
	kandy, byDomain, bursts := false, false, false
	var partition time.Duration
	cmd := &cobra.Command{
		Use:   "placement",
		Short: "Compare placement policies in virtual time",
		RunE: func(*cobra.Command, []string) error {
			if kandy {
				site = bench.Kandy
			}
			site.ByDomain = byDomain
			for _, load := range loads {
				workload := bench.Workload{Load: load, Stragglers: bench.DefaultStragglers, Length: length, Warmup: length / 10, Seed: seed}
				workload.Bursts = bursts
				if partition > 0 {
					workload.PartitionFrom, workload.PartitionUntil = length/2, length/2+partition
				}
				fmt.Printf("\nLoad %.0f%%, seed %d, %v of arrivals:\n\n%s", load*100, seed, length, bench.Header)
				for _, r := range bench.Compare(site, workload, limit, bench.TolerancePolicies()) {
					fmt.Print(r.Row())
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the stream")
	cmd.Flags().DurationVar(&length, "length", 200*time.Second, "virtual time in which jobs arrive")
	cmd.Flags().DurationVar(&limit, "limit", limit, "contracted response time")
	cmd.Flags().BoolVar(&kandy, "kandy", false, "measure the second deployment instead of the first")
	cmd.Flags().BoolVar(&byDomain, "by-domain", false, "let jobs arrive at each domain in proportion to its slots, not evenly at the VMs")
	cmd.Flags().BoolVar(&bursts, "bursts", false, "let jobs arrive at three times the mean rate for a second in every ten")
	cmd.Flags().DurationVar(&partition, "cut", 0, "length of a network partition between the first domain and the others, from the middle on")
	cmd.Flags().Float64SliceVar(&loads, "load", []float64{0.5, 0.8, 0.95}, "offered load, as shares of capacity")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}
