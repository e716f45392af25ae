package node

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/upstream"
)

func delimited(m proto.Message) []byte {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func testSettings() *pb.Settings {
	return &pb.Settings{Version: 1, Institutions: []*pb.Institution{{
		Name:            "hollowell",
		TokenSha256:     []string{strings.Repeat("0a", 32)},
		ResponseTimeMs:  1000,
		ResubmitWindowS: 60,
		Services:        []*pb.Service{{Name: "labels", Idempotent: true, RunTimeMs: 1, MaxTasks: 10, MaxPayloadBytes: 100}},
	}}}
}

// peerSeeds returns one message of each kind.
func peerSeeds(self, peer task.Incarnation) []*pb.PeerMessage {
	id := task.ID{Institution: "hollowell", Holder: self, Number: 1}.Proto()
	s := &pb.Submission{Id: id, Service: "labels", Tasks: []*pb.Task{{Payload: []byte("x")}}}
	slot := []*pb.Slot{{Upstream: "u", Index: 1}}
	return []*pb.PeerMessage{
		{Status: &pb.PeerStatus{Sequence: 9, SettingsVersion: 3, MembersVersion: 4, Stopping: true}},
		{Body: &pb.PeerMessage_Forward{Forward: &pb.Forward{Request: 1, Institution: "hollowell", Submission: s, RemainingMs: 50, Holder: self.Proto()}}},
		{Body: &pb.PeerMessage_ForwardAnswer{ForwardAnswer: &pb.ForwardAnswer{Request: 1, Answer: &pb.Answer{Id: id}}}},
		{Body: &pb.PeerMessage_ForwardCancel{ForwardCancel: &pb.ForwardCancel{Request: 2, Institution: "hollowell", Id: id}}},
		{Body: &pb.PeerMessage_BorrowRequest{BorrowRequest: &pb.BorrowRequest{Request: 1, Count: 4, Institution: "hollowell"}}},
		{Body: &pb.PeerMessage_LendGrant{LendGrant: &pb.LendGrant{Request: 1, Loan: 1, Slots: slot, ValidMs: 100}}},
		{Returns: []*pb.LendReturn{{Loan: 1, Slots: slot}}},
		{Body: &pb.PeerMessage_SettingsPull{SettingsPull: &pb.SettingsPull{}}},
		{Body: &pb.PeerMessage_Settings{Settings: testSettings()}},
		{Body: &pb.PeerMessage_Handover{Handover: &pb.Handover{Sequence: 1, From: peer.Proto(), Claims: []*pb.HandedClaim{{Institution: "hollowell", Answer: &pb.Answer{Id: id}, KeepMs: 100}}, Last: true}}},
		{Body: &pb.PeerMessage_HandoverAck{HandoverAck: &pb.HandoverAck{Sequence: 1}}},
		{Body: &pb.PeerMessage_MembersPull{MembersPull: &pb.MembersPull{}}},
		{Body: &pb.PeerMessage_Members{Members: &platformv1.ListResponse{Version: 5, Members: []*platformv1.Member{
			{Name: "a", Role: platformv1.Role_ROLE_ENTRY},
			{Name: "u", Role: platformv1.Role_ROLE_UPSTREAM, FailureDomain: "d", Institution: "hollowell", Slots: 2},
		}}}},
	}
}

// FuzzPeerMessages handles arbitrary messages of a peer. A message that crashes one
// process would crash all that it is sent to.
func FuzzPeerMessages(f *testing.F) {
	self, peer := task.Incarnation{Node: "a", Run: 1}, task.Incarnation{Node: "b", Run: 2}
	var all []byte
	for _, m := range peerSeeds(self, peer) {
		f.Add(delimited(m))
		all = append(all, delimited(m)...)
	}
	f.Add(all)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := dispatch.New(dispatch.DefaultConfig(self, "d"))
		c.Step(0, dispatch.SettingsRead{Settings: testSettings()})
		c.Step(0, dispatch.MembersChanged{Members: task.Members{Version: 1, Upstreams: []task.Upstream{{Name: "u", FailureDomain: "d", Institution: "hollowell", Slots: 2}}}})
		c.Step(0, dispatch.PeerUp{Peer: peer, FailureDomain: "e"})
		c.IssueIDs(0, 2)
		r := bufio.NewReader(bytes.NewReader(data))
		for now := task.Time(0); ; now += 1e9 {
			m := &pb.PeerMessage{}
			if readMessage(r, m) != nil {
				break
			}
			c.Step(now, dispatch.PeerMessage{Peer: peer, Message: m})
			for _, cmd := range c.TakeCommands() {
				if send, ok := cmd.(dispatch.Send); ok {
					delimited(send.Message)
				}
			}
		}
		c.Dump()
	})
}

