package crowds

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

var (
	enabled = flag.Bool("crowds", false, "run the tests of crowds, which need the machine to themselves")
	// daemonLimits is false for trials of programs that don't know the setting.
	daemonLimits = flag.Bool("crowds.daemon-limits", true, "set request_memory in the settings of sapphirepointd")
	logDir       = flag.String("crowds.logs", "", "directory for the logs of the processes")
)

const (
	host    = "labels.example"
	prefix  = "/spot/"
	service = "labels"

	// memoryMB and maxFDs are those of the smallest machine of the platform.
	memoryMB = 144
	maxFDs   = 3075
	// fewFDs is a lower limit of descriptors, which a small crowd reaches.
	fewFDs = 512
	// fileFDs is the number of descriptors that are reserved for files. Sockets and pipes share the others.
	fileFDs = 200

	headBytes = 16384
	bodyBytes = 262144

	runnerCount = 6
	targetMs    = 20_000

	// testTimeout bounds conditions that take a moment on a busy machine.
	testTimeout   = 60 * time.Second
	sampleEvery   = 50 * time.Millisecond
	bytesPerMB    = 1_000_000
	bytesPerKiB   = 1024
	stateListen   = "0A"
	graceSeconds  = 6
	startAttempts = 5
)

// machine holds what a process may use.
type machine struct{ memoryMB, maxFDs int }

var smallest = machine{memoryMB, maxFDs}

// limits are the operator's limits on callers.
type limits struct {
	headBytes, bodyBytes           int
	headerTimeoutMs, idleTimeoutMs int
}

var usualLimits = limits{headBytes, bodyBytes, 3000, 15000}

// world is a deployment of real processes with a simulated platform.
type world struct {
	t       *testing.T
	machine machine
	program string
	store   *deployment.Store
	runners []*deployment.Runner
	nodes   []*node
	version int
}

// node is an entry VM with its process.
type node struct {
	deployment.Node
	name string
	cmd  *exec.Cmd
	log  logBuffer
	done chan struct{}
	// stopping is set when the test has ended the process.
	stopping bool

	mu sync.Mutex
	// peakMemory is the largest resident size, peakUnread the most bytes received and not read, and peakFDs the
	// most sockets and pipes, of any sample.
	peakMemory, peakUnread, peakFDs int
}

type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// maxLogBytes bounds what is kept of a process's log.
const maxLogBytes = 64 << 20

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() < maxLogBytes {
		l.buf.Write(p)
	}
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// programs builds the programs once for all tests.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "sapphirepoint-crowds")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "sapphirepoint.example/sapphirepoint/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if dir, err := programs(); *enabled && err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// newWorld starts entry processes on machines of the given size, and waits until they are ready.
func newWorld(t *testing.T, m machine, processes int) *world {
	t.Helper()
	return newWorldWithRunners(t, m, processes, runnerCount)
}

func newWorldWithRunners(t *testing.T, m machine, processes, runners int) *world {
	t.Helper()
	if !*enabled {
		t.Skip("needs the machine to itself: run with -crowds")
	}
	g := NewWithT(t)
	dir, err := programs()
	g.Expect(err).NotTo(HaveOccurred())
	store, err := deployment.NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	w := &world{t: t, machine: m, program: filepath.Join(dir, "sapphirepoint-entry"), store: store}
	for i := range runners {
		r, err := deployment.NewRunner(store, fmt.Sprintf("i-%d", i), service, "a")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(r.Close)
		w.runners = append(w.runners, r)
	}
	w.configure(usualLimits)
	for i := range processes {
		w.startNode(fmt.Sprintf("front-%d", i+1))
	}
	for _, n := range w.nodes {
		g.Eventually(func() int { return get(n.HealthAddress, "/ready") }, testTimeout, sampleEvery).Should(Equal(200), "%s isn't ready", n.name)
	}
	return w
}

// configure has the operator declare limits in a new version of the configuration.
func (w *world) configure(l limits) {
	w.t.Helper()
	w.version++
	d := deployment.Declaration(w.version, host, prefix, "spot", service, targetMs)
	d["limits"] = map[string]any{
		"maxHeaderBytes": l.headBytes, "maxBodyBytes": l.bodyBytes,
		"headerTimeoutMs": l.headerTimeoutMs, "idleTimeoutMs": l.idleTimeoutMs,
	}
	NewWithT(w.t).Expect(w.store.Put("op", "config", d)).To(Succeed())
}

// startNode starts a process with the descriptors of its machine. A port may be taken between its choice and its use.
func (w *world) startNode(name string) *node {
	w.t.Helper()
	for range startAttempts {
		n := w.launch(name)
		if n.listens() {
			w.nodes = append(w.nodes, n)
			return n
		}
	}
	w.t.Fatalf("%s doesn't start", name)
	return nil
}

