package entry

import (
	"fmt"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Conversion between the messages of fleet.proto and those of core/fleet.

func encode(m fleet.Message) *pb.FleetMessage {
	switch m := m.(type) {
	case fleet.Heartbeat:
		return heartbeatMessage(m)
	case fleet.HandIn:
		return handInMessage(m)
	case fleet.Verdict:
		return verdictMessage(m)
	case fleet.DropJob:
		return &pb.FleetMessage{Body: &pb.FleetMessage_DropJob{DropJob: &pb.DropJob{Job: string(m.Job), HandedOver: m.HandedOver, Shard: uint32(m.Shard)}}}
	case fleet.JobQuery:
		return &pb.FleetMessage{Body: &pb.FleetMessage_JobQuery{
			JobQuery: &pb.JobQuery{Request: m.Request, Job: string(m.Job), Cancel: m.Cancel, Hops: uint32(m.Hops), Shard: uint32(m.Shard)},
		}}
	case fleet.JobMove:
		return jobMoveMessage(m)
	case fleet.JobTaken:
		return &pb.FleetMessage{Body: &pb.FleetMessage_JobTaken{JobTaken: &pb.JobTaken{Shard: uint32(m.Shard), Job: string(m.Job)}}}
	case fleet.RoomRequest:
		return roomRequestMessage(m)
	case fleet.RoomGrant:
		return roomGrantMessage(m)
	case fleet.JobsElsewhere:
		return elsewhereMessage(m)
	case fleet.PossibleRuns:
		return possibleRunsMessage(m)
	case fleet.JobAnswer:
		return stateMessage(m)
	case fleet.Declaration:
		return declarationMessage(m.Declaration)
	case fleet.RunnerList:
		return runnersMessage(m)
	case fleet.Progress:
		return progressMessage(m)
	case fleet.LearnedPaces:
		return learnedMessage(m)
	case fleet.Layout:
		return &pb.FleetMessage{Body: &pb.FleetMessage_Layout{Layout: &pb.Layout{Cells: m.Layout}}}
	}
	panic(fmt.Sprintf("unknown message %T", m))
}

// kindOf returns the kind of a message, a label of metrics.
func kindOf(m *pb.FleetMessage) string {
	switch m.GetBody().(type) {
	case *pb.FleetMessage_Heartbeat:
		return "heartbeat"
	case *pb.FleetMessage_HandIn, *pb.FleetMessage_Verdict, *pb.FleetMessage_DropJob, *pb.FleetMessage_JobMove, *pb.FleetMessage_JobTaken,
		*pb.FleetMessage_JobsElsewhere, *pb.FleetMessage_PossibleRuns:
		return "job"
	case *pb.FleetMessage_RoomRequest, *pb.FleetMessage_RoomGrant:
		return "lending"
	case *pb.FleetMessage_JobQuery, *pb.FleetMessage_JobState:
		return "query"
	case *pb.FleetMessage_Declaration, *pb.FleetMessage_Layout:
		return "settings"
	case *pb.FleetMessage_Runners:
		return "runners"
	case *pb.FleetMessage_Progress:
		return "progress"
	case *pb.FleetMessage_LearnedPaces:
		return "learned"
	}
	return "other"
}

// decode converts a message. It returns nil for one without a body, or with a body
// that is unknown to this version: such a message still shows that the sender is alive.
func decode(m *pb.FleetMessage) fleet.Message {
	switch body := m.GetBody().(type) {
	case *pb.FleetMessage_Heartbeat:
		return heartbeatOf(body.Heartbeat)
	case *pb.FleetMessage_HandIn:
		return handInOf(body.HandIn)
	case *pb.FleetMessage_Verdict:
		return verdictOf(body.Verdict)
	case *pb.FleetMessage_DropJob:
		return fleet.DropJob{Shard: int(body.DropJob.GetShard()), Job: workload.JobID(body.DropJob.GetJob()), HandedOver: body.DropJob.GetHandedOver()}
	case *pb.FleetMessage_JobQuery:
		q := body.JobQuery
		return fleet.JobQuery{
			Request: q.GetRequest(), Job: workload.JobID(q.GetJob()), Cancel: q.GetCancel(),
			Hops: int(q.GetHops()), Shard: int(q.GetShard()),
		}
	case *pb.FleetMessage_JobMove:
		return jobMoveOf(body.JobMove)
	case *pb.FleetMessage_JobTaken:
		return fleet.JobTaken{Shard: int(body.JobTaken.GetShard()), Job: workload.JobID(body.JobTaken.GetJob())}
	case *pb.FleetMessage_RoomRequest:
		return roomRequestOf(body.RoomRequest)
	case *pb.FleetMessage_RoomGrant:
		return roomGrantOf(body.RoomGrant)
	case *pb.FleetMessage_JobsElsewhere:
		return elsewhereOf(body.JobsElsewhere)
	case *pb.FleetMessage_PossibleRuns:
		return possibleRunsOf(body.PossibleRuns)
	case *pb.FleetMessage_JobState:
		return stateOf(body.JobState)
	case *pb.FleetMessage_Declaration:
		return fleet.Declaration{Declaration: declarationOf(body.Declaration)}
	case *pb.FleetMessage_Runners:
		return runnersOf(body.Runners)
	case *pb.FleetMessage_Progress:
		return progressOf(body.Progress)
	case *pb.FleetMessage_LearnedPaces:
		return learnedOf(body.LearnedPaces)
	case *pb.FleetMessage_Layout:
		return fleet.Layout{Layout: body.Layout.GetCells()}
	}
	return nil
}

func handInMessage(c fleet.HandIn) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_HandIn{HandIn: &pb.HandIn{
		Job:        jobMessage(c.Job),
		DueMs:      c.RemainingObjective.Milliseconds(),
		PatienceMs: c.RemainingTimeout.Milliseconds(),
		Handed:     uint32(c.PriorSubmissions),
		UnknownMs:  c.PriorRunsTTL.Milliseconds(),
		Domain:     c.Domain,
		Shard:      uint32(c.Shard),
		Home:       uint32(c.Home),
		HandedBack: c.HandedBack,
	}}}
}

