package soak

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
	"sapphirepoint.example/sapphirepoint/standin/faults"
)

// Links between entry VMs that fail, one by one, those of a VM or those of a failure domain, in one direction or in
// both. Each VM reads the others' addresses in the store, where it sees those of relays.

// Guards against tasks that run twice, and accepted jobs that are lost or denied, when entry VMs that reach the
// store and runners don't reach each other. Some of the time no link fails, so that they meet again.
func TestSoakEntryLinks(t *testing.T) {
	soakOnly(t, failingLinks(slices.Concat(linkFaults, slices.Repeat([]fault{noFault}, 4))))
}

// Guards against the same while processes are killed or paused, and runners and the store fail.
func TestSoakEntryLinksAndFaults(t *testing.T) {
	soakOnly(t, failingLinks(slices.Concat(linkFaults, linkFaults, linkFaults, faultKinds, processFaults, listFaults)))
}

// failingLinks returns a scenario of entry VMs in failure domains whose links can fail.
func failingLinks(kinds []fault) scenario {
	return scenario{
		faults: kinds, linksFail: true, minLinksLost: minLinksLost, minRunners: wideRunners, minDomains: 3,
		wide: wideJobs{shortShare: 0.4, minOverdue: minOverdueWithFaults},
	}
}

// minLinksLost is the least number of lost connections between entry processes, counted at each end.
const minLinksLost = 4

// linkFaults are faults of links between entry VMs, and from one failure domain to others.
var linkFaults = []fault{
	{"VM cut off", func(w *world) {
		n := w.randomNode()
		w.cutLinks(linksBetween([]*node{n}, w.nodesBut(n), true, true))
	}},
	{"VM cut off in one direction", func(w *world) {
		n, out := w.randomNode(), w.rng.IntN(2) == 0
		w.cutLinks(linksBetween([]*node{n}, w.nodesBut(n), out, !out))
	}},
	{"link cut", func(w *world) {
		a, b := w.randomPair()
		w.cutLinks(linksBetween(a, b, true, true))
	}},
	{"link cut in one direction", func(w *world) {
		a, b := w.randomPair()
		w.cutLinks(linksBetween(a, b, true, false))
	}},
	{"links of a VM delayed", func(w *world) { w.delayLinks(w.randomNode()) }},
	{"failure domain cut off", func(w *world) {
		domain := w.randomNode().Domain
		w.cutLinks(linksBetween(w.nodesOf(domain), w.nodesOutside(domain), true, true))
		w.cutRunners(domain)
	}},
}

// nodesBut returns all nodes but one.
func (w *world) nodesBut(n *node) []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(other *node) bool { return other == n })
}

// nodesOutside returns the nodes of the other failure domains.
func (w *world) nodesOutside(domain string) []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.Domain == domain })
}

// randomPair returns two nodes.
func (w *world) randomPair() (a, b []*node) {
	n := w.randomNode()
	others := w.nodesBut(n)
	return []*node{n}, []*node{others[w.rng.IntN(len(others))]}
}

// linkFaultTime draws how long a fault of links lasts.
func (w *world) linkFaultTime() time.Duration { return w.randomDuration(300, 3500) }

// cutLinks drops what is sent on links, for a while.
func (w *world) cutLinks(links []entryLink) {
	w.links.cut(links, 1)
	w.runAfter(w.linkFaultTime(), func() { w.links.cut(links, -1) })
}

// cutRunners cuts the links between the entry VMs of a failure domain and the runners of others, and between its
// runners and the entry VMs of others, for a while.
func (w *world) cutRunners(domain string) {
	w.links.cutRunners(domain, 1)
	w.runAfter(w.linkFaultTime(), func() { w.links.cutRunners(domain, -1) })
}

// delayLinks delays all that an entry VM sends on links that it has dialed, and receives on them, for a while.
func (w *world) delayLinks(n *node) {
	w.links.delay(n.name, w.randomDuration(5, 120))
	w.runAfter(w.linkFaultTime(), func() { w.links.delay(n.name, 0) })
}

// entryLink is one direction of the link between two entry VMs.
type entryLink struct{ from, to string }

// linksBetween returns the links from some entry VMs to others, back, or both.
func linksBetween(some, others []*node, out, back bool) []entryLink {
	var list []entryLink
	for _, a := range some {
		for _, b := range others {
			if out {
				list = append(list, entryLink{a.name, b.name})
			}
			if back {
				list = append(list, entryLink{b.name, a.name})
			}
		}
	}
	return list
}

// runnerLink is the link from the entry VMs of a failure domain to a runner of another one.
type runnerLink struct{ domain, runner string }

// runnerProxy is the proxy of a runnerLink. runnerDomain is the failure domain of the runner.
type runnerProxy struct {
	*faults.Proxy
	runnerDomain string
}