func (w *world) launch(name string) *node {
	w.t.Helper()
	g := NewWithT(w.t)
	d, err := deployment.NewNode(name, "a")
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(w.t.TempDir(), name+".toml")
	text := d.Settings(w.store.Address(), graceSeconds) +
		fmt.Sprintf("\n[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = %d\n", w.machine.memoryMB, w.machine.maxFDs)
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	n := &node{Node: d, name: name, done: make(chan struct{})}
	n.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s --settings %s", w.machine.maxFDs, w.program, path))
	w.run(n)
	return n
}

// run starts a node's process, which is killed at the end of the test.
func (w *world) run(n *node) {
	w.t.Helper()
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	NewWithT(w.t).Expect(n.cmd.Start()).To(Succeed())
	go func() {
		_ = n.cmd.Wait()
		close(n.done)
	}()
	go n.watch()
	w.t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.done
		n.saveLog(w.t)
	})
}

func (n *node) saveLog(t *testing.T) {
	if *logDir == "" {
		return
	}
	name := strings.ReplaceAll(t.Name(), "/", "_") + "-" + n.name + ".log"
	if err := os.WriteFile(filepath.Join(*logDir, name), []byte(n.log.String()), 0o600); err != nil {
		t.Log(err)
	}
}

// listens waits until the process answers on its health address; it returns false if it has ended.
func (n *node) listens() bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.ended() {
			return false
		}
		if get(n.HealthAddress, "/ready") != 0 {
			return true
		}
	}
	return false
}

func (n *node) ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// watch samples what the process uses until it ends.
func (n *node) watch() {
	ports := portsOf(n.CallerAddress, n.HealthAddress)
	for !n.ended() {
		memory, fds, unread := residentBytes(n.cmd.Process.Pid), socketsAndPipes(n.cmd.Process.Pid), unreadBytes(ports)
		n.mu.Lock()
		n.peakMemory = max(n.peakMemory, memory)
		n.peakFDs = max(n.peakFDs, fds)
		n.peakUnread = max(n.peakUnread, unread)
		n.mu.Unlock()
		time.Sleep(sampleEvery)
	}
}

// expectWithinMachine checks that the process lives, and what it has used so far.
func (w *world) expectWithinMachine(n *node) {
	w.t.Helper()
	g := NewWithT(w.t)
	n.mu.Lock()
	memory, unread, fds := n.peakMemory, n.peakUnread, n.peakFDs
	n.mu.Unlock()
	w.t.Logf("%s: %.1f MB resident, %.1f MB unread, %d sockets and pipes", n.name,
		float64(memory)/bytesPerMB, float64(unread)/bytesPerMB, fds)
	if !n.stopping && n.ended() {
		w.t.Errorf("%s has ended:\n%s", n.name, tail(n.log.String()))
	}
	g.Expect(n.log.String()).NotTo(ContainSubstring("panic"), "%s: a request has failed in the process", n.name)
	if used := memory + unread; used > w.machine.memoryMB*bytesPerMB {
		w.t.Errorf("%s: %.1f MB resident and unread, over the machine's %d MB", n.name, float64(used)/bytesPerMB, w.machine.memoryMB)
	}
	g.Expect(fds).To(BeNumerically("<=", w.machine.maxFDs-fileFDs), "%s: sockets and pipes", n.name)
}

// tail returns the last part of a log.
func tail(s string) string {
	const length = 2000
	return s[max(0, len(s)-length):]
}

// residentBytes returns the peak of a process's resident memory; 0 if it has ended.
func residentBytes(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib * bytesPerKiB
		}
	}
	return 0
}

// socketsAndPipes counts a process's descriptors of sockets and pipes.
func socketsAndPipes(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	count := 0
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// unreadBytes returns the bytes that connections to ports have received and that weren't read, also of connections
// that wait to be accepted.
func unreadBytes(ports map[string]bool) int {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		if !ports[port] {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		sum += int(bytes)
	}
	return sum
}

// portsOf returns the ports of addresses in the form of /proc/net/tcp.
func portsOf(addresses ...string) map[string]bool {
	ports := make(map[string]bool)
	for _, a := range addresses {
		_, port, _ := strings.Cut(a, ":")
		n, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", n)] = true
	}
	return ports
}

// stop begins a planned stop of a process.
func (n *node) stop() {
	n.stopping = true
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
}

// leader returns the process that leads.
func (w *world) leader() *node {
	w.t.Helper()
	var found *node
	NewWithT(w.t).Eventually(func() bool {
		found = nil
		for _, n := range w.nodes {
			if !n.stopping && strings.Contains(body(n.HealthAddress, "/dump"), `"leading":true`) {
				found = n
			}
		}
		return found != nil
	}, testTimeout, sampleEvery).Should(BeTrue(), "no process leads")
	return cmp.Or(found, w.nodes[0])
}
