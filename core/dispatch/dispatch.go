// Package dispatch is the state machine of one entry process. Events and
// readings of the clock go in, commands come out; it does no input or output,
// and the same events at the same times give the same commands.
//
// It joins the other core packages: who may start a submission's tasks
// (claim), in which order they are served (queue), on which slots (slots), how
// often they are tried again (retry), when the answer is whole (job) and which
// settings are in force (settings).
package dispatch

import (
	"math/rand/v2"
	"time"

	"sapphirepoint.example/sapphirepoint/core/claim"
	"sapphirepoint.example/sapphirepoint/core/health"
	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/retry"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/slots"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Config is what a core needs to know of its process.
type Config struct {
	Self          task.Incarnation
	FailureDomain string
	// Seed feeds jitter; the same seed gives the same run.
	Seed uint64
	// IDValidity is how long issued ids stay usable.
	IDValidity time.Duration
	// MaxQueuedTasks bounds the tasks that wait, over all institutions.
	MaxQueuedTasks int
	// MaxRetainedAnswerBytes bounds the answers kept for resubmissions, for each
	// institution.
	MaxRetainedAnswerBytes int
	// MaxJobBytes bounds the results of one job.
	MaxJobBytes int
	// MaxClaimBatch bounds the claims of one transaction.
	MaxClaimBatch int
	// ClaimInterval is the least time between the beginnings of two writes of
	// claims.
	ClaimInterval time.Duration
	// ClusterClaimInterval is the least mean time between the writes of all listed
	// processes together, which keeps their sum within what the table service
	// carries, however many they are.
	ClusterClaimInterval time.Duration
	// MaxWaitingClaims bounds the claims that wait to be written.
	MaxWaitingClaims int
	// MaxHolders bounds the claim rows of others, and the unsettled claims,
	// that are remembered.
	MaxHolders int
	// StatusInterval is how often a peer gets a status that says something new,
	// IdleStatusInterval one that doesn't, if nothing else is sent to it.
	StatusInterval     time.Duration
	IdleStatusInterval time.Duration
	// Lending sets how slots are lent between processes.
	Lending Lending

	// Health is the limits of upstream health, AdmissionPolicy what admission is told.
	Health          health.Config
	AdmissionPolicy AdmissionPolicy
	// Order sets the order of service.
	Order queue.Order
}

// DefaultConfig returns a configuration for an incarnation with usual limits.
func DefaultConfig(self task.Incarnation, failureDomain string) Config {
	return Config{
		Self:                   self,
		FailureDomain:          failureDomain,
		Seed:                   self.Run,
		IDValidity:             10 * time.Minute,
		MaxQueuedTasks:         50_000,
		MaxRetainedAnswerBytes: 32 << 20,
		MaxJobBytes:            16 << 20,
		MaxClaimBatch:          100,
		ClaimInterval:          20 * time.Millisecond,
		ClusterClaimInterval:   4 * time.Millisecond,
		MaxWaitingClaims:       5_000,
		MaxHolders:             20_000,
		StatusInterval:         500 * time.Millisecond,
		IdleStatusInterval:     2 * time.Second,
		Lending:                DefaultLending,
		Health:                 health.DefaultConfig(),
		AdmissionPolicy:        DefaultAdmissionPolicy,
		Order:                  queue.DefaultOrder,
	}
}

// Core is the state of one entry process. It isn't safe for concurrent use.
type Core struct {
	cfg      Config
	now      task.Time
	rng      *rand.Rand
	timers   timerHeap
	timerSeq uint64
	commands []Command

	settings *settings.State
	issuer   *claim.Issuer
	queue    *queue.Queue
	pool     *slots.Pool
	view     *membership.View
	absent   map[string]absence

	submissions map[task.ID]*submission
	jobs        map[queue.JobID]*submission
	lastJob     queue.JobID
	starts      map[task.StartID]*start
	lastStart   task.StartID
	upstreams   map[string]*upstream
	budgets     *retry.Budgets
	health      *health.Tracker
	requests    map[asker]*waiter
	answers     *claim.Answers

	claims          claimQueue
	lastClaim       uint64
	holders         *claim.Holders
	unsettledClaims *claim.UnsettledSet

	peers      map[task.Incarnation]*peer
	statusSeq  uint64
	lending    lending
	admission  admissionState
	forwarding forwarding
	succession succession

	// woke is when the process last woke from a pause, slept how long it was.
	woke  task.Time
	slept time.Duration

	draining bool
	drained  bool
	// closed is set when the handover begins: from then on nothing starts.
	closed bool
	stats  Stats
	// sentKinds counts the messages sent to peers by kind.
	sentKinds map[string]uint64
}

// New returns the core of a process that has just started.
func New(cfg Config) *Core {
	c := &Core{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Run)),
		settings:    settings.NewState(),
		view:        membership.New(cfg.Self.Node),
		absent:      make(map[string]absence),
		issuer:      claim.NewIssuer(cfg.IDValidity),
		queue:       queue.NewWithOrder(cfg.Order),
		pool:        slots.NewPool(cfg.Self.Node, cfg.FailureDomain),
		submissions: make(map[task.ID]*submission),
		jobs:        make(map[queue.JobID]*submission),
		starts:      make(map[task.StartID]*start),
		upstreams:   make(map[string]*upstream),
		peers:       make(map[task.Incarnation]*peer),
		requests:    make(map[asker]*waiter),
		answers:     claim.NewAnswers(cfg.MaxRetainedAnswerBytes),
		holders:     claim.NewHolders(cfg.MaxHolders),

		lending:         newLending(),
		admission:       newAdmissionState(cfg.Self),
		forwarding:      newForwarding(),
		succession:      newSuccession(),
		unsettledClaims: claim.NewUnsettledSet(cfg.MaxHolders),
	}
	c.budgets = retry.NewBudgets(c.rng)
	cfg.Health.Self = cfg.Self.Node
	c.health = health.New(cfg.Health, c.rng)
	c.admission.allowTeam = func(team string) bool { return c.admission.quotas.Allow(c.now, c.admission.placing, team) }
	c.every(cfg.StatusInterval, c.shareQuotas)
	c.every(cfg.StatusInterval, c.sendStatus)
	c.every(time.Second, c.expire)
	c.every(membersInterval, c.refreshMembers)
	return c
}

