package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
	"sapphirepoint.example/sapphirepoint/standin/faults"
)

const (
	service = "labelworks"
	host    = "labels.example"
	prefix  = "/spot/"
	// graceS is the time between SIGTERM and SIGKILL, in seconds.
	graceS = 4
	// stopTimeout is the longest that a runner takes to stop a run.
	stopTimeout = 50 * time.Millisecond
	// restartDelay is the time after which the platform restarts a process that has ended.
	restartDelay = 200 * time.Millisecond
	// maxListDelay is the longest time until a runner lists a run that it has accepted.
	maxListDelay = 20 * time.Millisecond
	// healthTimeout is how long a process may take to say whether it is ready. One that doesn't run never does.
	healthTimeout = 5 * time.Second
	// maxWorlds is the most worlds that are open at once. More would starve each other on a machine with eight cores that
	// runs other tests as well.
	maxWorlds = 4
)

// world is a deployment of real processes on the loopback address.
type world struct {
	seed          uint64
	rng           *rand.Rand
	program       string
	store         *deployment.Store
	runners       []*proxiedRunner
	nodes         []*node
	checker       *checker
	configuration *configurationCheck
	http          *http.Client
	// health asks the processes for their health and metrics.
	health *http.Client
	// links are the links between the entry VMs; nil if they can't fail.
	links *entryLinks
	scenario

	mu             sync.Mutex
	configVersion  int
	runnersStarted int
	// closed is closed when the run ends. timers counts the calls of runAfter that are pending.
	closed chan struct{}
	timers sync.WaitGroup
}

// scenario is what the runs of a test have in common.
type scenario struct {
	// faults are the kinds of faults that are injected.
	faults []fault
	// shards is the number of shards of the layout in the store, and all jobs belong to the first;
	// 0 leaves the layout and the jobs' ids as they come.
	shards int
	// extraRunTime is added to the run times that callers ask for, so that runs outlive a lease.
	extraRunTime time.Duration
	// killDelay is how late the runners end runs after their leases, and killDelaySpread is up to how much later
	// some of them do.
	killDelay, killDelaySpread time.Duration
	// lenientStarts: runners carry out starts after their deadlines while they have a lease.
	lenientStarts bool
	// unlistedStops: no runner lists a run that is being stopped as running; otherwise about half of them don't.
	unlistedStops bool
	// wrongEstimates: callers ask for runs of several times the estimate that they give, so that runs are stopped.
	wrongEstimates bool
	// copies is the share of jobs that are sent to another entry VM as well while the first request is open.
	copies float64
	// linksFail: the links between entry processes, and those from one failure domain to the runners of others, can
	// fail. minLinksLost is the least number of connections between entry processes that a test loses, counted at
	// each end.
	linksFail    bool
	minLinksLost int
	// minRunners and minDomains are the numbers of runners and of failure domains if the flags set fewer.
	minRunners, minDomains int
	// minRestarted is the least number of restarts of runners that the processes notice.
	minRestarted int
	// callers is the number of callers, and of those of wide jobs, unless the flag sets it; 0 for the usual one.
	callers int
	// wide are jobs of many tasks that are submitted beside the others.
	wide wideJobs
	// backlog is the length of the queue of new connections to a runner; 0 stands for the system's.
	backlog int
}

// proxiedRunner is a runner behind a proxy.
type proxiedRunner struct {
	runner *deployment.Runner
	proxy  *faults.Proxy
}

// entry is the runner's row in the store, with the proxy's address.
func (r *proxiedRunner) entry() deployment.RunnerInfo {
	info := r.runner.Entry()
	info.Address = r.proxy.Address()
	return info
}

// worlds holds an element for each world that is open.
var worlds = make(chan struct{}, maxWorlds)

// newWorld starts a world, once fewer than maxWorlds are open.
func newWorld(program, dir string, seed uint64, sc scenario) (_ *world, err error) {
	worlds <- struct{}{}
	defer func() {
		if err != nil {
			<-worlds
		}
	}()
	store, err := deployment.NewStore()
	if err != nil {
		return nil, err
	}
	w := &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), program: program, store: store,
		checker: newChecker(), configuration: newConfigurationCheck(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}, health: &http.Client{Timeout: healthTimeout}, closed: make(chan struct{}),
		scenario: sc,
	}
	if w.linksFail {
		w.links = newEntryLinks(w.backlog)
	}
	if w.shards > 0 {
		if err := w.store.Put("sapphirepoint-layout", "shards", map[string]int{"shards": w.shards}); err != nil {
			return nil, err
		}
	}
	for i := range max(*runners, w.minRunners) {
		r, err := w.newRunner(w.domain(i))
		if err != nil {
			return nil, err
		}
		w.runners = append(w.runners, r)
	}
	w.putConfiguration()
	for i := range *nodes {
		if err := w.addNode(dir, fmt.Sprintf("front-%d", i+1), w.domain(i)); err != nil {
			return nil, err
		}
	}
	w.configuration.start(w.nodes)
	return w, nil
}

// drawLists draws which of its runs a new runner doesn't list as running, and whether it reports its incarnation.
// The faults that a seed injects don't depend on it.
func (w *world) drawLists(r *deployment.Runner) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.runnersStarted)))
	unlistedStops, late := rng.IntN(2) == 0, rng.IntN(2) == 0
	r.ChangeFaults(func(f *deployment.RunnerFaults) {
		f.UnlistedStops = w.unlistedStops || unlistedStops
		if late {
			f.MaxListDelay = maxListDelay
		}
	})
	if rng.IntN(2) == 0 {
		r.HideIncarnation()
	}
}

