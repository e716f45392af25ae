// Command overload measures overload, upstream faults, and mass cancellations and resubmissions in
// virtual time, and prints Markdown tables.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/bench"
)

func main() {
	s := bench.Scenarios{Site: bench.Hollowell, Out: os.Stdout}
	only := ""
	kandy := false
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Measure overload, upstream faults, mass cancellations and resubmissions in virtual time",
		Run: func(*cobra.Command, []string) {
			if kandy {
				s.Site = bench.Kandy
			}
			for _, part := range []struct {
				name, title string
				print       func()
			}{
				{"overload", "Goodput under overload", s.Overload},
				{"burst", "After a burst of 300% for 10 s, else 70%", s.Burst},
				{"faults", "Faulty upstreams, at 80%", s.Faults},
				{"ceiling", "A ceiling of half of the slots, at 100%", s.Ceiling},
				{"waves", "Mass cancellations and resubmissions", s.Waves},
			} {
				if only != "" && only != part.name {
					continue
				}
				fmt.Printf("\n### %s\n\n", part.title)
				part.print()
			}
		},
	}
	cmd.Flags().Uint64Var(&s.Seed, "seed", 1, "seed of the stream")
	cmd.Flags().DurationVar(&s.Length, "length", 60*time.Second, "virtual time in which jobs arrive")
	cmd.Flags().BoolVar(&kandy, "kandy", false, "measure the second deployment instead of the first")
	cmd.Flags().StringVar(&only, "only", "", "overload, burst, faults, ceiling or waves")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}
