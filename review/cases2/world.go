//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
	"sapphirepoint.example/sapphirepoint/standin/faults"
)

// The names of the deployment.
const (
	service = "dele69a"
	// service2 has few runners, and a queue of its own.
	service2 = "zigo56a"
	prefix2  = "/dano800/"
	host     = "nony24.example"
	prefix   = "/lohu930/"
	queue    = "spot"
	// program is the command of the deploy file.
	program = "target/sapphirepoint-entry"
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"loughborough", "melton", "hinckley"}

// world is a small deployment: entry processes of the project, and stand-ins for all else.
type world struct {
	dir     string
	store   *deployment.Store
	record  *record
	runners []*runner
	nodes   []*node
	http    *http.Client
	stop    chan struct{}
	// storeFor returns the address at which a node finds the store.
	storeFor func(n *node) (string, error)

	mu sync.Mutex
	// steps are the steps of each job, by the job's id.
	steps  map[string][]step
	relays map[[2]string]*faults.Relay
	// stored are the jobs that must be stored.
	stored map[string]bool
	lastID uint64
	// small is the number of runners of the second service.
	small int
	// unguarded: the runners start what they are told to, also beyond their capacity.
	unguarded bool
	// late is the share of orders to runners that get no answer and are carried out later.
	late float64
	// lateWrites is the share of the writes to the store that get no answer and are done later.
	lateWrites float64
}

// node is an entry VM.
type node struct {
	deployment.Node
	world *world
	proxy *faults.Proxy
	path  string
	log   *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	restart bool
	done    chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "sapphirepoint-review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := deployment.NewStore()
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, store: store, record: rec, stop: make(chan struct{}), steps: make(map[string][]step), stored: make(map[string]bool),
		relays: make(map[[2]string]*faults.Relay),
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}},
	}
	w.storeFor = func(n *node) (string, error) { return w.store.ListenWithView(w.viewOf(n.Name)) }
	return w, nil
}

// addRunners starts runners of 64 cores, as many in each zone.
func (w *world) addRunners(n int) error {
	for i := range n {
		zone := zones[i%len(zones)]
		labels := []string{[]string{"a", "a", "b"}[i/len(zones)%3], fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24+1)}
		r, err := newRunner(w, fmt.Sprintf("i-%04d", i+1), zone, labels, 64000)
		if err != nil {
			return err
		}
		if i >= n-w.small {
			r.service = service2
			if err := r.register(); err != nil {
				return err
			}
		}
		w.runners = append(w.runners, r)
		go r.heartbeat(w.stop)
	}
	return nil
}

// configure writes the operator's configuration.
func (w *world) configure(version, maxAttempts int) error {
	d := deployment.Declaration(version, host, prefix, queue, service, 60)
	if w.small > 0 {
		second := deployment.Declaration(version, host, prefix2, "second", service2, 60)
		d["routes"] = append(d["routes"].([]map[string]any), second["routes"].([]map[string]any)...)
		d["services"] = append(d["services"].([]map[string]any), second["services"].([]map[string]any)...)
	}
	d["routes"].([]map[string]any)[0]["maxAttempts"] = maxAttempts
	d["limits"].(map[string]any)["maxBodyBytes"] = 262144
	return w.store.Put("op", "config", d)
}

// addNodes starts the entry processes: three, two and one in the zones.
func (w *world) addNodes() error {
	for i, zone := range []int{0, 0, 0, 1, 1, 2} {
		d, err := deployment.NewNode(fmt.Sprintf("front-%s-%d", zones[zone], i+1), zones[zone])
		if err != nil {
			return err
		}
		n := &node{Node: d, world: w, path: filepath.Join(w.dir, d.Name+".toml"), restart: true, done: make(chan struct{})}
		store, err := w.storeFor(n)
		if err != nil {
			return err
		}
		if n.proxy, err = faults.NewProxy(store); err != nil {
			return err
		}
		if err := os.WriteFile(n.path, []byte(n.settings()), 0o600); err != nil {
			return err
		}
		if n.log, err = os.Create(filepath.Join(w.dir, d.Name+".log")); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		go n.run()
	}
	return nil
}

