// Package fleet joins the cores of an entry process into one state machine: the
// gateway that answers for callers' jobs, the scheduler, the choice of who
// schedules, and the configuration in force.
//
// It does no input or output and reads no clock. Events and the time go in by
// its methods; Ready gives what is to be done, in order.
package fleet

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/layout"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/core/topology"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Time is a reading of the process's monotonic clock.
type Time = task.Time

// TickInterval is how often Tick is to be called. It bounds how late a timeout
// is noticed; the shortest is that of a stop, 70 ms.
const TickInterval = 20 * time.Millisecond

// Node is the state of one entry process. It isn't safe for concurrent use.
type Node struct {
	cfg    schedule.Config
	grace  time.Duration
	number uint64
	table  routing.Table
	// evacuations are the failure domains that get no new tasks.
	evacuations routing.Evacuations
	view        *leader.View
	gateway     *gateway.Gateway
	domain      string
	// layout is unknown, and so shards are empty, at first. cell is the part of the
	// deployment to which this process belongs, and own are the shards of the cell.
	layout layout.Layout
	cell   string
	shards []*shard
	own    []*shard
	// members are the processes that are registered, member is this one, and fleet
	// is nil until both are known.
	members []topology.Member
	member  topology.Member
	fleet   *topology.Fleet
	// seated: the VM schedules before those of its cell that aren't. widened is how
	// often the number of seats was doubled, since no scheduler was in reach.
	seated  bool
	widened int
	// links are the connections last asked for.
	links []topology.Link
	// linked are the connected processes, and sent when each was last sent a
	// heartbeat.
	linked map[leader.ID]bool
	sent   map[leader.ID]Time

	lastTick Time
	// reachedAt is when the leader of each shard was last in reach, or nobody
	// could have led.
	reachedAt   Time
	lastArrival Time
	stopAt      Time
	// strained: work waited for long when that was last looked at.
	strained bool
	// strainedAt is when this process last gave up the lead for being slow.
	strainedAt Time
	// ledAt is when it last came to lead a shard.
	ledAt Time
	// early are requests that came before the shards were known.
	early []earlyRequest
	// wait is how long what waits in the shards led here would take their runners.
	wait time.Duration
	// pending is what each process that leads has last said.
	pending map[leader.ID]map[string]int

	runners RunnerList
	// listKnown: a list of runners was read, or told by another process.
	listKnown bool
	// digest is that of the list, and listSent that of the list which each
	// process was last told on its connection.
	digest   uint64
	listSent map[leader.ID]uint64
	readAt   Time
	stale    bool
	// askedFor are the leaders that can't read the list.
	askedFor map[leader.ID]bool
	// storeFailedAt is when a call to the store last failed; 0 if none has.
	storeFailedAt Time
	// lapsedSince are the runners of the list that are kept though their entries
	// have lapsed, by when that was seen.
	lapsedSince map[workload.RunnerID]Time
	dropped     []droppedRunner
	// queries are questions of this process's callers that the leader was
	// asked.
	queries map[uint64]bool
	// relays are questions that were passed on, by the numbers that this process gave
	// them, the latest of which is lastRelay.
	relays    map[uint64]relay
	lastRelay uint64
	// vms are the VMs of the cell, this one included; nil if they aren't known.
	vms []string
	// unheard are those of which no process has told of itself, by since when.
	unheard map[string]Time
	// othersHeardSince is since when all of vms are heard but those that are gone.
	othersHeardSince Time
	store            storeWatch
	stored           StoredJobs
	// lost are VMs whose processes fell silent, by when, and that aren't back, and
	// doubtUntil is how long it is doubted that all VMs are heard by somebody.
	lost       map[string]Time
	doubtUntil Time

	out []Command
}

// New returns a node that isn't registered, on a VM with some thousandths of a
// core. grace is the time from the start of a planned stop until the platform
// ends the process.
func New(cfg schedule.Config, grace time.Duration, milliCPU int, now Time) *Node {
	n := &Node{
		cfg:      cfg,
		grace:    grace,
		view:     leader.NewView("", now),
		gateway:  gateway.New(),
		linked:   make(map[leader.ID]bool),
		sent:     make(map[leader.ID]Time),
		listSent: make(map[leader.ID]uint64),
		queries:  make(map[uint64]bool),
		relays:   make(map[uint64]relay),
		askedFor: make(map[leader.ID]bool),
		unheard:  make(map[string]Time),
		lost:     make(map[string]Time),
		pending:  make(map[leader.ID]map[string]int),
		lastTick: now,
		// A process that doesn't know the others can't leave the lead to them.
		seated: true,

		othersHeardSince: never,

		reachedAt: now,
		digest:    digestOf(nil),
		lastRelay: firstRelay,
	}
	n.view.SetMilliCPU(milliCPU)
	n.member.MilliCPU = milliCPU
	return n
}

