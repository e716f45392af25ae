package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

const (
	// tickInterval bounds how late a timeout is noticed. The shortest is that
	// of a stop, 70 ms.
	tickInterval = 20 * time.Millisecond
	// gaugeInterval is how often gauges are brought up to date.
	gaugeInterval = time.Second
	// eventQueue bounds the events that wait for the loop.
	eventQueue = 8192
)

// Process is one entry process.
type Process struct {
	cfg      Config
	log      zerolog.Logger
	runners  Runners
	store    Store
	identity *peer.Identity
	mesh     *peer.Mesh
	clock    *clock
	events   chan func()
	// ended is closed when a planned stop is over.
	ended   chan struct{}
	metrics *metrics

	// What follows belongs to the loop.
	self       peer.Member
	table      routing.Table
	view       *leader.View
	choice     leader.Choice
	gateway    *gateway.Gateway
	schedule   *schedule.Scheduler
	sent       map[leader.ID]Time
	linked     map[leader.ID]bool
	replies    map[uint64]chan Reply
	queries    map[uint64]chan JobState
	nextID     uint64
	lastTick   Time
	runnerList RunnerList
	// dropped are runners that have left the list of late.
	dropped      []droppedRunner
	runnersAt    Time
	runnersStale bool
	peerStale    bool
	pending      map[string]int
	stopAt       Time
	lastArrival  Time
	gaugesAt     Time

	// What follows is read by others.
	ready      atomic.Bool
	stopping   atomic.Bool
	readFast   atomic.Bool
	readNow    chan struct{}
	declared   atomic.Pointer[routing.Table]
	pendingNow atomic.Pointer[map[string]int]
}

// New opens the socket for peers; Run does the rest.
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
		events:   make(chan func(), eventQueue),
		ended:    make(chan struct{}),
		metrics:  newMetrics(),
		view:     leader.NewView("", c.now()),
		gateway:  gateway.New(),
		schedule: schedule.New(cfg.Schedule),
		sent:     make(map[leader.ID]Time),
		linked:   make(map[leader.ID]bool),
		replies:  make(map[uint64]chan Reply),
		queries:  make(map[uint64]chan JobState),
		readNow:  make(chan struct{}, 1),
	}
	p.declared.Store(&routing.Table{})
	p.pendingNow.Store(&map[string]int{})
	p.mesh, err = peer.Listen(cfg.PeerAddress, identity, p, log)
	return p, err
}

// Run works until the context ends or a planned stop is over.
func (p *Process) Run(ctx context.Context) error {
	p.log.Info().Str("node", p.cfg.Node).Str("peers", p.mesh.Address()).Msg("process-started")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { p.mesh.Run(ctx); return nil })
	group.Go(func() error { p.watchDeclarations(ctx); return nil })
	group.Go(func() error { p.watchRunners(ctx); return nil })
	group.Go(func() error { p.register(ctx); p.watchMembers(ctx); return nil })
	group.Go(func() error { defer cancel(); return p.loop(ctx) })
	err := group.Wait()
	p.log.Info().Str("node", p.cfg.Node).Msg("process-ended")
	return err
}

// post hands an event to the loop. It waits while the queue is full: whoever
// brings events then slows down, and nothing is lost.
func (p *Process) post(f func()) { p.events <- f }

func (p *Process) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.lastTick = p.clock.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-p.events:
			f()
		case <-ticker.C:
			p.tick(ctx)
			if p.stopped() {
				p.gateway.GiveUp(p.clock.now(), "the process ends")
				p.drive(ctx)
				close(p.ended)
				return nil
			}
		}
		p.drive(ctx)
	}
}

func (p *Process) tick(ctx context.Context) {
	p.clock.adjust()
	now := p.clock.now()
	if pause := now - p.lastTick; pause > leader.StallLimit {
		p.log.Warn().Dur("pause", pause).Bool("leading", p.schedule.Leading()).Msg("process-stalled")
		p.stalled(now)
	}
	p.lastTick = now
	for _, id := range p.view.Silent(now) {
		p.peerLost(now, id, false)
	}
	p.follow(now)
	p.gateway.Tick(now)
	p.schedule.Tick(now)
	p.checkRunners(now)
	p.publish(now)
	p.heartbeats(now)
}