func handInOf(m *pb.HandIn) fleet.HandIn {
	return fleet.HandIn{HandIn: gateway.HandIn{
		Job:                jobOf(m.GetJob()),
		RemainingObjective: milliseconds(m.GetDueMs()),
		RemainingTimeout:   milliseconds(m.GetPatienceMs()),
		PriorSubmissions:   int(m.GetHanded()),
		PriorRunsTTL:       milliseconds(m.GetUnknownMs()),
		Domain:             m.GetDomain(),
		Shard:              int(m.GetShard()),
		Home:               int(m.GetHome()),
		HandedBack:         m.GetHandedBack(),
	}}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func jobMessage(j *workload.Job) *pb.FleetJob {
	m := &pb.FleetJob{
		Id:          string(j.ID),
		Queue:       j.Queue,
		Service:     j.Service,
		Version:     j.Version,
		Priority:    int32(j.Priority),
		MaxAttempts: int32(j.MaxAttempts),
		ObjectiveMs: j.Objective.Milliseconds(),
		Spec:        j.Spec,
		Stored:      j.Stored,
		Times:       uint32(j.Times),
		StartMs:     j.StartMs,
		IntervalMs:  j.Interval.Milliseconds(),
	}
	for _, s := range j.Steps {
		m.Steps = append(m.Steps, stepMessage(s))
	}
	return m
}

func stepMessage(s workload.Step) *pb.FleetStep {
	m := &pb.FleetStep{
		Tasks:         uint32(s.Tasks),
		MilliCpu:      int64(s.Need.MilliCPU),
		MemoryMb:      int64(s.Need.MemoryMB),
		Gpu:           int64(s.Need.GPU),
		EstimateUs:    s.Estimate.Microseconds(),
		Requires:      s.Requires,
		PreferredRack: s.PreferredRack,
		MaxPerRunner:  int32(s.MaxPerRunner),
	}
	for _, d := range s.DependsOn {
		m.DependsOn = append(m.DependsOn, int32(d))
	}
	return m
}

func jobOf(m *pb.FleetJob) *workload.Job {
	j := &workload.Job{
		ID:          workload.JobID(m.GetId()),
		Queue:       m.GetQueue(),
		Service:     m.GetService(),
		Version:     m.GetVersion(),
		Priority:    int(m.GetPriority()),
		MaxAttempts: int(m.GetMaxAttempts()),
		Objective:   milliseconds(m.GetObjectiveMs()),
		Spec:        m.GetSpec(),
		Stored:      m.GetStored(),
		Times:       int(m.GetTimes()),
		StartMs:     m.GetStartMs(),
		Interval:    milliseconds(m.GetIntervalMs()),
	}
	for _, s := range m.GetSteps() {
		j.Steps = append(j.Steps, stepOf(s))
	}
	return j
}

func stepOf(m *pb.FleetStep) workload.Step {
	s := workload.Step{
		Tasks: int(m.GetTasks()),
		Need: workload.Resources{
			MilliCPU: int(m.GetMilliCpu()),
			MemoryMB: int(m.GetMemoryMb()),
			GPU:      int(m.GetGpu()),
		},
		Estimate:      time.Duration(m.GetEstimateUs()) * time.Microsecond,
		Requires:      m.GetRequires(),
		PreferredRack: m.GetPreferredRack(),
		MaxPerRunner:  int(m.GetMaxPerRunner()),
	}
	for _, d := range m.GetDependsOn() {
		s.DependsOn = append(s.DependsOn, int(d))
	}
	return s
}

func verdictMessage(v fleet.Verdict) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_Verdict{Verdict: &pb.Verdict{
		Job:          string(v.Job),
		Outcome:      uint32(v.Outcome),
		RetryAfterMs: v.RetryAfter.Milliseconds(),
		Reason:       v.Reason,
		Cause:        uint32(v.Cause),
		NoRoom:       v.NoRoom,
		Lent:         v.Lent,
		Lender:       uint32(v.Lender),
	}}}
}

