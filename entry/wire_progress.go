package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func progressMessage(p fleet.Progress) *pb.FleetMessage {
	m := &pb.Progress{Shard: uint32(p.Shard), Epoch: p.Epoch, UnknownMs: p.PriorRunsTTL.Milliseconds()}
	for _, t := range p.Done {
		m.Done = append(m.Done, t.String())
	}
	for _, e := range p.Ended {
		m.Ended = append(m.Ended, &pb.EndedJob{Job: string(e.Job), Outcome: uint32(e.Outcome)})
	}
	for _, id := range p.Restarted {
		m.Restarted = append(m.Restarted, string(id))
	}
	for _, id := range p.MayRun {
		m.MayRun = append(m.MayRun, string(id))
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Progress{Progress: m}}
}

// progressOf skips task names that can't be parsed; those tasks may run again.
func progressOf(m *pb.Progress) fleet.Progress {
	p := fleet.Progress{Shard: int(m.GetShard())}
	p.Epoch, p.PriorRunsTTL = m.GetEpoch(), milliseconds(m.GetUnknownMs())
	for _, name := range m.GetDone() {
		if t, err := workload.ParseTaskName(name); err == nil {
			p.Done = append(p.Done, t)
		}
	}
	for _, e := range m.GetEnded() {
		p.Ended = append(p.Ended, schedule.EndedJob{Job: workload.JobID(e.GetJob()), Outcome: outcomeOf(e.GetOutcome())})
	}
	for _, id := range m.GetRestarted() {
		p.Restarted = append(p.Restarted, workload.JobID(id))
	}
	for _, id := range m.GetMayRun() {
		p.MayRun = append(p.MayRun, workload.JobID(id))
	}
	return p
}
