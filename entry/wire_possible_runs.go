package entry

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func possibleRunsMessage(m fleet.PossibleRuns) *pb.FleetMessage {
	list := &pb.PossibleRuns{Shard: uint32(m.Shard)}
	for _, j := range m.Jobs {
		list.Jobs = append(list.Jobs, &pb.PossibleRun{Job: string(j.Job), RestMs: uint32((j.Rest + time.Millisecond - 1) / time.Millisecond)})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_PossibleRuns{PossibleRuns: list}}
}

func possibleRunsOf(m *pb.PossibleRuns) fleet.PossibleRuns {
	list := fleet.PossibleRuns{Shard: int(m.GetShard())}
	for _, j := range m.GetJobs() {
		list.Jobs = append(list.Jobs, schedule.PossibleRun{
			Job: workload.JobID(j.GetJob()), Rest: time.Duration(j.GetRestMs()) * time.Millisecond,
		})
	}
	return list
}
