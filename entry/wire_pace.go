package entry

import (
	"math"
	"time"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/pace"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// learnedMessage converts what a leader has learned of runners and queues.
func learnedMessage(l fleet.LearnedPaces) *pb.FleetMessage {
	return &pb.FleetMessage{Body: &pb.FleetMessage_LearnedPaces{LearnedPaces: &pb.LearnedPaces{
		Shard:       uint32(l.Shard),
		Runners:     ratioMessages(l.Runners),
		RunnerKinds: ratioMessages(l.Kinds),
		Queues:      ratioMessages(l.Queues),
	}}}
}

func ratioMessages(list []pace.Ratio) []*pb.LearnedRatio {
	var messages []*pb.LearnedRatio
	for _, r := range list {
		age := min(max(0, r.Age.Milliseconds()), math.MaxUint32)
		messages = append(messages, &pb.LearnedRatio{Name: r.Name, Ratio: r.Value, Runs: r.Runs, AgeMs: uint32(age)})
	}
	return messages
}

// learnedOf converts the entries as they are; pace.Book ignores those that it can't use.
func learnedOf(m *pb.LearnedPaces) fleet.LearnedPaces {
	return fleet.LearnedPaces{Shard: int(m.GetShard()), Learned: pace.Learned{
		Runners: ratiosOf(m.GetRunners()),
		Kinds:   ratiosOf(m.GetRunnerKinds()),
		Queues:  ratiosOf(m.GetQueues()),
	}}
}

func ratiosOf(messages []*pb.LearnedRatio) []pace.Ratio {
	var list []pace.Ratio
	for _, m := range messages {
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		list = append(list, pace.Ratio{Name: m.GetName(), Value: m.GetRatio(), Runs: m.GetRuns(), Age: age})
	}
	return list
}