// domain returns the failure domain of the runner or entry VM with an index.
func (w *world) domain(i int) string { return string(rune('a' + i%max(*domains, w.minDomains))) }

// newRunner starts a runner behind a new proxy and registers the proxy's address in place of its own.
func (w *world) newRunner(domain string) (*proxiedRunner, error) {
	r, err := w.startRunner(domain)
	if err != nil {
		return nil, err
	}
	p, err := faults.NewProxyWithQueue(r.Info.Address, w.backlog)
	if err != nil {
		return nil, err
	}
	proxied := &proxiedRunner{runner: r, proxy: p}
	return proxied, w.store.Put(runnerTable, r.ID, proxied.entry())
}

// startRunner starts a runner under a new id, which isn't registered.
func (w *world) startRunner(domain string) (*deployment.Runner, error) {
	w.runnersStarted++
	r, err := deployment.StartRunner(fmt.Sprintf("i-%d", w.runnersStarted), service, domain)
	if err != nil {
		return nil, err
	}
	r.SetObserver(w.checker)
	killDelay := w.drawKillDelay()
	r.ChangeFaults(func(f *deployment.RunnerFaults) {
		f.KillDelay, f.StopTime, f.LenientStarts = killDelay, stopTimeout, w.lenientStarts
	})
	w.drawLists(r)
	return r, nil
}

// drawKillDelay draws how late a runner ends runs after its leases.
func (w *world) drawKillDelay() time.Duration {
	if w.killDelaySpread == 0 {
		return w.killDelay
	}
	return w.killDelay + time.Duration(w.rng.Int64N(int64(w.killDelaySpread)+1))
}

// replaceRunner crashes a runner and starts another one in its place under a new id.
func (w *world) replaceRunner(i int) {
	old := w.runners[i]
	old.runner.Close()
	w.store.Remove("servers", old.runner.ID)
	r, err := w.newRunner(old.runner.Info.Zone)
	if err != nil {
		w.checker.reportViolation("the soak test itself failed: %v", err)
		return
	}
	w.runners[i] = r
}

// putConfiguration writes the configuration with a new version into the store, which adds or drops one of
// the second routes.
func (w *world) putConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion += 3
	d := deployment.Declaration(w.configVersion, host, prefix, "spot", service, 60)
	change := w.configuration.begin()
	for _, route := range change.routes.second() {
		d["routes"] = append(d["routes"].([]map[string]any), deployment.Route(route, host, routePrefix(route), service, 60))
	}
	if err := w.store.Put("op", "config", d); err != nil {
		w.checker.reportViolation("the soak test itself failed: %v", err)
	}
	w.configuration.acknowledge(change)
}

// injectStoreFault injects faults at the store for the given time.
func (w *world) injectStoreFault(f deployment.StoreFaults, d time.Duration) {
	end := w.configuration.disturbances.begin(theStore)
	w.store.SetFaults(f)
	w.runAfter(d, func() {
		w.store.SetFaults(deployment.StoreFaults{})
		end()
	})
}

// silenceStoreConnections makes the nodes' open connections to the store silent; new ones work.
func silenceStoreConnections(nodes ...*node) {
	for _, n := range nodes {
		end := n.disturbances.begin(n.name)
		n.storeProxy.Silence()
		end()
	}
}

// cutStore drops what all nodes send to the store, and what it answers, for the given time.
func (w *world) cutStore(toStore, fromStore bool, d time.Duration) {
	end := w.configuration.disturbances.begin(theStore)
	w.dropStoreData(toStore, fromStore)
	w.runAfter(d, func() {
		w.dropStoreData(false, false)
		end()
	})
}

func (w *world) dropStoreData(toStore, fromStore bool) {
	for _, n := range w.nodes {
		n.storeProxy.Drop(toStore, fromStore)
	}
}

// runAfter calls f after a delay, or when the run ends.
func (w *world) runAfter(d time.Duration, f func()) {
	w.timers.Go(func() {
		w.sleep(d)
		f()
	})
}

// sleep waits for a time, or until the run ends, and reports whether the run goes on.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.closed:
		return false
	}
}

func (w *world) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// pauseAfter pauses a node's process for a time, after a delay. Both signals are sent by one goroutine: of two that
// are late, SIGCONT could come first, and the process would stay stopped.
func (w *world) pauseAfter(delay time.Duration, n *node, d time.Duration) {
	w.timers.Go(func() {
		if w.sleep(delay) {
			n.signal(syscall.SIGSTOP)
			w.sleep(d)
			n.signal(syscall.SIGCONT)
		}
	})
}

// waitForFaults waits until all faults are over, and writes the configuration again.
func (w *world) waitForFaults() {
	w.timers.Wait()
	w.putConfiguration()
}

// storeAddress returns the address of the store for an entry VM. Where links can fail, the VM sees there the
// addresses of its own links to others in place of theirs.
func (w *world) storeAddress(vm, domain string) (string, error) {
	if w.links == nil {
		return w.store.Address(), nil
	}
	return w.store.ListenWithView(w.links.seenFrom(vm, domain))
}

// ready reports whether any entry process is ready.
func (w *world) ready() bool { return slices.ContainsFunc(w.nodes, w.isReady) }

// isReady reports whether a node's process answers that it is ready.
func (w *world) isReady(n *node) bool {
	res, err := w.health.Get("http://" + n.HealthAddress + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (w *world) close() {
	defer func() { <-worlds }()
	close(w.closed)
	w.timers.Wait()
	w.configuration.finish()
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.done
		n.storeProxy.Close()
	}
	for _, r := range w.runners {
		r.runner.Close()
		r.proxy.Close()
	}
	if w.links != nil {
		w.links.close()
	}
	w.store.Close()
}