func verdictOf(m *pb.Verdict) fleet.Verdict {
	return fleet.Verdict{Verdict: gateway.Verdict{
		Job:        workload.JobID(m.GetJob()),
		Outcome:    outcomeOf(m.GetOutcome()),
		RetryAfter: milliseconds(m.GetRetryAfterMs()),
		Reason:     m.GetReason(),
		Cause:      workload.RefusalCauseOf(m.GetCause()),
		NoRoom:     m.GetNoRoom(),
		Lent:       m.GetLent(),
		Lender:     int(m.GetLender()),
	}}
}

// outcomeOf converts an outcome. One that is unknown to this version becomes GaveUp, after
// which the job may have run.
func outcomeOf(n uint32) workload.Outcome {
	if n > uint32(workload.Accepted) {
		return workload.GaveUp
	}
	return workload.Outcome(n)
}

func heartbeatMessage(h fleet.Heartbeat) *pb.FleetMessage {
	m := &pb.Heartbeat{
		Number:             h.Report.Number,
		Able:               h.Report.Able,
		Stopping:           h.Report.Stopping,
		Demotions:          h.Report.Demotions,
		Strains:            h.Report.Starvations,
		StoreTrouble:       h.Report.StoreTrouble,
		StoreReached:       h.Report.StoreReached,
		StoreLost:          h.Report.StoreLost,
		Shards:             uint32(h.Report.Shards),
		MilliCpu:           uint32(h.Report.MilliCPU),
		Term:               h.Report.Term,
		DeclarationVersion: h.DeclarationVersion,
		RunnersRevision:    h.RunnersRevision,
		RunnersDigest:      h.RunnersDigest,
		RunnersStale:       h.RunnersStale,
		StoredJobs:         uint32(h.StoredJobs),
		Standby:            h.Report.Standby,
		Cell:               h.Report.Cell,
		WaitMs:             uint32(h.ExpectedWait.Milliseconds()),
		DoubtMs:            uint32(h.UncertainFor.Milliseconds()),
		EvacuationsVersion: h.Evacuations.Version,
		Evacuated:          h.Evacuations.Domains,
		Loads:              loadMessages(h.Loads),
		TakesLent:          h.TakesLentJobs,
		SentMs:             uint64(h.SentAt.Milliseconds()),
		ReceivedMs:         uint64(h.Received.Milliseconds()),
	}
	for i, f := range h.Report.Follows {
		if f.Leader != "" {
			m.Follows = append(m.Follows, &pb.ShardFollow{Leader: string(f.Leader), AgeMs: uint32(f.Age.Milliseconds()), Shard: uint32(i)})
		}
	}
	addPending(m, h.Pending)
	return &pb.FleetMessage{Body: &pb.FleetMessage_Heartbeat{Heartbeat: m}}
}

