package bench

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/task"
)

// Site is an institution's deployment: its processes and the network delays between them.
type Site struct {
	Name    string
	Domains []string
	// Entries is the number of entry processes in all domains.
	Entries   int
	Upstreams int
	// Slots is the number of slots of each upstream.
	Slots int
	// ByDomain: jobs arrive at each domain in proportion to its slots. Otherwise each entry process
	// gets the same share.
	ByDomain bool
	// One-way network delays.
	ClientDelay, InterDomainDelay, IntraDomainDelay time.Duration
}

// Hollowell and Kandy are the two deployments in use.
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

// delay returns the one-way delay between two domains, or within one.
func (s Site) delay(a, b string) time.Duration {
	if a == b {
		return s.IntraDomainDelay
	}
	return s.InterDomainDelay
}

// network is the minimal network time of a response.
func (s Site) network() time.Duration {
	return 2 * (s.ClientDelay + s.IntraDomainDelay)
}

// ideal is the response time of a job that doesn't wait for any slot.
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
