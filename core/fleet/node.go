// Package fleet combines the components of an entry process into one state machine: the
// gateway that answers callers, a scheduler and a ledger for each shard of the cell, the
// election of the shards' leaders, and the configuration in force.
//
// It does no input or output and reads no clock. Events and the current time are
// passed to its methods; Ready returns the resulting commands in order.
package fleet

import (
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

// TickInterval is the interval at which Tick must be called. It bounds how late a timeout is
// noticed. The shortest one is 70 ms: a run that was ordered to stop is over by then, by the
// default of schedule.Config.StopTimeout and a margin.
const TickInterval = 20 * time.Millisecond

// Node is the state of one entry process. It isn't safe for concurrent use.
type Node struct {
	cfg    schedule.Config
	grace  time.Duration
	number uint64
	table  routing.Table
	// evacuations are the failure domains in which no new tasks are started.
	evacuations routing.Evacuations
	view        *leader.View
	gateway     *gateway.Gateway
	domain      string
	// layout is unknown, and shards and own are empty, until ApplyLayout is called. cell
	// is the part of the deployment to which this process belongs, "" if the runners are
	// pooled, and own are the shards of that cell.
	layout layout.Layout
	cell   string
	shards []*shard
	own    []*shard
	// members are the registered processes, and member is this one. fleet, which decides the
	// connections, is nil until both are known.
	members []topology.Member
	member  topology.Member
	fleet   *topology.Fleet
	// seated reports whether this VM has a seat: within a cell, VMs with seats schedule
	// before the others; see package topology. seatDoublings is how often the number of
	// seats that this process assumes was doubled because leaders of the cell's shards were
	// unreachable.
	seated        bool
	seatDoublings int
	// links are the connections requested by the last Connect command.
	links []topology.Link
	// connected are the connected processes, and heartbeatSentAt is when each was last
	// sent a heartbeat.
	connected       map[leader.ID]bool
	heartbeatSentAt map[leader.ID]Time
	// connectedAt is when each of them connected, or earlier, and latestSentAt is Heartbeat.SentAt of the newest
	// heartbeat of each.
	connectedAt, latestSentAt map[leader.ID]Time

	// startedAt is when the node was created, and lastTick when Tick was last called.
	startedAt, lastTick Time
	// pausedAt and resumedAt are the beginning and the end of the process's last pause.
	pausedAt, resumedAt Time
	// leadersReachedAt is when the leaders of all shards of the cell were last reachable,
	// or when no process could have led yet. lastArrival is when a caller's request last
	// arrived, and stopStartedAt when a planned stop began; 0 if never.
	leadersReachedAt Time
	lastArrival      Time
	stopStartedAt    Time
	// cpuWaitHigh: the last call of RecordCPUWait reported a wait above the threshold.
	cpuWaitHigh bool
	// starvationRecordedAt is when this process last gave up the lead because of CPU
	// starvation; 0 if never.
	starvationRecordedAt Time
	// reachedScheduler: this process has reached a scheduler since its start.
	reachedScheduler bool
	// becameLeaderAt is when it last became the leader of a shard.
	becameLeaderAt Time
	// earlyRequests are callers' requests that arrived before the shards were known.
	earlyRequests []earlyRequest
	// expectedWait is how long the runners would need for the work that waits in the
	// shards led here; the longest if there are several.
	expectedWait time.Duration
	// pending holds the latest count of waiting jobs of each shard, and ownPending the counts of the
	// shards led here; see pending.go.
	pending    map[int]pendingCount
	ownPending []PendingJobs
	// loads holds the loads of the shards led by other processes.
	loads map[int]reportedLoad
	// reportedLoads are the loads of the shards led here at the last tick.
	reportedLoads []ShardLoad

	// runners is the list of runners in use: those of the cell that are registered in the
	// store, and those that are retained on it as expired; see expired.go.
	runners RunnerList
	// listKnown: a list of runners was read from the store or received from another
	// process.
	listKnown bool
	// firstListRequested: requestFirstList has requested the list.
	firstListRequested bool
	// digest is the digest of runners, see digestOf, and sentDigest that of the list which
	// was last sent to each process on its current connection: a list of equal content isn't
	// sent again.
	digest     uint64
	sentDigest map[leader.ID]uint64
	// listReadAt is when the list was last read from the store. listStale: this process
	// reads it for the cell, and hasn't been able to for staleAfter.
	listReadAt Time
	listStale  bool
	// staleLeaders are the connected processes of the cell that report listStale. They lead
	// the cell's first shard. While there are any, this process reads the list frequently
	// and sends it to them.
	staleLeaders map[leader.ID]bool
	// storeFailedAt is when a call to the store last failed; 0 if none has failed.
	storeFailedAt Time
	// expiredSince holds the runners that are retained on the list although their entries
	// expired, with the time at which this was noticed; see expired.go.
	expiredSince map[workload.RunnerID]Time
	// removedRunners are the runners that left the list recently; see removedRetention.
	removedRunners []removedRunner
	// queries are the queries of this process's callers that were sent to a leader.
	queries map[uint64]bool
	// relays are the queries that were forwarded to the owner of another shard, by the
	// request numbers that this process assigned; lastRelayID is the latest of them.
	relays      map[uint64]relay
	lastRelayID uint64
	// cellVMs are the VMs of the cell, this one included; nil until they are known.
	cellVMs []string
	// unreachableSince holds the VMs of the cell of which no connected process has sent a
	// heartbeat, with the time since when.
	unreachableSince map[string]Time
	// othersReachableSince is since when all of cellVMs have been reachable except those
	// that are presumed gone; never if some aren't.
	othersReachableSince Time
	store                storeWatch
	storedJobs           StoredJobs
	storedJobsCheck      storedJobsCheck
	// lostVMs are the VMs of processes from which no message arrived for HeartbeatTimeout,
	// with the time at which that was noticed. A VM is removed when a process of it connects
	// again, or by updateUncertainty after schedule.UnreachableTimeout. Until uncertainUntil
	// some VM of the fleet may be unreachable from all other processes; see uncertainty.go.
	lostVMs        map[string]Time
	uncertainUntil Time

	out []Command
}

// New returns an unregistered node on a VM with milliCPU thousandths of a core. grace is
// the time from the start of a planned stop until the platform kills the process.
func New(cfg schedule.Config, grace time.Duration, milliCPU int, now Time) *Node {
	n := &Node{
		cfg:              cfg,
		grace:            grace,
		view:             leader.NewView("", now),
		gateway:          gateway.New(),
		connected:        make(map[leader.ID]bool),
		heartbeatSentAt:  make(map[leader.ID]Time),
		connectedAt:      make(map[leader.ID]Time),
		latestSentAt:     make(map[leader.ID]Time),
		sentDigest:       make(map[leader.ID]uint64),
		queries:          make(map[uint64]bool),
		relays:           make(map[uint64]relay),
		staleLeaders:     make(map[leader.ID]bool),
		unreachableSince: make(map[string]Time),
		lostVMs:          make(map[string]Time),
		pending:          make(map[int]pendingCount),
		loads:            make(map[int]reportedLoad),
		startedAt:        now,
		lastTick:         now,
		// Without a list of members a process can't leave scheduling to others.
		seated: true,

		othersReachableSince: never,

		leadersReachedAt: now,
		digest:           digestOf(nil),
		lastRelayID:      firstRelayID,
	}
	n.view.SetMilliCPU(milliCPU)
	n.member.MilliCPU = milliCPU
	return n
}

// SetDomain sets the failure domain of the process.
func (n *Node) SetDomain(domain string) {
	n.domain = domain
	n.member.Domain = domain
	n.gateway.SetDomain(domain)
}

// Ready returns the commands issued since the last call.
func (n *Node) Ready() []Command {
	n.collect()
	out := n.out
	n.out = nil
	return out
}

// emit adds a command to those that Ready returns next.
func (n *Node) emit(c Command) { n.out = append(n.out, c) }

// StoreAnswered passes on the result of a StoreCall.
func (n *Node) StoreAnswered(now Time, shard int, r ledger.Result) {
	n.detectStall(now)
	n.shards[shard].ledger.HandleResult(now, r)
}

// SetTimeOfDay sets the time of day, in milliseconds since 1970.
func (n *Node) SetTimeOfDay(now Time, ms int64) {
	for _, s := range n.own {
		s.schedule.SetTimeOfDay(now, ms)
	}
}

// Registered sets the process's identity.
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

// ApplyDeclaration puts a configuration in force if it is newer than the current one.
func (n *Node) ApplyDeclaration(now Time, d *routing.Declaration, source string) {
	if !n.table.Apply(d) {
		return
	}
	n.updateAble()
	n.notice("configuration-in-force", Field{"version", d.Version}, Field{"source", source}, Field{"routes", len(d.Routes)})
	n.sendHeartbeats(now)
}

// Tick handles expired timeouts and sends the heartbeats that are due.
func (n *Node) Tick(now Time) {
	n.detectStall(now)
	n.lastTick = now
	for _, id := range n.view.ExpirePeers(now) {
		n.peerLost(now, id, false)
	}
	n.watchStore(now)
	n.view.SetOlderPeerPending(n.hasUnreportedElder(now))
	n.updateLeaders(now)
	n.widenSeats(now)
	n.updateStarting(now)
	n.expireEarly(now)
	n.expireRelays(now)
	n.gateway.Tick(now)
	n.updateUnreachable(now)
	// gone are the VMs of the cell that are presumed to be removed; missing: another one is
	// unreachable and may be alive.
	gone, missing := n.presumedGone(now), n.anyMissing(now)
	n.updateOthersReachable(now, gone)
	n.expectedWait = 0
	n.setLenders(now)
	uncertain := n.updateUncertainty(now, missing)
	for _, s := range n.own {
		s.schedule.EntryAlive(now, schedule.EntryID(n.Self()))
		s.ledger.Exclude(gone)
		since, all := n.rivalsReachableSince(now, s, gone)
		s.schedule.SetAllReachable(all, since)
		s.schedule.SetUnreachable(missing)
		s.schedule.SetOtherCellUnreachable(uncertain)
		s.schedule.SetAlternate(n.alternateShard(s))
		if all && s.schedule.Leading() {
			s.ledger.Uncontested(now)
		}
		s.ledger.Tick(now, s.schedule.DependsOnRowOwnership() || len(s.pendingQueries) > 0)
		s.schedule.SetStoreFailingFor(s.ledger.FailingFor(now))
		s.schedule.Tick(now)
		n.shareLearned(now, s)
		n.sharePossibleRuns(now, s)
		if s.schedule.Leading() {
			n.expectedWait = max(n.expectedWait, s.schedule.ExpectedWait())
		}
		n.tickQueries(now, s)
	}
	n.readStoredJobs(now)
	n.countPending(now)
	n.checkRunners(now)
	n.requestFirstList()
	n.sendDueHeartbeats(now)
}

// Self is the process's identity; empty before it is registered.
func (n *Node) Self() leader.ID { return n.view.Self() }

// Table is the configuration in force.
func (n *Node) Table() routing.Table { return n.table }

// ConfigVersion is the version of the configuration in force; 0 if there is none.
func (n *Node) ConfigVersion() uint64 { return n.table.Version() }

// RunnersRevision is the revision of the known list of runners.
func (n *Node) RunnersRevision() uint64 { return n.runners.Revision }

// JobsInFlight is the number of jobs whose callers wait for an answer from this process.
func (n *Node) JobsInFlight() int { return n.gateway.InFlight() }

// Serves reports whether new callers should connect here: jobs can be passed to a
// scheduler, though perhaps not to that of their home shard.
func (n *Node) Serves() bool {
	return n.stopStartedAt == 0 && n.table.Current() != nil && (n.ReachesAllLeaders() || n.gateway.HasReachableScheduler())
}

// ReachesAllLeaders reports whether the leader of each shard of the own cell is reachable.
func (n *Node) ReachesAllLeaders() bool {
	for _, s := range n.own {
		if s.choice.Leader == "" || !s.choice.Reachable {
			return false
		}
	}
	return len(n.own) > 0
}

// Started passes on the result of a schedule.Start of a shard.
func (n *Node) Started(now Time, shard int, r schedule.StartResult) {
	n.detectStall(now)
	n.shards[shard].schedule.Started(now, r)
}

// Stopped passes on the result of a schedule.Stop.
func (n *Node) Stopped(now Time, shard int, r schedule.StopResult) {
	n.detectStall(now)
	n.shards[shard].schedule.Stopped(now, r)
}

// Held passes on the result of a schedule.Hold.
func (n *Node) Held(now Time, shard int, r schedule.HoldResult) {
	n.detectStall(now)
	n.shards[shard].schedule.Held(now, r)
}
