//go:build review3

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// The sizes of a small deployment (SYSTEM.md), and its bounds.
const (
	serviceName = "labelworks"
	hostName    = "labels.example"
	prefix      = "/spot/"
	queueName   = "r-spot"
	nodeCount   = 6
	runnerCount = 48
	heartbeat   = 1500 * time.Millisecond
	maxAttempts = 4
	graceS      = 6
	restartTime = 500 * time.Millisecond
)

var zones = []string{"loughborough", "melton", "hinckley"}

// node is an entry VM; its process is started again whenever it ends.
type node struct {
	deployment.Node
	mu       sync.Mutex
	process  *os.Process
	ended    int
	closed   bool
	finished chan struct{}
}

type world struct {
	rec     *record
	dir     string
	program string
	store   *store
	runners []*runner
	nodes   []*node
	stop    chan struct{}
	wg      sync.WaitGroup
	runs    *runLog
	// work is what the tasks of each job do, by its id.
	work sync.Map
}

func newWorld(rec *record, dir, program string, runners int) (*world, error) {
	s, err := newStore(rec)
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, program: program, store: s, stop: make(chan struct{}), runs: newRunLog(rec)}
	w.configure(5)
	for i := range runners {
		if err := w.startRunner(i); err != nil {
			return nil, err
		}
	}
	for i := range nodeCount {
		n, err := w.startNode(i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// configure writes the operator's configuration.
func (w *world) configure(version int) {
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": queueName, "host": hostName, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": serviceName, "maxAttempts": maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (w *world) startRunner(i int) error {
	r, err := w.newRunner(i)
	if err != nil {
		return err
	}
	w.runners = append(w.runners, r)
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		for seq := 1; !r.isGone(); seq++ {
			w.store.put("servers", r.id, r.entry(seq))
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

func (r *runner) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// setWork says what the tasks of a job do.
func (w *world) setWork(job string, k work) { w.work.Store(job, k) }

func (w *world) workOf(task string) (work, bool) {
	k, ok := w.work.Load(jobOf(task))
	if !ok {
		return work{time: time.Millisecond}, false
	}
	return k.(work), true
}

const settingsTail = `
role = "entry"
machineClass = "front"
serves = ["front"]
region = "east-mids"
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
[zones]
loughborough = "east-mids"
melton = "east-mids"
hinckley = "east-mids"
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
`

// machine replaces the machine of the small site by a larger one of the grown site, where a case asks for it.
func machine(settings string) string {
	if os.Getenv("PLAIN") == "" {
		return settings
	}
	return strings.NewReplacer("cpuShare = 0.4", "cpuShare = 0.8", "memoryMb = 284", "memoryMb = 536", "linkMbps = 1000.0", "linkMbps = 200.0").Replace(settings)
}

func (w *world) settings(n *node) string {
	return fmt.Sprintf("nodeName = %q\nzone = %q\nip = \"127.0.0.1\"\nportRange = [%d,%d]\n", n.Name, n.Domain, n.PeerPort, n.PeerPort) +
		machine(settingsTail) +
		fmt.Sprintf("[listen]\nfront = %q\nready = %q\n", n.CallerAddress, n.HealthAddress) +
		fmt.Sprintf("[platform]\naddress = %q\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\ntxnMs = 3.0\npartitionWritesS = 300\nrowBytes = 65536\ncrossShard = true\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n", w.store.address())
}

func (w *world) startNode(i int) (*node, error) {
	zone := zones[i%len(zones)]
	d, err := deployment.NewNode(fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone)
	if err != nil {
		return nil, err
	}
	n := &node{Node: d, finished: make(chan struct{})}
	path := filepath.Join(w.dir, n.Name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(n)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, n.Name+".log"))
	if err != nil {
		return nil, err
	}
	go w.keepRunning(n, path, log)
	return n, nil
}

func (w *world) keepRunning(n *node, settings string, log *os.File) {
	defer close(n.finished)
	for {
		cmd := exec.Command(w.program)
		cmd.Env = []string{"SAPPHIREPOINT_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err != nil {
			n.mu.Unlock()
			w.rec.logf("can't start %s: %v", n.Name, err)
			return
		}
		n.process = cmd.Process
		n.mu.Unlock()
		err = cmd.Wait()
		n.mu.Lock()
		n.process = nil
		closed := n.closed
		n.ended++
		n.mu.Unlock()
		if closed {
			return
		}
		w.rec.logf("process of %s ended: %v", n.Name, err)
		time.Sleep(restartTime)
	}
}

// signal sends a signal to the node's process.
func (w *world) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		w.rec.logf("signal %v to %s", s, n.Name)
		_ = n.process.Signal(s)
	}
}

func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.mu.Lock()
		n.closed = true
		if n.process != nil {
			_ = n.process.Kill()
		}
		n.mu.Unlock()
		<-n.finished
	}
	w.wg.Wait()
	for _, r := range w.runners {
		r.crash()
	}
}
