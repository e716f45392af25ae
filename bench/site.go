package bench

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Site is one institution's places: what stands where, and how far apart.
type Site struct {
	Name    string
	Domains []string
	// Entries is the number of entry processes over all domains.
	Entries   int
	Upstreams int
	Slots     int
	// One-way delays.
	// ByDomain makes jobs arrive at each domain in proportion to its slots;
	// otherwise each entry process gets the same part.
	ByDomain                                        bool
	ClientDelay, InterDomainDelay, IntraDomainDelay time.Duration
}

// Hollowell and Kandy are the two deployments of today. The delay within a
// domain is assumed.
var (
	Hollowell = Site{
		Name: "hollowell", Domains: []string{"loughborough", "melton", "hinckley"},
		Entries: 7, Upstreams: 48, Slots: 8,
		ClientDelay: 3 * time.Millisecond, InterDomainDelay: 500 * time.Microsecond, IntraDomainDelay: 100 * time.Microsecond,
	}
	Kandy = Site{
		Name: "kandy", Domains: []string{"kandy", "nuwara", "matale"},
		Entries: 7, Upstreams: 48, Slots: 8,
		ClientDelay: 3 * time.Millisecond, InterDomainDelay: time.Millisecond, IntraDomainDelay: 100 * time.Microsecond,
	}
)

func (s Site) totalSlots() int { return s.Upstreams * s.Slots }

func (s Site) entryDomain(i int) string    { return s.Domains[i%len(s.Domains)] }
func (s Site) upstreamDomain(i int) string { return s.Domains[i%len(s.Domains)] }

func (s Site) delay(a, b string) time.Duration {
	if a == b {
		return s.IntraDomainDelay
	}
	return s.InterDomainDelay
}

// network is the least time that the network takes of a response.
func (s Site) network() time.Duration {
	return 2 * (s.ClientDelay + s.IntraDomainDelay)
}

// ideal is the response of a job that has everything to itself.
func (s Site) ideal(j Job) time.Duration {
	return j.longest() + s.network()
}

func (s Site) members() task.Members {
	var m task.Members
	for i := range s.Entries {
		m.Nodes = append(m.Nodes, task.Node{Name: entryName(i), FailureDomain: s.entryDomain(i)})
	}
	for i := range s.Upstreams {
		m.Upstreams = append(m.Upstreams, task.Upstream{
			Name: upstreamName(i), FailureDomain: s.upstreamDomain(i), Worker: upstreamName(i),
			Rack: fmt.Sprintf("rack-%d", i/8), Institution: s.Name, Slots: uint32(s.Slots),
		})
	}
	return m
}

func entryName(i int) string    { return fmt.Sprintf("entry-%d", i) }
func upstreamName(i int) string { return fmt.Sprintf("runner-%02d", i) }
