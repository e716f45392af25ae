// Package routing holds the routes and services that operators declare, and finds the route
// of a request.
package routing

import (
	"strings"
	"time"
)

// Route defines a queue: the requests that it accepts, and the settings of the jobs in them.
type Route struct {
	// Name is the name of the queue.
	Name string
	// Host is the host of the requests that the route accepts, Prefix a prefix of their paths.
	Host   string
	Prefix string
	// Service is the service whose runners run the tasks.
	Service string
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int
	// A job's latency objective is Stretch times the estimated run time of its longest chain of
	// dependent steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout limits the time for which a request of the route is processed, unless the request has
	// a timeout of its own; 0 means the default timeout.
	Timeout time.Duration
	// Advised: another service decides which runners may run the queue's tasks. Such queues aren't
	// served yet.
	Advised bool
}

// Service is a pool of runners.
type Service struct {
	Name string
	// MaxConns limits the connections that each runner accepts from all entry VMs.
	MaxConns int
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the maximum time for reading a request's header, IdleTimeout the maximum time
	// for which a connection without a request stays open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is one version of the operators' configuration.
type Declaration struct {
	// Version grows with each change by an operator.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is the declaration in force. Its version never decreases within a process.
type Table struct {
	current *Declaration
}

// Apply puts a declaration in force if it is newer, and reports whether it did.
//
// Declarations arrive from the store and from peers in any order. If an older version were applied
// after a newer one, callers could reach a service that was already withdrawn.
func (t *Table) Apply(d *Declaration) bool {
	if t.current != nil && d.Version <= t.current.Version {
		return false
	}
	t.current = d
	return true
}

// Current is the declaration in force; nil before the first.
func (t *Table) Current() *Declaration { return t.current }

// Version is the version of the declaration in force; 0 before the first.
func (t *Table) Version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Version
}

// Find returns the route of a request: among the routes of its host, the one with the longest
// matching prefix of its path; nil if there is none.
func (t *Table) Find(host, path string) *Route {
	if t.current == nil {
		return nil
	}
	var best *Route
	for i := range t.current.Routes {
		r := &t.current.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}
