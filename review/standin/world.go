//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

const (
	serviceName = "labelworks"
	hostName    = "labels.example"
	pathPrefix  = "/print/"
	queueName   = "print"
	// graceS is the time from SIGTERM to SIGKILL, in seconds.
	graceS = 6
)

// world is a small deployment: entry processes of their own, and stand-ins for the platform's store, the
// runners and the clients in this process.
type world struct {
	rec     *recorder
	program string
	dir     string
	// store is the platform's store, which the processes reach by way of gate.
	store   *deployment.Store
	gate    *storeGate
	runners []*runner
	nodes   []*node
	http    *http.Client
	closed  chan struct{}
	version int
	// attempts is maxAttempts of the queue.
	attempts int

	mu    sync.Mutex
	rng   *rand.Rand
	jobs  map[string]*jobRecord
	order []*jobRecord
	runs  []*runRecord
	// seen are broken rules that clients have seen.
	seen []string
	// cut are the requests whose connections ended without a whole answer.
	cut []string
}

// node is an entry VM. Its process is started again whenever it ends.
type node struct {
	deployment.Node
	name string
	log  *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// peak is the most memory that its process has occupied, in kilobytes, and killed how often the platform has
	// killed it for that.
	peak, killed int
}

// layout is the size of a deployment: its zones, the entry VMs in each, and the runners with those of a rack.
type layout struct {
	zones   []string
	nodes   []int
	runners int
	perRack int
}

// smallSite has the machines of a small deployment.
var smallSite = layout{zones: []string{"loughborough", "melton", "hinckley"}, nodes: []int{3, 2, 1}, runners: 48, perRack: 8}

func newWorld(rec *recorder, program, dir string, site layout, attempts int, seed uint64) (*world, error) {
	store, err := deployment.NewStore()
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, program: program, dir: dir, store: store, closed: make(chan struct{}), attempts: attempts,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}},
		rng:  rand.New(rand.NewPCG(seed, 11)), jobs: make(map[string]*jobRecord),
	}
	if w.gate, err = newStoreGate(w, store.Address()); err != nil {
		return nil, err
	}
	for i := range site.runners {
		zone := site.zones[i*len(site.zones)/site.runners]
		r, err := newRunnerStandin(w, fmt.Sprintf("i-%d", 1001+i), zone, fmt.Sprintf("r1-%d", 1+i/site.perRack))
		if err != nil {
			return nil, err
		}
		w.runners = append(w.runners, r)
	}
	w.putConfiguration()
	for z, n := range site.nodes {
		for k := range n {
			if err := w.addNode(fmt.Sprintf("front-%s-%d", site.zones[z], k+1), site.zones[z]); err != nil {
				return nil, err
			}
		}
	}
	for _, n := range w.nodes {
		path := filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(path, []byte(w.settings(n, site)), 0o600); err != nil {
			return nil, err
		}
		go w.restartForever(n, path)
	}
	return w, nil
}

// putConfiguration writes the operator's configuration with a new version.
func (w *world) putConfiguration() {
	w.mu.Lock()
	w.version += 3
	v := w.version
	w.mu.Unlock()
	_ = w.store.Put("op", "config", map[string]any{
		"version": v,
		"routes": []map[string]any{{
			"name": queueName, "host": hostName, "pathPrefix": pathPrefix, "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 0, "service": serviceName, "maxAttempts": w.attempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addNode chooses the ports of an entry VM, and opens the file for the output of its processes.
func (w *world) addNode(name, zone string) error {
	d, err := deployment.NewNode(name, zone)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return err
	}
	w.nodes = append(w.nodes, &node{Node: d, name: name, log: log, done: make(chan struct{})})
	return nil
}

// settings is the settings file of a process, with the fields and figures of a small deployment.
func (w *world) settings(n *node, site layout) string {
	zones := ""
	for _, z := range site.zones {
		zones += fmt.Sprintf("%s = \"east-mids\"\n", z)
	}
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "east-mids"
portRange = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
[zones]
%s[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopTimeoutMs = 50
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 0.5
restoreMs = 100
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
enforceFencing = false
leaseMs = 3000
thawMs = 300
paceMs = 100
interferenceMs = 4000
retransmitMs = 1300
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
txnMs = 3.0
partitionWritesS = 300
rowBytes = 65536
crossShard = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`, n.name, n.Domain, n.PeerPort, n.PeerPort, zones, n.CallerAddress, n.HealthAddress, w.gate.address)
}

// restartForever starts a node's process again whenever it ends, as the platform does.
func (w *world) restartForever(n *node, settings string) {
	defer close(n.done)
	for {
		cmd := exec.Command(w.program)
		cmd.Env = append(os.Environ(), "SAPPHIREPOINT_NODE_FILE="+settings)
		cmd.Stdout, cmd.Stderr = n.log, n.log
		n.mu.Lock()
		err := cmd.Start()
		n.cmd = cmd
		n.mu.Unlock()
		if err != nil {
			w.rec.line("a process can't be started: %v", err)
			return
		}
		_ = cmd.Wait()
		w.rec.line("process-ended node=%s state=%q", n.name, cmd.ProcessState.String())
		select {
		case <-w.closed:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// signal sends a signal to the node's process. SIGKILL follows a SIGTERM after the grace period.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	p := n.cmd.Process
	_ = p.Signal(s)
	if s == syscall.SIGTERM {
		time.AfterFunc(graceS*time.Second, func() { _ = p.Signal(syscall.SIGKILL) })
	}
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if w.nodeReady(n) {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
	}
	return false
}

func (w *world) nodeReady(n *node) bool {
	res, err := w.http.Get("http://" + n.HealthAddress + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (w *world) close() {
	close(w.closed)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.done
		_ = n.log.Close()
	}
	for _, r := range w.runners {
		_ = r.server.Close()
	}
	_ = w.gate.server.Close()
	w.store.Close()
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *world) between(a, b time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// leader is the node whose process owns the rows of the first shard; nil if none does.
func (w *world) leader() *node {
	owner := w.ownerRow()
	for _, n := range w.nodes {
		if owner == n.name {
			return n
		}
	}
	return nil
}