// SetDomain says in which failure domain the process is.
func (n *Node) SetDomain(domain string) {
	n.domain = domain
	n.member.Domain = domain
	n.gateway.SetDomain(domain)
}

// Ready returns the commands since the last call.
func (n *Node) Ready() []Command {
	n.collect()
	out := n.out
	n.out = nil
	return out
}

func (n *Node) emit(c Command) { n.out = append(n.out, c) }

func (n *Node) notice(event string, fields ...Field) {
	n.emit(Notice{Event: event, Fields: fields})
}

func (n *Node) warn(event string, fields ...Field) {
	n.emit(Notice{Event: event, Warning: true, Fields: fields})
}

// collect passes commands between the cores, until none is left.
func (n *Node) collect() {
	for {
		commands := n.gateway.Ready()
		for _, c := range commands {
			n.fromGateway(c)
		}
		count := len(commands)
		for _, s := range n.own {
			orders := s.schedule.Ready()
			for _, c := range orders {
				n.fromScheduler(s, c)
			}
			calls := s.ledger.Ready()
			for _, c := range calls {
				n.fromLedger(s, c)
			}
			count += len(orders) + len(calls)
		}
		if count == 0 {
			return
		}
	}
}

func (n *Node) fromGateway(c gateway.Command) {
	switch c := c.(type) {
	case gateway.HandIn:
		if c.Shard != c.Home {
			n.notice("job-elsewhere", Field{"job", string(c.Job.ID)}, Field{"shard", c.Shard}, Field{"home", c.Home}, Field{"wait", ms(c.Wait)})
		}
		if c.To == n.Self() {
			n.submit(c.At, c.To, c)
			return
		}
		n.emit(Send{To: c.To, Message: HandIn{c}})
	case gateway.Drop:
		if c.To == n.Self() {
			n.dropJob(c.At, c.To, DropJob{Shard: c.Shard, Job: c.Job, HandedOver: c.HandedOver})
			return
		}
		n.emit(Send{To: c.To, Message: DropJob{Shard: c.Shard, Job: c.Job, HandedOver: c.HandedOver}})
	case gateway.Reply:
		n.emit(Answer{c})
	default:
		panic(fmt.Sprintf("unknown command %T", c))
	}
}

func (n *Node) fromScheduler(s *shard, c schedule.Command) {
	switch c := c.(type) {
	case schedule.Save:
		s.ledger.Save(c.At, c.Sequence, c.Record)
	case schedule.OutcomeSaved:
		n.settled(s, c)
	case schedule.Answer:
		n.verdict(c)
	case schedule.MoveJob:
		n.handOn(c.At, s, c)
	case schedule.MoveAck:
		n.tellTaken(c.At, c)
	case schedule.Decision:
		n.notice(c.Event, decisionFields(c)...)
	default:
		n.emit(Order{Shard: s.index, Order: c})
	}
}

func (n *Node) fromLedger(s *shard, c ledger.Command) {
	switch c := c.(type) {
	case ledger.Loaded:
		if len(c.Records) > 0 {
			n.seeStored(c.At)
		}
		s.schedule.Loaded(c.At, c)
	case ledger.Saved:
		s.schedule.Saved(c.At, c.Records)
	case ledger.Verified:
		s.schedule.RowOwnershipVerified(c.At, c.OwnedAt)
	case ledger.Lost:
		s.schedule.RowOwnershipLost(c.At)
		clear(s.questions)
	default:
		n.emit(StoreCall{Shard: s.index, Call: c})
	}
}

// StoreAnswered takes what came of a StoreCall.
func (n *Node) StoreAnswered(now Time, shard int, r ledger.Result) {
	n.checkPause(now)
	n.shards[shard].ledger.HandleResult(now, r)
}

// SetTimeOfDay says what the time of day is, in milliseconds since 1970.
func (n *Node) SetTimeOfDay(now Time, ms int64) {
	for _, s := range n.own {
		s.schedule.SetTimeOfDay(now, ms)
	}
}

// Registered gives the process its identity.
func (n *Node) Registered(now Time, id leader.ID, number uint64) {
	n.notice("process-registered", Field{"id", string(id)}, Field{"number", number})
	n.view.Register(now, id, number)
	n.number = number
	n.member.ID, n.member.Number = string(id), number
	n.member.VM = schedule.EntryID(id).VM()
	for _, s := range n.own {
		s.schedule.SetProcessNumber(number)
	}
	n.membersChanged(now)
}