func (c *Core) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// Tick runs what is due at a time. Time never goes back.
func (c *Core) Tick(now task.Time) {
	c.noticePause(now)
	c.now = max(c.now, now)
	c.runTimers()
	c.place()
	c.checkDrained()
}

// Step handles one event.
func (c *Core) Step(now task.Time, e Event) {
	c.noticePause(now)
	c.now = max(c.now, now)
	c.runTimers()
	c.handle(e)
	c.place()
	c.checkDrained()
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Submit:
		c.submit(asker{request: e.Request}, e.Institution, e.Submission, c.allowance(e.Institution, e.Submission))
	case Cancel:
		c.cancel(asker{request: e.Request}, e.Institution, e.ID)
	case CallerGone:
		c.callerGone(asker{request: e.Request})
	case StartResult:
		c.startResult(e.Start, e.Result)
	case ClaimResult:
		c.claimResult(e)
	case MembersChanged:
		c.membersRead(e.Members)
	case MembersRead:
		c.admission.quotas.MembersUnchanged(c.now)
	case SettingsRead:
		c.offerSettings(e.Settings)
	case PeerUp:
		c.peerUp(e)
	case PeerDown:
		c.peerDown(e.Peer)
	case PeerMessage:
		c.peerMessage(e.Peer, e.Message)
	case Drain:
		c.drain()
	}
}

// TakeCommands returns the commands since the last call. The slice is the caller's.
func (c *Core) TakeCommands() []Command {
	out := c.commands
	c.commands = nil
	return out
}

func (c *Core) emit(cmd Command) {
	c.commands = append(c.commands, cmd)
}

// Ready says whether the process may be given new work: it has settings and
// the list of VMs, and isn't stopping.
func (c *Core) Ready() bool {
	return c.settings.Version() > 0 && c.view.HasList() && !c.draining
}

// IssueIDs hands out a block of ids held by this incarnation; nil while it
// isn't ready.
func (c *Core) IssueIDs(now task.Time, count uint32) *pb.IdBlock {
	c.noticePause(now)
	c.now = max(c.now, now)
	if !c.Ready() {
		return nil
	}
	first, expires := c.issuer.Issue(c.now, count)
	return &pb.IdBlock{
		Holder:  c.cfg.Self.Proto(),
		First:   first,
		Count:   count,
		ValidMs: uint32((expires - c.now).Milliseconds()),
	}
}
