package entry

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Translation between the messages of fleet.proto and the types of the cores.

func handInMessage(c gateway.HandIn) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_HandIn{HandIn: &pb.HandIn{
		Job:        jobMessage(c.Job),
		DueMs:      c.Due.Milliseconds(),
		PatienceMs: c.Patience.Milliseconds(),
		Handed:     uint32(c.Handed),
		Term:       c.Term,
		UnknownMs:  c.Unknown.Milliseconds(),
	}}}
}

func handInOf(m *pb.HandIn) gateway.HandIn {
	return gateway.HandIn{
		Job:      jobOf(m.GetJob()),
		Due:      milliseconds(m.GetDueMs()),
		Patience: milliseconds(m.GetPatienceMs()),
		Handed:   int(m.GetHanded()),
		Term:     m.GetTerm(),
		Unknown:  milliseconds(m.GetUnknownMs()),
	}
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

func dropMessage(c gateway.Drop) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_DropJob{DropJob: &pb.DropJob{Job: string(c.Job)}}}
}

func verdictMessage(a schedule.Answer) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_Verdict{Verdict: &pb.Verdict{
		Job:          string(a.Job),
		Outcome:      uint32(a.Outcome),
		RetryAfterMs: a.RetryAfter.Milliseconds(),
		Reason:       a.Reason,
	}}}
}

func verdictOf(from leader.ID, m *pb.Verdict) gateway.Verdict {
	return gateway.Verdict{
		From:       from,
		Job:        workload.JobID(m.GetJob()),
		Outcome:    outcomeOf(m.GetOutcome()),
		RetryAfter: milliseconds(m.GetRetryAfterMs()),
		Reason:     m.GetReason(),
	}
}

// outcomeOf takes an outcome that this version doesn't know for one after
// which the job may have run.
func outcomeOf(n uint32) workload.Outcome {
	if n > uint32(workload.GaveUp) {
		return workload.GaveUp
	}
	return workload.Outcome(n)
}

func heartbeatMessage(r leader.Report, p *Process) *pb.FleetMessage {
	h := &pb.Heartbeat{
		Number:             r.Number,
		Able:               r.Able,
		Stopping:           r.Stopping,
		Demotions:          r.Demotions,
		Leader:             string(r.Leader),
		LeaderAgeMs:        uint32(r.LeaderAge.Milliseconds()),
		Term:               p.schedule.Term(),
		DeclarationVersion: p.table.Version(),
		RunnersRevision:    p.runnerList.Revision,
		RunnersStale:       p.runnersStale,
	}
	if p.schedule.Leading() && len(p.pending) > 0 {
		h.Pending = make(map[string]uint32, len(p.pending))
		for queue, n := range p.pending {
			h.Pending[queue] = uint32(n)
		}
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Heartbeat{Heartbeat: h}}
}

func reportOf(h *pb.Heartbeat) *leader.Report {
	return &leader.Report{
		Number:    h.GetNumber(),
		Able:      h.GetAble(),
		Stopping:  h.GetStopping(),
		Demotions: h.GetDemotions(),
		Term:      h.GetTerm(),
		Leader:    leader.ID(h.GetLeader()),
		LeaderAge: milliseconds(int64(h.GetLeaderAgeMs())),
	}
}

func declarationMessage(d *routing.Declaration) *pb.FleetMessage {
	m := &pb.Declaration{
		Version:         d.Version,
		HeaderBytes:     int32(d.Limits.HeaderBytes),
		BodyBytes:       int32(d.Limits.BodyBytes),
		HeaderTimeoutMs: d.Limits.HeaderTimeout.Milliseconds(),
		IdleTimeoutMs:   d.Limits.IdleTimeout.Milliseconds(),
	}
	for _, r := range d.Routes {
		m.Routes = append(m.Routes, &pb.DeclaredRoute{
			Name:        r.Name,
			Host:        r.Host,
			Prefix:      r.Prefix,
			Service:     r.Service,
			Priority:    int32(r.Priority),
			MaxAttempts: int32(r.MaxAttempts),
			Stretch:     r.Stretch,
			TargetMs:    r.Target.Milliseconds(),
			TimeoutMs:   r.Timeout.Milliseconds(),
		})
	}
	for _, s := range d.Services {
		m.Services = append(m.Services, &pb.DeclaredService{Name: s.Name, MaxConns: int32(s.MaxConns)})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Declaration{Declaration: m}}
}

func declarationOf(m *pb.Declaration) *routing.Declaration {
	d := &routing.Declaration{
		Version: m.GetVersion(),
		Limits: routing.Limits{
			HeaderBytes:   int(m.GetHeaderBytes()),
			BodyBytes:     int(m.GetBodyBytes()),
			HeaderTimeout: milliseconds(m.GetHeaderTimeoutMs()),
			IdleTimeout:   milliseconds(m.GetIdleTimeoutMs()),
		},
	}
	for _, r := range m.GetRoutes() {
		d.Routes = append(d.Routes, routing.Route{
			Name:        r.GetName(),
			Host:        r.GetHost(),
			Prefix:      r.GetPrefix(),
			Service:     r.GetService(),
			Priority:    int(r.GetPriority()),
			MaxAttempts: int(r.GetMaxAttempts()),
			Stretch:     r.GetStretch(),
			Target:      milliseconds(r.GetTargetMs()),
			Timeout:     milliseconds(r.GetTimeoutMs()),
		})
	}
	for _, s := range m.GetServices() {
		d.Services = append(d.Services, routing.Service{Name: s.GetName(), MaxConns: int(s.GetMaxConns())})
	}
	return d
}

func runnersMessage(l RunnerList, handover bool) *pb.FleetMessage {
	m := &pb.RunnerList{Revision: l.Revision, Handover: handover}
	for _, r := range l.Runners {
		m.Runners = append(m.Runners, &pb.FleetRunner{
			Id:       string(r.ID),
			Service:  r.Service,
			Address:  r.Address,
			Domain:   r.Domain,
			Rack:     r.Rack,
			Labels:   r.Labels,
			MilliCpu: int64(r.Capacity.MilliCPU),
			MemoryMb: int64(r.Capacity.MemoryMB),
			Gpu:      int64(r.Capacity.GPU),
			Draining: r.Draining,
			Revision: r.Revision,
		})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Runners{Runners: m}}
}

func runnersOf(m *pb.RunnerList) RunnerList {
	l := RunnerList{Revision: m.GetRevision()}
	for _, r := range m.GetRunners() {
		l.Runners = append(l.Runners, workload.Runner{
			ID:      workload.RunnerID(r.GetId()),
			Service: r.GetService(),
			Address: r.GetAddress(),
			Domain:  r.GetDomain(),
			Rack:    r.GetRack(),
			Labels:  r.GetLabels(),
			Capacity: workload.Resources{
				MilliCPU: int(r.GetMilliCpu()),
				MemoryMB: int(r.GetMemoryMb()),
				GPU:      int(r.GetGpu()),
			},
			Draining: r.GetDraining(),
			Revision: r.GetRevision(),
		})
	}
	return l
}
