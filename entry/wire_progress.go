package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func progressMessage(p fleet.Progress) *pb.FleetMessage {
	m := &pb.Progress{Shard: uint32(p.Shard), Epoch: p.Epoch, UnknownMs: p.PriorRunsTTL.Milliseconds()}
	m.Done, m.Stopping = namesOf(p.Done), namesOf(p.Stopping)
	for _, e := range p.Ended {
		m.Ended = append(m.Ended, &pb.EndedJob{Job: string(e.Job), Outcome: uint32(e.Outcome)})
	}
	for _, id := range p.Restarted {
		m.Restarted = append(m.Restarted, string(id))
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Progress{Progress: m}}
}

func progressOf(m *pb.Progress) fleet.Progress {
	p := fleet.Progress{Shard: int(m.GetShard())}
	p.Epoch, p.PriorRunsTTL = m.GetEpoch(), milliseconds(m.GetUnknownMs())
	p.Done, p.Stopping = tasksOf(m.GetDone()), tasksOf(m.GetStopping())
	for _, e := range m.GetEnded() {
		p.Ended = append(p.Ended, schedule.EndedJob{Job: workload.JobID(e.GetJob()), Outcome: outcomeOf(e.GetOutcome())})
	}
	for _, id := range m.GetRestarted() {
		p.Restarted = append(p.Restarted, workload.JobID(id))
	}
	return p
}

func namesOf(tasks []workload.TaskName) []string {
	var names []string
	for _, t := range tasks {
		names = append(names, t.String())
	}
	return names
}

// tasksOf skips names that can't be parsed; those tasks may run again.
func tasksOf(names []string) []workload.TaskName {
	var tasks []workload.TaskName
	for _, name := range names {
		if t, err := workload.ParseTaskName(name); err == nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}
