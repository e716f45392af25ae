package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/ledger"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// jobMoveMessage converts a message about a job that moves to another shard.
func jobMoveMessage(m fleet.JobMove) *pb.FleetMessage {
	move := &pb.JobMove{
		Shard:  uint32(m.Shard),
		From:   uint32(m.From),
		Job:    jobMessage(m.Job),
		AgeMs:  m.Age.Milliseconds(),
		Hand:   uint32(m.Hand),
		Unseen: m.Unseen,
	}
	for _, d := range m.Done {
		move.Done = append(move.Done, d)
	}
	for _, f := range m.Failures {
		move.Failures = append(move.Failures, &pb.FailedRun{Step: uint32(f.Step), Index: uint32(f.Index), Run: uint32(f.Run)})
	}
	for _, l := range m.Losses {
		move.Losses = append(move.Losses, lossMessage(l))
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_JobMove{JobMove: move}}
}

func jobMoveOf(m *pb.JobMove) fleet.JobMove {
	move := fleet.JobMove{Shard: int(m.GetShard()), MovedJob: schedule.MovedJob{
		From:   int(m.GetFrom()),
		Job:    jobOf(m.GetJob()),
		Age:    milliseconds(m.GetAgeMs()),
		Hand:   int(m.GetHand()),
		Unseen: m.GetUnseen(),
	}}
	for _, d := range m.GetDone() {
		move.Done = append(move.Done, ledger.Bits(d))
	}
	for _, f := range m.GetFailures() {
		move.Failures = append(move.Failures, ledger.Failure{Step: int(f.GetStep()), Index: int(f.GetIndex()), Run: int(f.GetRun())})
	}
	for _, l := range m.GetLosses() {
		move.Losses = append(move.Losses, lossOf(l))
	}
	return move
}

func lossMessage(l ledger.Loss) *pb.LostRunner {
	return &pb.LostRunner{
		Step: uint32(l.Step), Index: uint32(l.Index),
		Runner: string(l.Runner), Born: l.Incarnation, Begun: l.Begun, Restarted: l.Restarted,
	}
}

func lossOf(m *pb.LostRunner) ledger.Loss {
	return ledger.Loss{
		Step: int(m.GetStep()), Index: int(m.GetIndex()),
		Runner: workload.RunnerID(m.GetRunner()), Incarnation: m.GetBorn(), Begun: m.GetBegun(), Restarted: m.GetRestarted(),
	}
}
