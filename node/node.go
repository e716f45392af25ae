// Package node runs a dispatch core: it owns the sockets and timers of an entry
// process, converts requests and messages to events and executes the core's commands.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	inputQueueLength = 8192
	// maxBatch bounds the queued events handled before commands are executed.
	maxBatch = 256
	// minShutdownTimeout is the minimum time that responses in progress may take at
	// a planned stop. A longer contracted response time extends it.
	minShutdownTimeout = 10 * time.Second
)

// input is an event for the core, or a function to be called with it.
type input struct {
	event dispatch.Event
	call  func(*dispatch.Core)
}

// Node is one entry process.
type Node struct {
	cfg     Config
	log     zerolog.Logger
	self    task.Incarnation
	started time.Time
	core    *dispatch.Core
	inputs  chan input
	// stopped is closed when the loop has ended, and drained when a planned stop has no
	// work left in progress.
	stopped chan struct{}
	drained chan struct{}

	// currentSettings is replaced as a whole and never modified.
	// cpuTimeAtTick is the processor time that the process had used at the last tick.
	cpuTimeAtTick time.Duration
	// resumedAt is when the last pause ended. clockStopped: the core's clock stands still since.
	resumedAt    task.Time
	clockStopped bool

	currentSettings atomic.Pointer[settings.State]
	ready           atomic.Bool

	callers   *callerService
	platform  *platformClient
	upstreams *upstreamClient
	mesh      *mesh
	metrics   *metrics

	callerListener   *listener
	operatorListener *listener
	requests         *requests
}

// New creates a node and opens its sockets.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	self := task.Incarnation{Node: cfg.Name, Run: rand.Uint64()}
	n := &Node{
		cfg:     cfg,
		self:    self,
		started: time.Now(),
		core:    dispatch.New(dispatch.DefaultConfig(self, cfg.FailureDomain)),
		inputs:  make(chan input, inputQueueLength),
		stopped: make(chan struct{}),
		drained: make(chan struct{}),
	}
	n.log = cfg.Log.With().Stringer("incarnation", self).Str("failure_domain", cfg.FailureDomain).Logger()
	n.currentSettings.Store(settings.NewState())
	n.metrics = newMetrics(n)
	n.requests = newRequests(cfg, n.log, n.metrics)
	n.callers = newCallerService(n)
	n.platform = newPlatformClient(n)
	n.upstreams = newUpstreamClient(n)
	return n, n.listen()
}

// listen opens the sockets for callers, operators and peers.
func (n *Node) listen() error {
	var err error
	n.callerListener, err = n.listenTCP("callers", n.cfg.CallerAddress, n.cfg.MaxCallerConnections, n.cfg.CallerTLS)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.operatorListener, err = n.listenTCP("operators", n.cfg.OperatorAddress, n.cfg.MaxOperatorConnections, n.cfg.OperatorTLS)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	n.mesh, err = newMesh(n)
	return err
}

// CallerAddress is the address that the node listens on for callers.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// OperatorAddress is the address that the node listens on for operators.
func (n *Node) OperatorAddress() string { return n.operatorListener.Addr().String() }

// PeerAddress is the address that the node listens on for peers.
func (n *Node) PeerAddress() string { return n.mesh.address() }

// SettingsVersion is the version of the settings in force, 0 if there are none.
func (n *Node) SettingsVersion() uint64 { return n.currentSettings.Load().Version() }

// Incarnation identifies this run of the process.
func (n *Node) Incarnation() task.Incarnation { return n.self }

// Run serves until the context ends or a planned stop is complete. It closes the sockets
// before it returns.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.Info().Str("callers", n.CallerAddress()).Str("operators", n.OperatorAddress()).Str("peers", n.PeerAddress()).Msg("started")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.loop(ctx) })
	group.Go(func() error { return n.platform.poll(ctx) })
	group.Go(func() error { return n.mesh.run(ctx) })
	callerServer := n.callerListener.newServer(n.callerHandler())
	operatorServer := n.operatorListener.newServer(n.operatorHandler())
	group.Go(func() error { return serve(callerServer, n.callerListener) })
	group.Go(func() error { return serve(operatorServer, n.operatorListener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.drained:
		}
		n.shutdown(callerServer, operatorServer)
		cancel()
		return nil
	})
	err := group.Wait()
	n.log.Info().Err(err).Msg("stopped")
	return err
}

