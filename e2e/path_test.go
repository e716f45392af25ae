package e2e

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

// apply applies settings through an entry's operator listener.
func apply(e *entry, expected uint64, s *pb.Settings) error {
	rpc := sapphirepointv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+e.operatorAddress)
	req := connect.NewRequest(&pb.ApplySettingsRequest{ExpectedVersion: expected, Settings: s})
	req.Header().Set("Authorization", "Bearer "+operatorToken)
	_, err := rpc.ApplySettings(context.Background(), req)
	return err
}

var _ = Describe("the whole path", func() {
	It("returns complete answers through any entry, for both kinds of id", func(ctx SpecContext) {
		d := deploy([]string{"loughborough", "melton"}, 1, 2)
		for _, e := range d.entries {
			a, err := e.client().Submit(ctx, labelJob(40, 10))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
			Expect(a.GetResults()).To(HaveLen(40))
		}
		s := labelJob(1, 10)
		s.Service = "settle"
		s.Id = client.OwnKey("lot-17")
		first, err := d.entries[0].client().Submit(ctx, s)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetOutcome()).To(Equal(pb.Outcome_OUTCOME_COMPLETE))
		again, err := d.entries[1].client().Submit(ctx, s)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.GetResults()).To(HaveLen(1))
		Expect(d.totalStarts()).To(HaveLen(81))
		d.expectNoSecondStart()
	})
})
