package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	"sapphirepoint.example/sapphirepoint/gen/platformv1/platformv1connect"
	"sapphirepoint.example/sapphirepoint/standin/platform"
)

// A reader that has the current version gets no data again. Every entry process reads the settings
// and the list of VMs once a second. If the list of a large deployment were sent whole each time, it
// alone would take 200 times the bandwidth that a VM may spend on control traffic.
func TestUnchangedDataIsNotSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	p := platform.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	table := platformv1connect.NewTableServiceClient(server.Client(), server.URL)
	list := platformv1connect.NewMembershipServiceClient(server.Client(), server.URL)
	_, err := table.Commit(ctx, connect.NewRequest(&platformv1.CommitRequest{Writes: []*platformv1.Write{{Key: "k", Value: []byte("v")}}}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := func(known uint64) *platformv1.Row {
		res, err := table.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{Keys: []string{"k"}, KnownVersions: []uint64{known}}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return res.Msg.GetRows()[0]
	}
	g.Expect(read(0).GetValue()).To(gomega.Equal([]byte("v")))
	g.Expect(read(1).GetValue()).To(gomega.BeEmpty())
	g.Expect(read(1).GetVersion()).To(gomega.Equal(uint64(1)))
	p.SetMembers([]*platformv1.Member{{Name: "u"}})
	members := func(known uint64) *platformv1.ListResponse {
		res, err := list.List(ctx, connect.NewRequest(&platformv1.ListRequest{KnownVersion: known}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return res.Msg
	}
	g.Expect(members(0).GetMembers()).To(gomega.HaveLen(1))
	g.Expect(members(1).GetMembers()).To(gomega.BeEmpty())
	g.Expect(members(1).GetVersion()).To(gomega.Equal(uint64(1)))
}
