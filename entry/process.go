package entry

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/peer"
)

// Time is a time on the process's monotonic clock.
type Time = task.Time

const (
	// pendingInterval is how often the counts of waiting jobs are copied from the node
	// for Pending. The counts of other leaders come to the node with their heartbeats.
	// What Pending returns may be up to two seconds old.
	pendingInterval = 200 * time.Millisecond
	// gaugeInterval is how often gauges are updated.
	gaugeInterval = time.Second
	// configurationTimeout is how long requests wait for the first configuration. A
	// process accepts connections some 20 ms before it has read the configuration.
	configurationTimeout = 300 * time.Millisecond
	// defaultInboxBytes is Config.InboxBytes if that is 0.
	defaultInboxBytes = 64 << 20
	// eventQueueSize bounds the events that wait for the loop, see post.
	eventQueueSize = 8192
)

// Process is an entry process.
type Process struct {
	cfg      Config
	log      zerolog.Logger
	runners  Runners
	store    Store
	identity *peer.Identity
	mesh     *peer.Mesh
	clock    *clock
	metrics  *metrics
	events   chan func()
	calls    *workers
	// ended is closed when the loop has returned.
	ended chan struct{}

	// maxRunnersSeen is the length of the longest list of runners read before the
	// layout was known, and maxRunnersSeenAt is when it was read. Only the goroutine
	// of watchRunners uses them.
	maxRunnersSeen   int
	maxRunnersSeenAt time.Time

	// self is this process's registration. Only the goroutine of watchMembers uses it.
	self peer.Member

	// The fields below are used only by the loop.
	node     *fleet.Node
	replies  map[uint64]chan Reply
	queries  map[uint64]chan fleet.StateAnswer
	lastID   uint64
	gaugesAt Time
	// pendingAt is when the counts of waiting jobs were last published.
	pendingAt Time

	// The fields below are shared with other goroutines. Most are copies of the node's
	// state, which publish updates.
	ready       atomic.Bool
	layoutKnown atomic.Bool
	stopping    atomic.Bool
	// shouldPollRunners is set while this process reads the list of runners frequently,
	// see fleet.Node.ShouldPollRunners.
	shouldPollRunners atomic.Bool
	// receivesRunnerList is set while this process needn't read the list of runners,
	// since another one sends it, see fleet.Node.ReceivesRunnerList.
	receivesRunnerList atomic.Bool
	leads              atomic.Bool
	// readNow makes watchRunners read the list of runners at once, and unknownPeer makes
	// watchMembers read the members soon.
	readNow       chan struct{}
	unknownPeer   chan struct{}
	configuration atomic.Pointer[routing.Table]
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	pending    atomic.Pointer[pendingJobs]
	settings   *settingsMonitor
}

// New creates a process and opens its socket for peers. Run starts the rest.
func New(cfg Config, runners Runners, store Store, log zerolog.Logger) (*Process, error) {
	identity, err := peer.NewIdentity()
	if err != nil {
		return nil, err
	}
	c := newClock()
	p := &Process{
		cfg:      cfg,
		log:      log,
		runners:  runners,
		store:    store,
		identity: identity,
		clock:    c,
		metrics:  newMetrics(),
		events:   make(chan func(), eventQueueSize),
		calls:    newWorkers(),
		ended:    make(chan struct{}),
		node:     fleet.New(cfg.Schedule, cfg.Grace, cfg.MilliCPU, c.now()),
		replies:  make(map[uint64]chan Reply),
		queries:  make(map[uint64]chan fleet.StateAnswer),
		readNow:  make(chan struct{}, 1),

		unknownPeer: make(chan struct{}, 1),
		settings:    newSettingsMonitor(),

		configured: make(chan struct{}),
	}
	p.node.SetDomain(cfg.Domain)
	p.receivesRunnerList.Store(p.node.ReceivesRunnerList())
	p.configuration.Store(&routing.Table{})
	p.pending.Store(&pendingJobs{})
	p.mesh, err = peer.Listen(cfg.PeerAddress, identity, cmp.Or(cfg.InboxBytes, defaultInboxBytes), p, log)
	if err != nil {
		return nil, err
	}
	p.metrics.registry.MustRegister(newInboxWaits(p.mesh))
	return p, nil
}