// entryLinks holds a relay or proxy for each link, made when its address is first read in the store. A fault adds
// to the number of cuts of a link and takes that back, so that faults may overlap.
type entryLinks struct {
	mu sync.Mutex
	// relays has, by link, what forwards datagrams of the VM that dials it, and the answers.
	relays     map[entryLink]*faults.Relay
	cuts       map[entryLink]int
	runners    map[runnerLink]runnerProxy
	domainCuts map[string]int
	// backlog is the length of the queue of new connections of a link to a runner; 0 stands for the system's.
	backlog int
	closed  bool
}

func newEntryLinks(backlog int) *entryLinks {
	return &entryLinks{
		backlog:    backlog,
		relays:     make(map[entryLink]*faults.Relay),
		cuts:       make(map[entryLink]int),
		runners:    make(map[runnerLink]runnerProxy),
		domainCuts: make(map[string]int),
	}
}

// cut adds to the numbers of cuts of links.
func (l *entryLinks) cut(links []entryLink, more int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range links {
		l.cuts[link] += more
		l.apply(link)
		l.apply(entryLink{link.to, link.from})
	}
}

// apply makes the relay of a link, if there is one, drop what is cut. The caller holds the lock.
func (l *entryLinks) apply(link entryLink) {
	if r := l.relays[link]; r != nil {
		r.Drop(l.cuts[link] > 0, l.cuts[entryLink{link.to, link.from}] > 0)
	}
}

// cutRunners adds to the number of cuts of a failure domain.
func (l *entryLinks) cutRunners(domain string, more int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domainCuts[domain] += more
	for link, p := range l.runners {
		l.applyToRunner(link, p)
	}
}

// applyToRunner makes the proxy of a link to a runner drop everything if one of its ends is in a failure domain that
// is cut off. The caller holds the lock.
func (l *entryLinks) applyToRunner(link runnerLink, p runnerProxy) {
	cut := l.domainCuts[link.domain] > 0 || l.domainCuts[p.runnerDomain] > 0
	p.Drop(cut, cut)
}

// dropConnections lets all links to a runner drop connections for a time.
func (l *entryLinks) dropConnections(runner string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for link, p := range l.runners {
		if link.runner == runner {
			go p.DropConnections(d)
		}
	}
}

// delay sets the delay of the links that a VM has dialed.
func (l *entryLinks) delay(vm string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for link, r := range l.relays {
		if link.from == vm {
			r.Delay(d)
		}
	}
}

// close closes all relays and proxies.
func (l *entryLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, r := range l.relays {
		r.Close()
	}
	for _, p := range l.runners {
		p.Close()
	}
}

// The tables whose rows have addresses.
const (
	memberTable = "sapphirepoint-members"
	runnerTable = "servers"
)

// seenFrom returns the view that an entry VM has of the store: the addresses of other VMs, and of runners of other
// failure domains, are those of its links to them.
func (l *entryLinks) seenFrom(vm, domain string) deployment.View {
	return func(r deployment.Row) deployment.Row {
		switch {
		case r.Deleted:
			return r
		case r.Table == memberTable && r.Key != vm:
			return withAddress(r, func(_, address string) (string, error) { return l.relay(entryLink{vm, r.Key}, address) })
		case r.Table == runnerTable:
			return withAddress(r, func(zone, address string) (string, error) {
				if zone == domain {
					return address, nil
				}
				return l.runnerProxy(runnerLink{domain, r.Key}, zone, address)
			})
		}
		return r
	}
}

// withAddress returns a row with another address, which depends on the failure domain and the address of a runner's
// row. A row that has none, or whose link can't be made, stays as it is.
func withAddress(r deployment.Row, change func(zone, address string) (string, error)) deployment.Row {
	var fields map[string]json.RawMessage
	var known struct{ Zone, Address string }
	if json.Unmarshal(r.Value, &fields) != nil || json.Unmarshal(r.Value, &known) != nil || known.Address == "" {
		return r
	}
	address, err := change(known.Zone, known.Address)
	if err != nil {
		return r
	}
	fields["address"], _ = json.Marshal(address)
	r.Value, _ = json.Marshal(fields)
	return r
}

var errLinksClosed = errors.New("the links are closed")

// relay returns the address of the relay of a link.
func (l *entryLinks) relay(link entryLink, target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return "", errLinksClosed
	}
	if l.relays[link] == nil {
		r, err := faults.NewRelay(target)
		if err != nil {
			return "", err
		}
		l.relays[link] = r
		l.apply(link)
	}
	return l.relays[link].Address(), nil
}

// runnerProxy returns the address of the proxy of a link to a runner.
func (l *entryLinks) runnerProxy(link runnerLink, zone, target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return "", errLinksClosed
	}
	if l.runners[link].Proxy == nil {
		p, err := faults.NewProxyWithQueue(target, l.backlog)
		if err != nil {
			return "", err
		}
		l.runners[link] = runnerProxy{p, zone}
		l.applyToRunner(link, l.runners[link])
	}
	return l.runners[link].Address(), nil
}
