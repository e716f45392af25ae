package dispatch_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

var fuzzSelf = task.Incarnation{Node: "n", Run: 1}

func fuzzSettings() *pb.Settings {
	return &pb.Settings{Version: 1, Institutions: []*pb.Institution{{
		Name: "hollowell", ResponseTimeMs: 5000, ResubmitWindowS: 60,
		TokenSha256: []string{"8ba8b5d73a1cbfe1f1bcd2a1d1a6bba7b93d4e4e8f9f86f9e9ff1e6e3a4b7f10"},
		Teams:       []*pb.Team{{Name: "kitchens", QuotaSlots: 8}},
		Services: []*pb.Service{
			{Name: "labels", Idempotent: true, RunTimeMs: 50, MaxTasks: 4, MaxPayloadBytes: 16},
			{Name: "settle", RunTimeMs: 50, MaxTasks: 4, MaxPayloadBytes: 16, Teams: []string{"kitchens"}},
		},
	}}}
}

// FuzzSubmission submits any bytes that decode as a submission. The request must be
// answered exactly once and with its own id. It must not be complete, because there are no
// upstreams.
func FuzzSubmission(f *testing.F) {
	issued := &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: fuzzSelf.Proto(), Number: 1}}}
	elsewhere := &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: &pb.Incarnation{Node: "m"}, Number: 9}}}
	own := &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: "lot-17"}}
	one := []*pb.Task{{Payload: []byte("milk")}}
	for _, s := range []*pb.Submission{
		{Id: issued, Service: "labels", Team: "kitchens", Tasks: one},
		{Id: issued, Service: "labels", TimeoutMs: 1, Tasks: []*pb.Task{{RunTimeMs: 1 << 31}, {}, {}, {}, {}}},
		{Id: elsewhere, Service: "labels", Tasks: one},
		{Id: own, Service: "settle", Team: "kitchens", Tasks: one},
		{Id: own, Service: "settle", Tasks: one},
		{Id: own, Service: "labels", Team: "nobody", Tasks: []*pb.Task{{Payload: make([]byte, 17)}}},
		{Id: own, Service: "none"},
	} {
		raw, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := &pb.Submission{}
		if proto.Unmarshal(raw, s) != nil || !task.IDOf("hollowell", s.GetId()).Valid() {
			return // rejected before it reaches the core
		}
		replies := submitAlone(s)
		if len(replies) != 1 {
			t.Fatalf("%d replies", len(replies))
		}
		a := replies[0].Answer
		if task.IDOf("", a.GetId()) != task.IDOf("", s.GetId()) {
			t.Fatalf("the answer is about %v", a.GetId())
		}
		if a.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE || a.GetOutcome() == pb.Outcome_OUTCOME_UNSPECIFIED {
			t.Fatalf("outcome %v", a.GetOutcome())
		}
	})
}

// submitAlone submits to a core without upstreams, peers or a table service, and advances
// the clock beyond every response time.
func submitAlone(s *pb.Submission) []dispatch.Reply {
	c := dispatch.New(dispatch.DefaultConfig(fuzzSelf, "d"))
	c.Step(0, dispatch.SettingsRead{Settings: fuzzSettings()})
	c.Step(0, dispatch.MembersChanged{Members: task.Members{Version: 1}})
	c.IssueIDs(0, 8)
	c.Step(0, dispatch.Submit{Request: 1, Institution: "hollowell", Submission: s})
	var replies []dispatch.Reply
	for now := time.Duration(0); now < 20*time.Second; now += 500 * time.Millisecond {
		c.Tick(now)
		for _, cmd := range c.TakeCommands() {
			if r, ok := cmd.(dispatch.Reply); ok {
				replies = append(replies, r)
			}
		}
	}
	return replies
}