// Run runs the process until the context ends or a planned stop is complete.
func (p *Process) Run(ctx context.Context) error {
	p.log.Info().Str("peers", p.mesh.Address()).Msg("process-started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { p.mesh.Run(ctx); return nil })
	group.Go(func() error { p.watchOperatorSettings(ctx); return nil })
	group.Go(func() error { p.watchLayout(ctx); return nil })
	group.Go(func() error { p.watchRunners(ctx); return nil })
	group.Go(func() error { p.watchCPUStarvation(ctx); return nil })
	group.Go(func() error { p.register(ctx); p.watchMembers(ctx); return nil })
	group.Go(func() error { defer cancel(); p.loop(ctx); return nil })
	err := group.Wait()
	p.log.Info().Msg("process-ended")
	return err
}

// post queues an event for the loop. It blocks while the queue is full, so the
// sources of events slow down and no event is lost. Events posted after the loop
// has ended are dropped.
func (p *Process) post(f func(now Time)) {
	select {
	case p.events <- func() { f(p.clock.now()) }:
	case <-p.ended:
	}
}

// loop passes events and ticks to the node and executes the node's commands. Only it uses
// the node. It ends with the context or when a planned stop is complete.
func (p *Process) loop(ctx context.Context) {
	defer close(p.ended)
	ticker := time.NewTicker(fleet.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// Schedulers may have started tasks of the jobs whose callers wait here.
			p.node.GiveUp(p.clock.now())
			p.execute(ctx)
			return
		case f := <-p.events:
			f()
		case <-ticker.C:
			p.clock.adjust()
			p.node.SetTimeOfDay(p.clock.now(), time.Now().UnixMilli())
			p.node.Tick(p.clock.now())
			p.settings.tick()
			p.publish()
		}
		p.execute(ctx)
		if p.node.StopComplete(p.clock.now()) {
			p.node.GiveUp(p.clock.now())
			p.execute(ctx)
			return
		}
	}
}

// execute carries out the commands that the node has issued.
func (p *Process) execute(ctx context.Context) {
	for _, c := range p.node.Ready() {
		switch c := c.(type) {
		case fleet.Send:
			p.send(c)
		case fleet.Connect:
			p.mesh.SetLinks(c.Links)
		case fleet.Disconnect:
			p.mesh.Disconnect(string(c.Peer))
		case fleet.Order:
			p.executeOrder(ctx, c)
		case fleet.ProbeStore:
			go p.probeStore(ctx)
		case fleet.ReadStoredJobs:
			go p.answerStoredJobsRead(ctx)
		case fleet.StoreCall:
			go p.callStore(ctx, c, string(p.node.Self()))
		case fleet.Answer:
			p.deliverReply(c.Reply)
		case fleet.StateAnswer:
			p.deliverState(c)
		case fleet.ReadRunners:
			p.requestRunnersRead()
		case fleet.Notice:
			p.logNotice(c)
		default:
			panic(fmt.Sprintf("unknown command %T", c))
		}
	}
}

// executeOrder sends an order to a runner, on a goroutine of its own.
func (p *Process) executeOrder(ctx context.Context, c fleet.Order) {
	switch o := c.Order.(type) {
	case schedule.Start:
		p.calls.run(func() { p.startTask(ctx, c.Shard, o) })
	case schedule.Stop:
		p.calls.run(func() { p.stopTask(ctx, c.Shard, o) })
	case schedule.Hold:
		p.calls.run(func() { p.holdRunner(ctx, c.Shard, o) })
	default:
		panic(fmt.Sprintf("unknown order %T", o))
	}
}

// send queues a message for another process. A message to a process without a connection
// is dropped and counted.
func (p *Process) send(c fleet.Send) {
	m := encode(c.Message)
	if !p.mesh.Send(string(c.To), m) {
		p.metrics.droppedMessages.Inc()
		return
	}
	p.metrics.messages.WithLabelValues("sent", kindOf(m)).Inc()
}