// ApplyDeclaration takes a configuration into force if it is newer.
func (n *Node) ApplyDeclaration(now Time, d *routing.Declaration, source string) {
	if !n.table.Apply(d) {
		return
	}
	n.setAble()
	n.notice("configuration-in-force", Field{"version", d.Version}, Field{"source", source}, Field{"routes", len(d.Routes)})
	n.heartbeatAll(now)
}

// Tick does what is due.
func (n *Node) Tick(now Time) {
	n.checkPause(now)
	n.lastTick = now
	for _, id := range n.view.ExpirePeers(now) {
		n.peerLost(now, id, false)
	}
	n.watchStore(now)
	n.view.SetOlderPeerPending(n.meetsStrangers(now))
	n.follow(now)
	n.lookFurther(now)
	n.expireEarly(now)
	n.expireRelays(now)
	n.gateway.Tick(now)
	n.noteUnheard(now)
	gone, misses := n.longUnheard(now), n.missesSome(now)
	n.noteOthersHeard(now, gone)
	n.wait = 0
	doubt := n.doubts(now, misses)
	for _, s := range n.own {
		s.schedule.EntryAlive(now, schedule.EntryID(n.Self()))
		s.ledger.Exclude(gone)
		since, all := n.rivalsHeardSince(now, s, gone)
		s.schedule.SetAllReachable(all, since)
		s.schedule.SetUnreachable(misses)
		s.schedule.SetOtherCellUnreachable(doubt)
		s.schedule.SetAlternate(n.alternate(s))
		if all && s.schedule.Leading() {
			s.ledger.Uncontested(now)
		}
		s.ledger.Tick(now, s.schedule.DependsOnRowOwnership() || len(s.questions) > 0)
		s.schedule.SetStoreFailingFor(s.ledger.FailingFor(now))
		s.schedule.Tick(now)
		if s.schedule.Leading() {
			n.wait = max(n.wait, s.schedule.Wait())
		}
		n.tickQuestions(now, s)
	}
	n.checkRunners(now)
	n.heartbeats(now)
}

// checkPause notes that the process stood still. It comes before all else: what
// arrived meanwhile would be answered from a state of long ago.
func (n *Node) checkPause(now Time) {
	if pause := now - n.lastTick; pause > leader.StallThreshold {
		n.lastTick = now
		n.stalled(now, pause)
	}
}

// stalled gives up the lead after a pause: another process has taken the
// runners meanwhile, and what this one believes to have lapsed may have been
// taken over.
func (n *Node) stalled(now Time, pause time.Duration) {
	n.warn("process-stalled", Field{"pause", ms(pause)}, Field{"leading", n.Leads()})
	n.view.RecordStall(now, n.Leads())
	n.disconnectAll(now)
	for _, s := range n.shards {
		if s.schedule != nil {
			s.retire(now)
		}
		s.choice = leader.Choice{}
		n.gateway.SetLeader(now, s.index, s.choice)
	}
	n.reachedAt = now
}

// Self is the process's identity; "" before it is registered.
func (n *Node) Self() leader.ID { return n.view.Self() }

// Table is the configuration in force.
func (n *Node) Table() routing.Table { return n.table }

// ConfigVersion is that of the configuration in force; 0 before the first.
func (n *Node) ConfigVersion() uint64 { return n.table.Version() }

// RunnersRevision is that of the list of runners that is known.
func (n *Node) RunnersRevision() uint64 { return n.runners.Revision }

// JobsInFlight is the number of jobs whose callers wait here.
func (n *Node) JobsInFlight() int { return n.gateway.InFlight() }

// Serves reports whether new callers should come here: a job finds a scheduler,
// though perhaps not that of its home.
func (n *Node) Serves() bool {
	return n.stopAt == 0 && n.table.Current() != nil && (n.ReachesAllLeaders() || n.gateway.HasReachableScheduler())
}

// ReachesAllLeaders reports whether the leader of each shard of the own cell is in reach.
func (n *Node) ReachesAllLeaders() bool {
	for _, s := range n.own {
		if s.choice.Leader == "" || !s.choice.Reachable {
			return false
		}
	}
	return len(n.own) > 0
}

// Started takes what came of a schedule.Start of a shard.
func (n *Node) Started(now Time, shard int, r schedule.StartResult) {
	n.checkPause(now)
	n.shards[shard].schedule.Started(now, r)
}

// Stopped takes what came of a schedule.Stop.
func (n *Node) Stopped(now Time, shard int, r schedule.StopResult) {
	n.checkPause(now)
	n.shards[shard].schedule.Stopped(now, r)
}

// Held takes what came of a schedule.Hold.
func (n *Node) Held(now Time, shard int, r schedule.HoldResult) {
	n.checkPause(now)
	n.shards[shard].schedule.Held(now, r)
}
