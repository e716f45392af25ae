// Package dispatch is the state machine of one entry process. Events and clock
// readings go in and commands come out. It performs no I/O and is
// deterministic: the same events at the same times give the same commands.
//
// It combines the other core packages: which process may start a submission's
// tasks (claim), which jobs are accepted (admission), the order of service
// (queue), the slots (slots), the live members (membership), the health of
// upstreams (health), retries (retry), the assembly of results (job) and the
// settings in force (settings).
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

// Config configures the core of one entry process.
type Config struct {
	Self          task.Incarnation
	FailureDomain string
	// Seed seeds the random numbers for jitter; the same seed gives the same run.
	Seed uint64
	// IDValidity is how long an issued id can be used.
	IDValidity time.Duration
	// MaxQueuedTasks bounds the waiting tasks of all institutions together. Each of them may
	// have the percentage of it that its CapacityPercent states, where 0 counts as 100.
	MaxQueuedTasks int
	// MaxRetainedAnswerBytes bounds the answers retained for resubmissions, per
	// institution.
	MaxRetainedAnswerBytes int
	// MaxJobBytes bounds the results of one job.
	MaxJobBytes int
	// MaxClaimBatch bounds the claims written in one transaction.
	MaxClaimBatch int
	// ClaimInterval is the minimum time between the starts of two claim writes of
	// this process.
	ClaimInterval time.Duration
	// ClusterClaimInterval is the minimum mean time between the claim writes of
	// all listed processes together. It keeps their total rate within the capacity
	// of the table service, however many processes there are.
	ClusterClaimInterval time.Duration
	// MaxWaitingClaims bounds the claims waiting to be written.
	MaxWaitingClaims int
	// MaxHolders bounds the remembered claim rows of other processes, and
	// separately the remembered unsettled claims.
	MaxHolders int
	// StatusInterval is how often a peer gets a status with changed contents if nothing
	// else is sent to it; IdleStatusInterval is how often it gets an unchanged one.
	StatusInterval     time.Duration
	IdleStatusInterval time.Duration
	// Lending configures the lending of slots between processes.
	Lending Lending

	// Health configures the tracking of upstream health, AdmissionPolicy admission control.
	Health          health.Config
	AdmissionPolicy AdmissionPolicy
	// Order configures the order of service.
	Order queue.Order
}

// DefaultConfig returns the default configuration for an incarnation.
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

// Core is the state of one entry process. It is not safe for concurrent use.
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
	// absent holds the last known state of disconnected nodes, by name.
	absent map[string]absence

	submissions map[task.ID]*submission
	jobs        map[queue.JobID]*submission
	lastJob     queue.JobID
	starts      map[task.StartID]*start
	lastStart   task.StartID
	upstreams   map[string]*upstream
	budgets     *retry.Budgets
	health      *health.Tracker
	requests    map[requester]*waiter
	answers     *claim.Answers

	claims    claimQueue
	lastClaim uint64
	// holders caches the claim rows of other processes.
	holders *claim.Holders
	// unsettledClaims are the abandoned claims that may have been written or that were
	// cancelled, and of which it is not known who holds them.
	unsettledClaims *claim.UnsettledSet

	peers      map[task.Incarnation]*peer
	statusSeq  uint64
	lending    lending
	admission  admissionState
	forwarding forwarding
	succession succession

	// resumedAt is when the last pause of the process ended, pauseLength its length.
	resumedAt   task.Time
	pauseLength time.Duration

	draining bool
	drained  bool
	// admissionClosed is set when the handover begins; nothing starts after that.
	admissionClosed bool
	stats           Stats
	// sentByKind counts the messages sent to peers by kind.
	sentByKind map[string]uint64
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
		requests:    make(map[requester]*waiter),
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

// Tick runs the timers that are due. The clock never goes back: an earlier now
// counts as the latest time seen.
func (c *Core) Tick(now task.Time) {
	c.detectPause(now)
	c.now = max(c.now, now)
	c.runTimers()
	c.place()
	c.checkDrained()
}

// Step handles one event.
func (c *Core) Step(now task.Time, e Event) {
	c.detectPause(now)
	c.now = max(c.now, now)
	c.runTimers()
	c.handle(e)
	c.place()
	c.checkDrained()
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Submit:
		c.submit(requester{request: e.Request}, e.Institution, e.Submission, c.allowedWait(e.Institution, e.Submission))
	case Cancel:
		c.cancel(requester{request: e.Request}, e.Institution, e.ID)
	case CallerGone:
		c.callerGone(requester{request: e.Request})
	case StartResult:
		c.startResult(e.Start, e.Result)
	case ClaimResult:
		c.claimResult(e)
	case MembersChanged:
		c.platformMembersRead(e.Members)
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

// TakeCommands returns and clears the commands emitted since the last call. The
// caller owns the slice.
func (c *Core) TakeCommands() []Command {
	out := c.commands
	c.commands = nil
	return out
}

func (c *Core) emit(cmd Command) {
	c.commands = append(c.commands, cmd)
}

// Ready reports whether the process can be given new work: it has settings and
// the list of VMs, and is not draining.
func (c *Core) Ready() bool {
	return c.settings.Version() > 0 && c.view.HasList() && !c.draining
}

// IssueIDs issues a block of ids held by this incarnation, or returns nil if the
// process is not ready.
func (c *Core) IssueIDs(now task.Time, count uint32) *pb.IdBlock {
	c.detectPause(now)
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