// settings is the settings file of a process, as the pages show it.
func (n *node) settings() string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "east-mids"
portRange = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "invoke"
[zones]
loughborough = "east-mids"
melton = "east-mids"
hinckley = "east-mids"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
holdMaxMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 3
retransmitMs = 1300
[platform]
address = %q
form = "table"
rowBytes = 65536
crossShard = true
`, n.Name, n.Domain, n.PeerPort, n.PeerPort, n.CallerAddress, n.HealthAddress, n.proxy.Address())
}

// run starts the process, and starts it again when it ends, as the platform does.
func (n *node) run() {
	defer close(n.done)
	for {
		cmd := exec.Command(program)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIREPOINT_NODE_FILE=" + n.path}
		cmd.Stdout, cmd.Stderr = n.log, n.log
		n.mu.Lock()
		if !n.restart {
			n.mu.Unlock()
			return
		}
		err := cmd.Start()
		n.cmd = cmd
		n.mu.Unlock()
		if err != nil {
			fmt.Println("can't start:", err)
			return
		}
		err = cmd.Wait()
		n.world.record.line("%s ended: %v", n.Name, err)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process. With last set it isn't started again.
func (n *node) signal(s syscall.Signal, last bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last {
		n.restart = false
	}
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			res, err := w.http.Get("http://" + n.HealthAddress + "/ready")
			if err != nil {
				break
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the processes aren't ready")
}

// leader returns the node that leads, by the processes' logs.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		raw, _ := os.ReadFile(filepath.Join(w.dir, n.Name+".log"))
		last := ""
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "leader-changed") {
				last = line
			}
		}
		if i := strings.Index(last, " leader="); i >= 0 && strings.HasPrefix(last[i+len(" leader="):], n.Name) {
			return n
		}
	}
	return nil
}

// viewOf is the store as a node sees it: other nodes' addresses are those of relays, so that links can be cut.
func (w *world) viewOf(from string) deployment.View {
	return func(r deployment.Row) deployment.Row {
		if r.Deleted || r.Table != "sapphirepoint-members" || r.Key == from {
			return r
		}
		var m map[string]any
		if json.Unmarshal(r.Value, &m) != nil {
			return r
		}
		address, _ := m["address"].(string)
		relay, err := w.relay(from, r.Key, address)
		if err != nil {
			return r
		}
		m["address"] = relay
		r.Value, _ = json.Marshal(m)
		return r
	}
}

func (w *world) relay(from, to, target string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := [2]string{from, to}
	if w.relays[link] == nil {
		r, err := faults.NewRelay(target)
		if err != nil {
			return "", err
		}
		w.relays[link] = r
	}
	return w.relays[link].Address(), nil
}

// cut cuts a node off from all other nodes and from the store, or ends that.
func (w *world) cut(n *node, on bool) {
	w.record.line("%s cut off: %t", n.Name, on)
	n.proxy.Drop(on, on)
	w.cutPeers(n, on)
}

// cutPeers cuts a node off from all other nodes, or ends that.
func (w *world) cutPeers(n *node, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for link, r := range w.relays {
		if link[0] == n.Name || link[1] == n.Name {
			r.Drop(on, on)
		}
	}
}

// cutOneWay drops what all other nodes send to a node, or what it sends to them, or ends that.
func (w *world) cutOneWay(n *node, toNode, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for link, r := range w.relays {
		switch {
		case link[1] == n.Name:
			r.Drop(on && toNode, on && !toNode)
		case link[0] == n.Name:
			r.Drop(on && !toNode, on && toNode)
		}
	}
}

// stepOf returns the step that a task belongs to.
func (w *world) stepOf(task string) step {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := strings.Split(task, ".")
	n, _ := strconv.Atoi(fields[2])
	return w.steps[fields[0]][n]
}

// before returns the names of the tasks that a task depends on.
func (w *world) before(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := strings.Split(task, ".")
	steps := w.steps[fields[0]]
	n, _ := strconv.Atoi(fields[2])
	var tasks []string
	for _, d := range steps[n].DependsOn {
		for i := range steps[d].Count {
			tasks = append(tasks, fmt.Sprintf("%s.%s.%d.%d", fields[0], fields[1], d, i))
		}
	}
	return tasks
}

// isStored reports whether a task's job must be stored.
func (w *world) isStored(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return w.stored[id]
}

// lateOrders sets the share of orders that get no answer and are carried out 2 to 12 s later.
func (w *world) lateOrders(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = share
}

// isLate draws whether an order is carried out late.
func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.late
}

func (w *world) setLateWrites(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateWrites = share
}

// isLateWrite draws whether a write is done late.
func (w *world) isLateWrite() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.lateWrites
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT, true)
		n.signal(syscall.SIGKILL, true)
		<-n.done
		n.proxy.Close()
		_ = n.log.Close()
	}
	for _, r := range w.runners {
		_ = r.server.Close()
	}
	for _, r := range w.relays {
		r.Close()
	}
	w.store.Close()
	w.record.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// step is a step of a job.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"memMb"`
	EstimateMs int    `json:"estimateMs"`
	DependsOn  []int  `json:"dependsOn,omitempty"`
	Requires   string `json:"requires,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
	Times      int    `json:"times,omitempty"`
	StartAtMs  int64  `json:"startAtMs,omitempty"`
	IntervalMs int    `json:"intervalMs,omitempty"`
}

// newID returns a new id and notes the job's steps.
func (w *world) newID(j jobBody) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+w.lastID*0x9e3779b97f4a7c15)
	w.steps[id], w.stored[id] = j.Steps, !j.BestEffort
	return id
}

// answer is what a client gets; status 0 is no answer.
type answer struct {
	status int
	body   map[string]any
}

// call sends one request to a node and records it.
func (w *world) call(n *node, method, id string, body any, wait time.Duration) answer {
	return w.callAt(n, method, prefix+id, body, wait)
}

// callAt sends one request for a path to a node and records it.
func (w *world) callAt(n *node, method, path string, body any, wait time.Duration) answer {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+n.CallerAddress+path, bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	q.Host = host
	q.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: w.http.Transport, Timeout: wait}
	sent := time.Now()
	res, err := client.Do(q)
	if err != nil {
		w.record.line("%s %s to %s: no answer after %.3f s", method, path, n.Name, time.Since(sent).Seconds())
		return answer{}
	}
	defer res.Body.Close()
	a := answer{status: res.StatusCode}
	_ = json.NewDecoder(res.Body).Decode(&a.body)
	w.record.line("%s %s to %s: %d %v after %.3f s", method, path, n.Name, a.status, a.body, time.Since(sent).Seconds())
	return a
}

// submit hands a stored job in, again after no answer, a 502, a 503 or a 504, and reports whether it was accepted.
func (w *world) submit(nodes []*node, first int, id string, j jobBody, limit time.Duration) bool {
	for i, end := first, time.Now().Add(limit); time.Now().Before(end); i++ {
		if a := w.call(nodes[i%len(nodes)], http.MethodPost, id, j, 1500*time.Millisecond); a.status/100 == 2 {
			return true
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}