// FuzzHello decodes the first message on a connection.
func FuzzHello(f *testing.F) {
	f.Add(delimited(&pb.Hello{Incarnation: &pb.Incarnation{Node: "a", Run: 7}, FailureDomain: "d"}))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		hello := &pb.Hello{}
		if readMessage(bufio.NewReader(bytes.NewReader(data)), hello) == nil {
			_ = task.IncarnationOf(hello.GetIncarnation()).String()
		}
	})
}

// FuzzClaimRow decodes claim rows. A malformed row must not be taken for a claim of
// this process.
func FuzzClaimRow(f *testing.F) {
	id := task.ID{Institution: "hollowell", OwnKey: "lot-1"}
	row, _ := proto.Marshal(&pb.ClaimRow{Holder: &pb.Incarnation{Node: "a", Run: 7}, Digest: bytes.Repeat([]byte{1}, 32)})
	f.Add(claimPrefix+id.String(), row)
	f.Add("settings", []byte("x"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		cf, err := decodeConflict(map[string]task.ID{claimPrefix + id.String(): id}, &platformv1.Row{Key: key, Value: value})
		if err == nil && (cf.ID != id || cf.Holder.Node == "") {
			t.Fatalf("%q passes for a claim of %v by %v", key, cf.ID, cf.Holder)
		}
	})
}

// FuzzSettingsRow decodes settings rows. Invalid settings must not come into force.
func FuzzSettingsRow(f *testing.F) {
	value, _ := proto.Marshal(testSettings())
	f.Add(value, uint64(1))
	f.Add([]byte("x"), uint64(2))
	f.Fuzz(func(t *testing.T, value []byte, version uint64) {
		s, _, err := decodeSettingsRow([]*platformv1.Row{{Value: value, Version: version}})
		if err != nil {
			return
		}
		state := settings.NewState()
		if state.Offer(s) && (settings.Validate(state.Current()) != nil || state.Version() == 0) {
			t.Fatalf("invalid settings in force: %v", s)
		}
	})
}

// FuzzUpstreamAnswer decodes answers of upstreams. Only the verdict not-started may
// count as proof that a task didn't start.
func FuzzUpstreamAnswer(f *testing.F) {
	for _, v := range []string{upstream.VerdictFinished, upstream.VerdictFailed, upstream.VerdictNotStarted, upstream.VerdictRunning, "", "done"} {
		f.Add(200, v, "run", []byte("output"))
	}
	f.Add(503, "", "", []byte{})
	f.Fuzz(func(t *testing.T, status int, sentVerdict, run string, body []byte) {
		h := http.Header{}
		h.Set(upstream.HeaderVerdict, sentVerdict)
		h.Set(upstream.HeaderRun, run)
		r := resultOf(&http.Response{StatusCode: status, Status: "status", Header: h}, body)
		if r.Verdict == task.NotStarted && sentVerdict != upstream.VerdictNotStarted {
			t.Fatalf("%q counts as not started", sentVerdict)
		}
		if r.Verdict == task.Finished && !bytes.Equal(r.Output, body) {
			t.Fatal("another output")
		}
	})
}
