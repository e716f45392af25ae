package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
	"sapphirepoint.example/sapphirepoint/standin/faults"
)

// node is an entry VM. Its process is restarted whenever it ends. It reaches the store through a proxy
// of its own. What the processes send each other can be cut where the scenario says so, see entryLinks.
type node struct {
	deployment.Node
	name         string
	log          *logBuffer
	storeProxy   *faults.Proxy
	disturbances *disturbances
	done         chan struct{}
	incarnation  atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// endPause and endStop end the disturbances by SIGSTOP, and by SIGKILL or SIGTERM; nil if there is none.
	endPause, endStop func()
}

// logBuffer collects the output of a node's processes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buf.Bytes())
}

// since returns what was written from an offset on, and the offset of what comes next.
func (l *logBuffer) since(offset int) ([]byte, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buf.Bytes()[offset:]), l.buf.Len()
}

// addNode writes a node's settings file and starts its process.
func (w *world) addNode(dir, name, domain string) error {
	d, err := deployment.NewNode(name, domain)
	if err != nil {
		return err
	}
	store, err := w.storeAddress(name, domain)
	if err != nil {
		return err
	}
	proxy, err := faults.NewProxy(store)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(d.Settings(proxy.Address(), graceS)), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	n := &node{
		Node: d, name: name, log: &logBuffer{}, storeProxy: proxy, disturbances: &w.configuration.disturbances,
		done: make(chan struct{}),
	}
	w.nodes = append(w.nodes, n)
	go w.restartForever(n, path)
	return nil
}

// restartForever starts a node's process again whenever it ends, as the platform does.
func (w *world) restartForever(n *node, settings string) {
	defer close(n.done)
	for {
		cmd := exec.Command(w.program, "--settings", settings)
		cmd.Stdout, cmd.Stderr = n.log, n.log
		n.mu.Lock()
		if w.isClosed() {
			// close may have sent SIGKILL to the process before this one.
			n.mu.Unlock()
			return
		}
		n.incarnation.Add(1)
		err := cmd.Start()
		n.cmd = cmd
		n.endDisturbances()
		n.mu.Unlock()
		if err != nil {
			w.checker.reportViolation("the soak test itself failed: %v", err)
			return
		}
		_ = cmd.Wait()
		select {
		case <-w.closed:
			return
		case <-time.After(restartDelay):
		}
	}
}

// signal sends a signal to the node's process. After SIGTERM it sends SIGKILL when the grace period
// is over.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	p := n.cmd.Process
	n.recordSignal(s)
	_ = p.Signal(s)
	if s == syscall.SIGTERM {
		time.AfterFunc(graceS*time.Second, func() { _ = p.Signal(syscall.SIGKILL) })
	}
}

// recordSignal records the disturbances that begin or end with a signal. The caller holds the lock.
func (n *node) recordSignal(s syscall.Signal) {
	switch {
	case s == syscall.SIGSTOP && n.endPause == nil:
		n.endPause = n.disturbances.beginPause(n.name)
	case s == syscall.SIGCONT && n.endPause != nil:
		n.endPause()
		n.endPause = nil
	case (s == syscall.SIGKILL || s == syscall.SIGTERM) && n.endStop == nil:
		n.endStop = n.disturbances.begin(n.name)
	}
}

// endDisturbances ends the disturbances by signals to an earlier process. The caller holds the lock.
func (n *node) endDisturbances() {
	if n.endPause != nil {
		n.endPause()
	}
	if n.endStop != nil {
		n.endStop()
	}
	n.endPause, n.endStop = nil, nil
}