func heartbeatOf(m *pb.Heartbeat) fleet.Heartbeat {
	h := fleet.Heartbeat{
		Report: leader.Report{
			Number:      m.GetNumber(),
			Able:        m.GetAble(),
			Standby:     m.GetStandby(),
			Cell:        m.GetCell(),
			Stopping:    m.GetStopping(),
			Demotions:   m.GetDemotions(),
			Starvations: m.GetStrains(),

			StoreTrouble: m.GetStoreTrouble(),
			StoreReached: m.GetStoreReached(),
			StoreLost:    m.GetStoreLost(),

			Term:     m.GetTerm(),
			Shards:   int(m.GetShards()),
			MilliCPU: int(m.GetMilliCpu()),
		},
		DeclarationVersion: m.GetDeclarationVersion(),
		RunnersRevision:    m.GetRunnersRevision(),
		RunnersDigest:      m.GetRunnersDigest(),
		RunnersStale:       m.GetRunnersStale(),
		StoredJobs:         fleet.StoredJobs(min(m.GetStoredJobs(), uint32(fleet.HasStoredJobs))),
		Pending:            pendingOf(m.GetPendingJobs()),
		ExpectedWait:       milliseconds(int64(m.GetWaitMs())),
		Loads:              loadsOf(m.GetLoads()),
		TakesLentJobs:      m.GetTakesLent(),
		SentAt:             milliseconds(int64(m.GetSentMs())),
		Received:           milliseconds(int64(m.GetReceivedMs())),
		UncertainFor:       milliseconds(int64(m.GetDoubtMs())),
		Evacuations:        routing.Evacuations{Version: m.GetEvacuationsVersion(), Domains: m.GetEvacuated()},
	}
	h.Report.Follows = followsOf(m)
	return h
}

// addPending adds the counts of waiting jobs to a heartbeat.
func addPending(m *pb.Heartbeat, list []fleet.PendingJobs) {
	m.Pending = make(map[string]uint32)
	for _, p := range list {
		queues := make(map[string]uint32, len(p.Queues))
		for queue, n := range p.Queues {
			queues[queue] = uint32(n)
			m.Pending[queue] += uint32(n)
		}
		m.PendingJobs = append(m.PendingJobs, &pb.PendingJobs{Shard: uint32(p.Shard), Queues: queues})
	}
}

func pendingOf(messages []*pb.PendingJobs) []fleet.PendingJobs {
	list := make([]fleet.PendingJobs, len(messages))
	for i, m := range messages {
		queues := make(map[string]int, len(m.GetQueues()))
		for queue, n := range m.GetQueues() {
			queues[queue] = int(n)
		}
		list[i] = fleet.PendingJobs{Shard: int(m.GetShard()), Queues: queues}
	}
	return list
}

// followsOf lists the leaders that the sender follows, by shard. Shard numbers that
// aren't below the sender's number of shards are ignored.
func followsOf(m *pb.Heartbeat) []leader.Follow {
	follows := make([]leader.Follow, m.GetShards())
	for _, f := range m.GetFollows() {
		if f.GetShard() < m.GetShards() {
			follows[f.GetShard()] = leader.Follow{Leader: leader.ID(f.GetLeader()), Age: milliseconds(int64(f.GetAgeMs()))}
		}
	}
	return follows
}

func stateMessage(a fleet.JobAnswer) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_JobState{JobState: &pb.JobState{
		Request: a.Request,
		Unsure:  a.State.Uncertain,
		Known:   a.State.Known,
		Begun:   a.State.Begun,
		Ended:   a.State.Ended,
		Outcome: uint32(a.State.Outcome),
	}}}
}

func stateOf(m *pb.JobState) fleet.JobAnswer {
	return fleet.JobAnswer{Request: m.GetRequest(), State: schedule.JobState{
		Uncertain: m.GetUnsure(),
		Known:     m.GetKnown(),
		Begun:     m.GetBegun(),
		Ended:     m.GetEnded(),
		Outcome:   outcomeOf(m.GetOutcome()),
	}}
}
