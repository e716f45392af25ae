// Package routing holds the declared routes and services that an entry process
// goes by, and finds the route of a request.
package routing

import (
	"strings"
	"time"
)

// Route is a queue: which requests it takes and on what terms.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch times a job's longest chain of work, and Target more, is its
	// latency objective.
	Stretch float64
	Target  time.Duration
	// Timeout is the longest that a request of the route is worked on; 0 is
	// no limit.
	Timeout time.Duration
	// Advised: only another service knows which runners may run its tasks. Such
	// queues aren't served yet.
	Advised bool
}

// Service is a pool of runners.
type Service struct {
	Name string
	// MaxConns is the connections that each runner takes from all entry VMs.
	MaxConns int
}

// Limits bound requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is one version of what operators declare.
type Declaration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is the declaration in force. It never goes back within a process.
type Table struct {
	current *Declaration
}

// Apply takes a declaration into force if it is newer, and reports whether.
//
// Versions arrive from the store and from peers in any order. A request routed
// by a newer version followed by one routed by an older would show a caller a
// service that was already withdrawn, so an older version is never applied.
func (t *Table) Apply(d *Declaration) bool {
	if t.current != nil && d.Version <= t.current.Version {
		return false
	}
	t.current = d
	return true
}

// Current is the declaration in force; nil before the first.
func (t *Table) Current() *Declaration { return t.current }

// Version is 0 before the first declaration.
func (t *Table) Version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Version
}

// Find returns the route of a request: the longest prefix of its path among
// the routes of its host; nil if there is none.
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