// stalled gives up the lead: another process has taken the runners meanwhile,
// and what this one believes to have lapsed may have been taken over.
func (p *Process) stalled(now Time) {
	p.view.Stalled(now, p.schedule.Leading())
	p.schedule.Retire(now)
	p.choice = leader.Choice{}
	p.gateway.Follow(now, p.choice, p.schedule.Term())
}

// follow acts on a change of the process that leads.
func (p *Process) follow(now Time) {
	c := p.view.Choose(now, p.schedule.Leading())
	if c == p.choice {
		return
	}
	p.log.Info().Str("leader", string(c.Leader)).Str("before", string(p.choice.Leader)).
		Bool("reachable", c.Reachable).Uint64("term", p.schedule.Term()).Msg("leader-changed")
	term := p.schedule.Term()
	if p.choice.Leader != p.view.Self() {
		term = p.view.Report(p.choice.Leader).Term
	}
	p.choice = c
	leads := c.Reachable && c.Leader == p.view.Self()
	if !leads {
		p.schedule.Retire(now)
	}
	if leads {
		p.askForRunners()
		p.schedule.Lead(now)
	}
	if c.Reachable && p.gateway.InHand() > 0 {
		p.handOver(now, c.Leader)
	}
	p.gateway.Follow(now, c, term)
	p.sendHeartbeats(now)
}

// handOver tells the next scheduler where the one before may have started the
// jobs that this process is about to hand in again.
func (p *Process) handOver(now Time, to leader.ID) {
	list := RunnerList{Revision: p.runnerList.Revision, Runners: slices.Clone(p.runnerList.Runners)}
	for _, d := range p.dropped {
		list.Runners = append(list.Runners, d.info)
	}
	if to == p.view.Self() {
		p.schedule.Suspect(now, list.Runners)
		return
	}
	p.send(to, runnersMessage(list, true))
}

// drive carries out what the cores command, until they command nothing more.
func (p *Process) drive(ctx context.Context) {
	for {
		commands := p.gateway.Ready()
		orders := p.schedule.Ready()
		if len(commands) == 0 && len(orders) == 0 {
			return
		}
		for _, c := range commands {
			p.gatewayCommand(c)
		}
		for _, c := range orders {
			p.scheduleCommand(ctx, c)
		}
	}
}

func (p *Process) gatewayCommand(c gateway.Command) {
	now := p.clock.now()
	switch c := c.(type) {
	case gateway.HandIn:
		if c.To == p.view.Self() {
			p.submit(now, schedule.EntryID(c.To), c)
			return
		}
		p.send(c.To, handInMessage(c))
	case gateway.Drop:
		if c.To == p.view.Self() {
			p.schedule.Abandon(now, schedule.EntryID(c.To), c.Job)
			return
		}
		p.send(c.To, dropMessage(c))
	case gateway.Reply:
		p.reply(c)
	default:
		panic(fmt.Sprintf("unknown command %T", c))
	}
}

func (p *Process) submit(now Time, from schedule.EntryID, c gateway.HandIn) {
	p.schedule.Submit(now, schedule.Submission{
		Job:      c.Job,
		Entry:    from,
		Due:      c.Due,
		Patience: c.Patience,
		Handed:   c.Handed,
		Unknown:  c.Unknown,
		Term:     c.Term,
	})
}

func (p *Process) scheduleCommand(ctx context.Context, c schedule.Command) {
	switch c := c.(type) {
	case schedule.Start:
		go p.startTask(ctx, c)
	case schedule.Stop:
		go p.stopTask(ctx, c)
	case schedule.Hold:
		go p.holdRunner(ctx, c)
	case schedule.Answer:
		p.answer(c)
	case schedule.Decision:
		p.logDecision(c)
	default:
		panic(fmt.Sprintf("unknown command %T", c))
	}
}

