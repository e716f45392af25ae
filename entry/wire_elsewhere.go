package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func elsewhereMessage(m fleet.JobsElsewhere) *pb.FleetMessage {
	report := &pb.JobsElsewhere{Shard: uint32(m.Shard)}
	for _, j := range m.Jobs {
		report.Jobs = append(report.Jobs, &pb.JobElsewhere{
			Job: string(j.Job), Shard: uint32(j.Shard), Entry: string(j.Entry), Copied: j.Copied,
		})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_JobsElsewhere{JobsElsewhere: report}}
}

func elsewhereOf(m *pb.JobsElsewhere) fleet.JobsElsewhere {
	report := fleet.JobsElsewhere{Shard: int(m.GetShard())}
	for _, j := range m.GetJobs() {
		report.Jobs = append(report.Jobs, schedule.JobElsewhere{
			Job: workload.JobID(j.GetJob()), Shard: int(j.GetShard()), Entry: schedule.EntryID(j.GetEntry()), Copied: j.GetCopied(),
		})
	}
	return report
}