// shutdown waits until responses in progress are written, for at most the longest contracted
// response time, after which callers have given up, and for at least minShutdownTimeout.
// Without a timeout, a caller that doesn't read its response would prevent the process from
// stopping.
func (n *Node) shutdown(servers ...*http.Server) {
	timeout := minShutdownTimeout
	for _, inst := range n.currentSettings.Load().Current().GetInstitutions() {
		timeout = max(timeout, time.Duration(inst.GetResponseTimeMs())*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// Drain begins a planned stop: Run returns when no work is in progress.
func (n *Node) Drain() {
	n.post(dispatch.Drain{})
}

// serve serves until the server is shut down.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// elapsed returns the monotonic time since the node was created.
func (n *Node) elapsed() task.Time {
	return time.Since(n.started)
}

// post queues an event for the loop. The event is dropped if the loop has ended.
func (n *Node) post(e dispatch.Event) {
	select {
	case n.inputs <- input{event: e}:
	case <-n.stopped:
	}
}

// call runs f with the core in the loop and waits for it. It returns false if the loop
// has ended.
func (n *Node) call(f func(*dispatch.Core)) bool {
	done := make(chan struct{})
	run := func(c *dispatch.Core) {
		f(c)
		close(done)
	}
	select {
	case n.inputs <- input{call: run}:
	case <-n.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-n.stopped:
		return false
	}
}

// loop handles inputs and timers; only it uses the core.
func (n *Node) loop(ctx context.Context) error {
	defer close(n.stopped)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		ticked := false
		select {
		case <-ctx.Done():
			return nil
		case in := <-n.inputs:
			n.handle(in)
			n.handleQueued()
		case <-wake.C:
			n.core.Tick(n.coreTime())
			ticked = true
		}
		n.execute(ctx, n.core.TakeCommands())
		if ticked {
			n.cpuTimeAtTick = n.cpuTime()
		}
		n.ready.Store(n.core.Ready())
		if at, ok := n.core.NextTimer(); ok {
			wake.Reset(n.untilTimer(at))
		}
	}
}

func (n *Node) handle(in input) {
	if in.call != nil {
		in.call(n.core)
		return
	}
	n.core.Step(n.coreTime(), in.event)
}

// handleQueued handles the inputs that are already queued, at most maxBatch.
func (n *Node) handleQueued() {
	for range maxBatch {
		select {
		case in := <-n.inputs:
			n.handle(in)
		default:
			return
		}
	}
}

// execute executes the core's commands. What may block runs in the background.
func (n *Node) execute(ctx context.Context, commands []dispatch.Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case dispatch.Reply:
			n.callers.reply(cmd)
		case dispatch.StartTask:
			n.upstreams.start(ctx, cmd)
		case dispatch.Settle:
			n.upstreams.settle(ctx, cmd)
		case dispatch.StopTask:
			n.upstreams.stop(ctx, cmd)
		case dispatch.ClaimWrite:
			n.platform.writeClaims(ctx, cmd)
		case dispatch.Send:
			n.mesh.send(cmd)
		case dispatch.JobEnded:
			n.jobEnded(cmd)
		case dispatch.SettingsInForce:
			n.settingsInForce(cmd)
		case dispatch.MembersInForce:
			n.membersInForce(cmd)
		case dispatch.UpstreamHealth:
			n.log.Info().Str("upstream", cmd.Upstream).Str("state", cmd.State).Float64("weight", cmd.Weight).Msg("upstream-health")
		case dispatch.ProcessPaused:
			n.processPaused(cmd)
		case dispatch.Drained:
			close(n.drained)
		}
	}
}

func (n *Node) jobEnded(e dispatch.JobEnded) {
	n.metrics.observeJob(e)
	level := zerolog.DebugLevel
	if e.Outcome == pb.Outcome_OUTCOME_FAILED {
		level = zerolog.InfoLevel
	}
	n.log.WithLevel(level).
		Stringer("submission", e.ID).
		Stringer("outcome", e.Outcome).
		Stringer("reason", e.Reason).
		Int("tasks", e.Tasks).
		Dur("response_ms", e.Response).
		Msg("job-ended")
}

// settingsInForce makes new settings visible to the other goroutines.
func (n *Node) settingsInForce(s dispatch.SettingsInForce) {
	state := settings.NewState()
	state.Offer(s.Settings)
	n.currentSettings.Store(state)
	n.log.Info().Uint64("version", s.Settings.GetVersion()).Msg("settings-in-force")
}

// membersInForce passes a new list of members to the upstream client and the mesh.
func (n *Node) membersInForce(m dispatch.MembersInForce) {
	n.upstreams.setMembers(m.Members)
	n.mesh.setMembers(m.Members)
	n.log.Info().
		Uint64("version", m.Members.Version).
		Int("nodes", len(m.Members.Nodes)).
		Int("upstreams", len(m.Members.Upstreams)).
		Msg("members-in-force")
}

// Ready reports whether the node accepts new work and is connected with at least the
// given number of peers.
func (n *Node) Ready(peers int) bool {
	return n.ready.Load() && n.mesh.connected() >= peers
}
