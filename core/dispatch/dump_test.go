package dispatch_test

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Operators have only the dump to find out why a job is not done; a wrong reason directs
// them to the wrong VM.
func TestDumpNamesWhatEachJobWaitsFor(t *testing.T) {
	two := &pb.Submission{Service: "labels", Team: "kitchens", Tasks: []*pb.Task{{}, {}}}
	cases := []struct {
		name, own string
		slots     uint32
		change    func(*pb.Institution)
		after     func(*dispatch.Core)
		want      string
	}{
		{name: "claim", own: "lot-17", slots: 1, want: "its claim in the table service"},
		{name: "slot", slots: 1, want: "an idle slot"},
		{name: "ceiling", slots: 4, change: func(i *pb.Institution) { i.CeilingSlots, i.Teams[0].QuotaSlots = 1, 1 }, want: "the ceiling of its institution"},
		{name: "quota", slots: 4, change: func(i *pb.Institution) { i.Teams[0].QuotaSlots = 1 }, want: "the quota of its team"},
		{name: "running", slots: 2, want: "its running tasks"},
		{name: "nobody", slots: 0, after: func(c *dispatch.Core) { c.Step(1, dispatch.CallerGone{Request: 1}) }, want: "a caller: nobody asks for it at present"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := fuzzSettings()
			s.Institutions[0].Teams[0].QuotaSlots = 100
			if tc.change != nil {
				tc.change(s.Institutions[0])
			}
			c := dispatch.New(dispatch.DefaultConfig(fuzzSelf, "d"))
			c.Step(0, dispatch.SettingsRead{Settings: s})
			m := task.Members{Version: 1, Nodes: []task.Node{{Name: fuzzSelf.Node, FailureDomain: "d"}}}
			if tc.slots > 0 {
				m.Upstreams = []task.Upstream{{Name: "u", FailureDomain: "d", Worker: "w", Rack: "r", Institution: "hollowell", Slots: tc.slots}}
			}
			c.Step(0, dispatch.MembersChanged{Members: m})
			job := proto.CloneOf(two)
			job.Id = &pb.SubmissionId{Kind: &pb.SubmissionId_OwnKey{OwnKey: tc.own}}
			if tc.own == "" {
				block := c.IssueIDs(0, 1)
				job.Id.Kind = &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: block.GetHolder(), Number: block.GetFirst()}}
			}
			c.Step(0, dispatch.Submit{Request: 1, Institution: "hollowell", Submission: job})
			if tc.after != nil {
				tc.after(c)
			}
			d := c.Dump()
			g.Expect(d.Submissions).To(gomega.HaveLen(1))
			g.Expect(d.Submissions[0].WaitsFor).To(gomega.Equal(tc.want))
			g.Expect(d.Slots.Busy + d.Slots.Idle).To(gomega.BeEquivalentTo(tc.slots))
			g.Expect(d.Slots.Busy).To(gomega.Equal(d.Submissions[0].Running))
		})
	}
}
