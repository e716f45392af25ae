package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// roomRequestMessage converts a request for room.
func roomRequestMessage(m fleet.RoomRequest) *pb.FleetMessage {
	request := &pb.RoomRequest{Shard: uint32(m.Shard), Borrower: uint32(m.Borrower)}
	for _, n := range m.Needs {
		request.Needs = append(request.Needs, &pb.RoomNeed{
			Job: string(n.Job), Service: n.Service,
			Step: stepMessage(n.Step), SlackMs: n.Slack.Milliseconds(),
		})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_RoomRequest{RoomRequest: request}}
}

func roomRequestOf(m *pb.RoomRequest) fleet.RoomRequest {
	request := fleet.RoomRequest{Shard: int(m.GetShard()), RoomRequest: schedule.RoomRequest{Borrower: int(m.GetBorrower())}}
	for _, n := range m.GetNeeds() {
		request.Needs = append(request.Needs, schedule.RoomNeed{
			Job: workload.JobID(n.GetJob()), Service: n.GetService(),
			Step: stepOf(n.GetStep()), Slack: milliseconds(n.GetSlackMs()),
		})
	}
	return request
}

func roomGrantMessage(m fleet.RoomGrant) *pb.FleetMessage {
	grant := &pb.RoomGrant{Shard: uint32(m.Shard), Lender: uint32(m.Lender)}
	for _, id := range m.Jobs {
		grant.Jobs = append(grant.Jobs, string(id))
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_RoomGrant{RoomGrant: grant}}
}

func roomGrantOf(m *pb.RoomGrant) fleet.RoomGrant {
	grant := fleet.RoomGrant{Shard: int(m.GetShard()), RoomGrant: schedule.RoomGrant{Lender: int(m.GetLender())}}
	for _, id := range m.GetJobs() {
		grant.Jobs = append(grant.Jobs, workload.JobID(id))
	}
	return grant
}

func loadMessages(list []fleet.ShardLoad) []*pb.ShardLoad {
	var loads []*pb.ShardLoad
	for _, l := range list {
		loads = append(loads, &pb.ShardLoad{
			Shard: uint32(l.Shard), WaitMs: uint32(l.ExpectedWait.Milliseconds()), IdleMilliCpu: uint64(l.IdleMilliCPU),
			RefusesMoves: l.RefusesMoves,
		})
	}
	return loads
}

func loadsOf(list []*pb.ShardLoad) []fleet.ShardLoad {
	var loads []fleet.ShardLoad
	for _, l := range list {
		loads = append(loads, fleet.ShardLoad{Shard: int(l.GetShard()), Load: schedule.Load{
			ExpectedWait: milliseconds(int64(l.GetWaitMs())), IdleMilliCPU: int(l.GetIdleMilliCpu()),
			RefusesMoves: l.GetRefusesMoves(),
		}})
	}
	return loads
}
