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
	// MaxAnswerBytes bounds the results kept for resubmissions.
	MaxAnswerBytes int
	// MaxClaimBatch bounds the claims of one transaction.
	MaxClaimBatch int
	// StatusInterval is how often peers get a status if nothing else is sent.
	StatusInterval time.Duration
	// Lending sets how slots are lent between processes.
	Lending Lending
	// Order sets the order of service.
	Order queue.Order
}

// DefaultConfig returns a configuration for an incarnation with usual limits.
func DefaultConfig(self task.Incarnation, failureDomain string) Config {
	return Config{
		Self:           self,
		FailureDomain:  failureDomain,
		Seed:           self.Run,
		IDValidity:     10 * time.Minute,
		MaxQueuedTasks: 50_000,
		MaxAnswerBytes: 64 << 20,
		MaxClaimBatch:  100,
		StatusInterval: 2 * time.Second,
		Lending:        DefaultLending,
		Order:          queue.DefaultOrder,
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
	members  task.Members
	listed   bool

	submissions map[task.ID]*submission
	jobs        map[queue.JobID]*submission
	lastJob     queue.JobID
	starts      map[task.StartID]*start
	lastStart   task.StartID
	upstreams   map[string]*upstream
	budgets     map[string]*retry.Budget
	kept        []*submission
	keptBytes   int

	claims      claimQueue
	peers       map[task.Incarnation]*peer
	runs        map[string]uint64
	forwards    map[uint64]*forward
	lastForward uint64
	statusSeq   uint64
	lending     lending

	draining bool
	drained  bool
	stats    Stats
}

// New returns the core of a process that has just started.
func New(cfg Config) *Core {
	c := &Core{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Run)),
		settings:    settings.NewState(),
		issuer:      claim.NewIssuer(cfg.IDValidity),
		queue:       queue.NewOrdered(cfg.Order),
		pool:        slots.NewPool(cfg.Self.Node, cfg.FailureDomain),
		submissions: make(map[task.ID]*submission),
		jobs:        make(map[queue.JobID]*submission),
		starts:      make(map[task.StartID]*start),
		upstreams:   make(map[string]*upstream),
		budgets:     make(map[string]*retry.Budget),
		peers:       make(map[task.Incarnation]*peer),
		runs:        make(map[string]uint64),
		forwards:    make(map[uint64]*forward),
		lending:     newLending(),
	}
	c.every(cfg.StatusInterval, c.sendStatus)
	c.every(time.Second, c.expire)
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
	c.now = max(c.now, now)
	c.runTimers()
	c.place()
}

// Step handles one event.
func (c *Core) Step(now task.Time, e Event) {
	c.now = max(c.now, now)
	c.runTimers()
	c.handle(e)
	c.place()
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Submit:
		c.submit(asker{request: e.Request}, e.Institution, e.Submission)
	case Cancel:
		c.cancel(asker{request: e.Request}, e.Institution, e.ID)
	case CallerGone:
		c.callerGone(asker{request: e.Request})
	case StartResult:
		c.startResult(e.Start, e.Result)
	case ClaimResult:
		c.claimResult(e)
	case MembersChanged:
		c.membersChanged(e.Members)
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

// Take returns the commands since the last call. The slice is the caller's.
func (c *Core) Take() []Command {
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
	return c.settings.Version() > 0 && c.listed && !c.draining
}

// IssueIDs hands out a block of ids held by this incarnation; nil while it
// isn't ready.
func (c *Core) IssueIDs(now task.Time, count uint32) *pb.IdBlock {
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

// Authenticate finds the institution of a token's hex SHA-256.
func (c *Core) Authenticate(tokenDigest string) (string, bool) {
	return c.settings.InstitutionOfToken(tokenDigest)
}

func (c *Core) offerSettings(s *pb.Settings) {
	if !c.settings.Offer(s) {
		return
	}
	for _, inst := range s.GetInstitutions() {
		b := c.budgets[inst.GetName()]
		if b == nil {
			c.budgets[inst.GetName()] = retry.NewBudget(inst.GetRetryPercent())
			continue
		}
		b.SetPercent(inst.GetRetryPercent())
	}
	c.emit(SettingsInForce{s})
}

func (c *Core) membersChanged(m task.Members) {
	c.members = m
	c.listed = true
	c.pool.SetMembers(m)
	for _, u := range m.Upstreams {
		if c.upstreams[u.Name] == nil {
			c.upstreams[u.Name] = &upstream{}
		}
	}
}