// answer passes the scheduler's word to the entry VM that has the caller.
func (p *Process) answer(a schedule.Answer) {
	p.log.Info().Str("job", string(a.Job)).Stringer("outcome", a.Outcome).Str("entry", string(a.Entry)).
		Dur("waited", a.Waited).Int("runs", a.Runs).Dur("retry-after", a.RetryAfter).Str("reason", a.Reason).Msg("job-ended")
	if leader.ID(a.Entry) == p.view.Self() {
		p.gateway.Decide(p.clock.now(), gateway.Verdict{From: p.view.Self(), Job: a.Job, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Reason: a.Reason})
		return
	}
	p.send(leader.ID(a.Entry), verdictMessage(a))
}

// Stop begins a planned stop: others take over what this process schedules,
// and it serves its callers until the grace is nearly over.
func (p *Process) Stop() {
	p.stopping.Store(true)
	p.ready.Store(false)
	p.post(func() {
		now := p.clock.now()
		if p.stopAt > 0 {
			return
		}
		p.log.Info().Int("jobs", p.gateway.InHand()).Msg("process-stopping")
		p.stopAt = now
		p.view.Stop()
		p.sendHeartbeats(now)
		p.follow(now)
	})
}

const (
	// stopLeast is how long a stopping process stays at least: the platform
	// sees within two health checks, a second apart, that it isn't ready.
	stopLeast = 2500 * time.Millisecond
	// stopQuiet is how long no request must have come before it ends early.
	stopQuiet = 700 * time.Millisecond
	// stopEstimates and stopMargin are what a job that comes during a planned
	// stop must have left: twice its estimate, which one job in twenty exceeds,
	// and the time to find a runner.
	stopEstimates = 2
	stopMargin    = 200 * time.Millisecond
	// stopReserve is how long before the platform kills it the process ends.
	stopReserve = 500 * time.Millisecond
)

// stopped reports whether a planned stop is over.
func (p *Process) stopped() bool {
	if p.stopAt == 0 {
		return false
	}
	now := p.clock.now()
	if now-p.stopAt > p.cfg.Grace-stopReserve {
		return true
	}
	return now-p.stopAt > stopLeast && p.gateway.InHand() == 0 && now-p.lastArrival > stopQuiet
}

// timeToServe reports whether a job that comes now will probably be done before
// the process has to end.
func (p *Process) timeToServe(now Time, job *workload.Job) bool {
	if p.stopAt == 0 {
		return true
	}
	left := p.stopAt + p.cfg.Grace - stopReserve - now
	return left > stopEstimates*job.Chain()+stopMargin
}

// Ready reports whether new callers should come here.
func (p *Process) Ready() bool { return p.ready.Load() }

// Stopping reports whether a planned stop has begun.
func (p *Process) Stopping() bool { return p.stopping.Load() }

// publish shows others what the loop knows.
func (p *Process) publish(now Time) {
	p.ready.Store(p.stopAt == 0 && p.table.Current() != nil && p.choice.Leader != "" && p.choice.Reachable)
	if p.schedule.Leading() {
		p.pending = p.schedule.Pending()
		p.pendingNow.Store(&p.pending)
	}
	if now-p.gaugesAt >= gaugeInterval {
		p.gaugesAt = now
		p.metrics.update(p)
	}
}

// declare takes a configuration into force.
func (p *Process) declare(d *routing.Declaration, source string) {
	if !p.table.Apply(d) {
		return
	}
	table := p.table
	p.declared.Store(&table)
	p.view.SetAble(true)
	p.log.Info().Uint64("version", d.Version).Str("source", source).Int("routes", len(d.Routes)).Msg("configuration-in-force")
	p.sendHeartbeats(p.clock.now())
}

// Declared is the configuration in force; empty before the first.
func (p *Process) Declared() *routing.Table { return p.declared.Load() }

// Pending is the number of jobs of a queue of which no task has started.
func (p *Process) Pending(queue string) int { return (*p.pendingNow.Load())[queue] }