// logNotice logs an event of the node.
func (p *Process) logNotice(n fleet.Notice) {
	e := p.log.Info()
	if n.Warning {
		e = p.log.Warn()
	}
	for _, f := range n.Fields {
		e = e.Interface(f.Key, f.Value)
	}
	e.Msg(n.Event)
}

// publish copies the node's state to the fields that other goroutines read.
func (p *Process) publish() {
	p.ready.Store(p.node.Serves())
	p.layoutKnown.Store(p.node.LayoutKnown())
	now := p.clock.now()
	p.shouldPollRunners.Store(p.node.ShouldPollRunners())
	p.receivesRunnerList.Store(p.node.ReceivesRunnerList())
	p.leads.Store(p.node.Leads())
	if now-p.pendingAt >= pendingInterval || !p.pending.Load().known {
		p.pendingAt = now
		queues, known := p.node.Pending(now)
		p.pending.Store(&pendingJobs{queues: queues, known: known})
	}
	p.publishConfiguration()
	if now-p.gaugesAt >= gaugeInterval {
		p.gaugesAt = now
		p.metrics.update(p.node)
		p.metrics.scheduledBytes.Set(float64(p.cfg.Schedule.Memory.Used()))
		if age, known := p.settings.age(now); known {
			p.metrics.settingsAge.Set(age.Seconds())
		}
	}
}

// publishConfiguration copies the configuration in force for other goroutines, if it has changed.
func (p *Process) publishConfiguration() {
	if p.configuration.Load().Version() == p.node.ConfigVersion() {
		return
	}
	first := p.configuration.Load().Current() == nil
	table := p.node.Table()
	p.configuration.Store(&table)
	if first {
		close(p.configured)
	}
}

// Stop begins a planned stop: other processes take over the shards that this one
// leads, and it answers its callers until the grace period is nearly over.
func (p *Process) Stop() {
	p.stopping.Store(true)
	p.ready.Store(false)
	p.post(func(now Time) { p.node.Stop(now) })
}

// Ready reports whether this process accepts new callers.
func (p *Process) Ready() bool { return p.ready.Load() }

// Stopping reports whether a planned stop has begun.
func (p *Process) Stopping() bool { return p.stopping.Load() }

// Configuration returns the configuration in force; it is empty before the first one.
func (p *Process) Configuration() *routing.Table { return p.configuration.Load() }

// AwaitConfiguration returns the configuration in force. It waits up to
// configurationTimeout for the first one, and awaits a confirmation by the store if the last
// one is old.
func (p *Process) AwaitConfiguration(ctx context.Context) *routing.Table {
	if p.Configuration().Current() != nil {
		p.awaitCurrentSettings(ctx)
		return p.Configuration()
	}
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	select {
	case <-p.configured:
	case <-ctx.Done():
	}
	return p.Configuration()
}

// pendingJobs are the published counts of waiting jobs, see fleet.Node.Pending.
type pendingJobs struct {
	queues map[string]int
	known  bool
}

// Pending returns the number of jobs of a queue of which no task has begun. known is false if this process
// doesn't know it, see fleet.Node.Pending.
func (p *Process) Pending(queue string) (count int, known bool) {
	pending := p.pending.Load()
	return pending.queues[queue], pending.known
}

// PeerUp implements peer.Handler.
func (p *Process) PeerUp(id string) {
	p.post(func(now Time) { p.node.PeerUp(now, leader.ID(id)) })
}

// PeerDown implements peer.Handler.
func (p *Process) PeerDown(id string, stopping bool, _ error) {
	p.post(func(now Time) { p.node.PeerDown(now, leader.ID(id), stopping) })
}

// UnknownPeer implements peer.Handler.
func (p *Process) UnknownPeer() {
	p.metrics.unknownPeers.Inc()
	select {
	case p.unknownPeer <- struct{}{}:
	default:
		// A signal is already pending and covers this one.
	}
}

// PeerMessage implements peer.Handler.
func (p *Process) PeerMessage(id string, m *pb.FleetMessage, handled func()) {
	p.metrics.messages.WithLabelValues("received", kindOf(m)).Inc()
	p.post(func(now Time) {
		defer handled()
		p.node.Receive(now, leader.ID(id), decode(m))
	})
}
