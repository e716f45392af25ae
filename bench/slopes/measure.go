package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	institution      = "hollowell"
	service          = "labels"
	domain           = "loughborough"
	slotsPerUpstream = 8
	runs             = 5
	payloadBytes     = 200
	day              = 24 * time.Hour
	// teamQuota is below the number of slots, so that it takes effect.
	teamQuota = 100
)

var self = task.Incarnation{Node: "entry-0", Run: 1}

// declaredSettings returns settings with the given number of institutions, each with the given number of
// teams.
func declaredSettings(institutions, teams int) *pb.Settings {
	s := &pb.Settings{Version: 1}
	for i := range institutions {
		name := institution
		if i > 0 {
			name = fmt.Sprintf("%s-%d", institution, i)
		}
		token := sha256.Sum256([]byte(name))
		inst := &pb.Institution{
			Name: name, TokenSha256: []string{hex.EncodeToString(token[:])}, CapacityPercent: uint32(100 / institutions),
			Priority: 1, ResponseTimeMs: 60_000, BorrowToleranceMs: 50, RetryPercent: 20, ResubmitWindowS: 3600,
			Services: []*pb.Service{{Name: service, Idempotent: true, RunTimeMs: 200, CpuMillis: 500, MemoryMib: 128, MaxTasks: 980, MaxPayloadBytes: 65536}},
		}
		for t := range teams {
			inst.Teams = append(inst.Teams, &pb.Team{Name: fmt.Sprintf("team-%d", t), QuotaSlots: 1_000_000})
		}
		s.Institutions = append(s.Institutions, inst)
	}
	return s
}

func membersOf(upstreams, nodes int) task.Members {
	m := task.Members{Version: 1}
	for i := range nodes {
		m.Nodes = append(m.Nodes, task.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: domain})
	}
	for i := range upstreams {
		m.Upstreams = append(m.Upstreams, task.Upstream{
			Name: fmt.Sprintf("upstream-%05d", i), FailureDomain: domain, Institution: institution, Slots: slotsPerUpstream,
			Worker: fmt.Sprintf("worker-%05d", i), Rack: fmt.Sprintf("rack-%04d", i/slotsPerUpstream),
		})
	}
	return m
}

// newCore returns a core with settings and members, which owns all slots.
func newCore(upstreams int) *dispatch.Core {
	cfg := dispatch.DefaultConfig(self, domain)
	cfg.MaxQueuedTasks = 1 << 30
	c := dispatch.New(cfg)
	c.Step(0, dispatch.SettingsRead{Settings: declaredSettings(1, 1)})
	c.Step(0, dispatch.MembersChanged{Members: membersOf(upstreams, 1)})
	c.TakeCommands()
	return c
}

func submission(number uint64, tasks int) *pb.Submission {
	s := &pb.Submission{
		Id:      &pb.SubmissionId{Kind: &pb.SubmissionId_Issued{Issued: &pb.IssuedId{Holder: self.Proto(), Number: number}}},
		Service: service,
	}
	payload := make([]byte, payloadBytes)
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: payload})
	}
	return s
}

// driver runs jobs through a core. Each task finishes as soon as it is started.
type driver struct {
	core       *dispatch.Core
	now        task.Time
	lastNumber uint64
}

func (d *driver) run(jobs, tasks int) {
	output := make([]byte, payloadBytes)
	for range jobs {
		d.lastNumber++
		if d.lastNumber%1024 == 1 {
			d.core.IssueIDs(d.now, 1024)
		}
		d.now += time.Millisecond
		d.core.Step(d.now, dispatch.Submit{Request: d.lastNumber, Institution: institution, Submission: submission(d.lastNumber, tasks)})
		for {
			commands := d.core.TakeCommands()
			if len(commands) == 0 {
				break
			}
			d.answer(commands, output)
		}
	}
}

func (d *driver) answer(commands []dispatch.Command, output []byte) {
	for _, cmd := range commands {
		if st, ok := cmd.(dispatch.StartTask); ok {
			d.core.Step(d.now, dispatch.StartResult{Start: st.Start, Result: task.Result{Verdict: task.Finished, Output: output}})
		}
	}
}

func timed(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began)
}

func microseconds(d time.Duration, n int) float64 {
	return float64(d.Nanoseconds()) / 1e3 / float64(n)
}

// taskTime measures a whole job in the core, by its number of tasks.
func taskTime() series {
	s := series{name: "dispatch core, one job", per: "task", unit: "µs"}
	for _, tasks := range []int{1, 10, 50, 200, 980} {
		jobs := 40_000 / (tasks + 10)
		took := fastest(runs, func() time.Duration {
			d := &driver{core: newCore(48)}
			return timed(func() { d.run(jobs, tasks) })
		})
		s.points = append(s.points, point{float64(tasks), microseconds(took, jobs)})
	}
	return s
}

// retainedResults measures the memory of ended jobs of one task whose results are retained.
func retainedResults() series {
	s := series{name: "retained results (200 B of output)", per: "answer", unit: "B"}
	for _, jobs := range []int{2_000, 10_000, 20_000, 40_000} {
		d := &driver{core: newCore(48)}
		before := liveHeapBytes()
		d.run(jobs, 1)
		s.points = append(s.points, point{float64(jobs), liveHeapBytes() - before})
		runtime.KeepAlive(d)
	}
	return s
}

var upstreamCounts = []int{48, 500, 2000, 6700}

// membersTime measures the processing of a changed list of VMs.
func membersTime() series {
	s := series{name: "processing the list of VMs", per: "upstream", unit: "µs"}
	for _, n := range upstreamCounts {
		c := newCore(n)
		version := uint64(1)
		took := fastest(runs, func() time.Duration {
			version++
			m := membersOf(n, 1)
			m.Version = version
			return timed(func() { c.Step(0, dispatch.MembersChanged{Members: m}) })
		})
		s.points = append(s.points, point{float64(n), microseconds(took, 1)})
	}
	return s
}

// membersMemory measures the core's state of slots and upstreams.
func membersMemory() series {
	s := series{name: "state of upstreams and their 8 slots", per: "upstream", unit: "B"}
	for _, n := range upstreamCounts {
		before := liveHeapBytes()
		c := newCore(n)
		s.points = append(s.points, point{float64(n), liveHeapBytes() - before})
		runtime.KeepAlive(c)
	}
	return s
}

// membersBytes measures the list of VMs on the wire.
func membersBytes() series {
	s := series{name: "list of VMs on the wire", per: "upstream", unit: "B"}
	for _, n := range upstreamCounts {
		list := &platformv1.ListResponse{Version: 1}
		for _, u := range membersOf(n, 0).Upstreams {
			list.Members = append(list.Members, &platformv1.Member{
				Name: u.Name, Role: platformv1.Role_ROLE_UPSTREAM, Address: "10.100.200.30:8080", FailureDomain: u.FailureDomain,
				Worker: u.Worker, Rack: u.Rack, Institution: u.Institution, Slots: u.Slots,
			})
		}
		s.points = append(s.points, point{float64(n), float64(proto.Size(list))})
	}
	return s
}

// placementTime measures a job of one task, by the number of upstreams.
func placementTime() series {
	s := series{name: "one job of one task, from submission to answer", per: "doubling of upstreams", unit: "µs"}
	const jobs = 5_000
	doublings := 0.0
	for n := 50; n <= 6400; n *= 2 {
		took := fastest(runs, func() time.Duration {
			d := &driver{core: newCore(n)}
			return timed(func() { d.run(jobs, 1) })
		})
		s.points = append(s.points, point{doublings, microseconds(took, jobs)})
		doublings++
	}
	return s
}

var peerCounts = []int{6, 20, 50, 100, 200}

// statusRound connects peers and runs status intervals, in each of which every peer's status arrives
// once. It returns the mean time taken and the mean number of bytes sent in an interval.
func statusRound(peers, teams int) (time.Duration, int) {
	cfg := dispatch.DefaultConfig(self, domain)
	c := newCore(48)
	quotas := declaredSettings(1, teams)
	quotas.Version = 2
	for _, t := range quotas.Institutions[0].Teams {
		t.QuotaSlots = teamQuota
	}
	c.Step(0, dispatch.SettingsRead{Settings: quotas})
	for i := 1; i <= peers; i++ {
		inc := task.Incarnation{Node: fmt.Sprintf("entry-%d", i), Run: uint64(i)}
		c.Step(0, dispatch.PeerUp{Peer: inc, FailureDomain: domain})
	}
	c.TakeCommands()
	bytes := 0
	const rounds = 20
	var took time.Duration
	for r := 1; r <= rounds; r++ {
		now := time.Duration(r) * cfg.StatusInterval
		messages := make([]*pb.PeerMessage, peers)
		for i := range messages {
			messages[i] = &pb.PeerMessage{Status: &pb.PeerStatus{Sequence: uint64(r), SettingsVersion: 1, IdleSlots: 10}}
		}
		took += timed(func() {
			c.Tick(now)
			for i, m := range messages {
				inc := task.Incarnation{Node: fmt.Sprintf("entry-%d", i+1), Run: uint64(i + 1)}
				c.Step(now, dispatch.PeerMessage{Peer: inc, Message: m})
			}
		})
		for _, cmd := range c.TakeCommands() {
			if send, ok := cmd.(dispatch.Send); ok {
				bytes += proto.Size(send.Message)
			}
		}
	}
	return took / rounds, bytes / rounds
}

// statusTime measures the receipt of one status, by the number of upstreams.
func statusTime() series {
	s := series{name: "one status received", per: "upstream", unit: "µs"}
	const statuses = 2_000
	peer := task.Incarnation{Node: "entry-1", Run: 1}
	for _, n := range upstreamCounts {
		took := fastest(runs, func() time.Duration {
			c := newCore(n)
			c.Step(0, dispatch.PeerUp{Peer: peer, FailureDomain: domain})
			return timed(func() {
				for i := range statuses {
					m := &pb.PeerMessage{Status: &pb.PeerStatus{Sequence: uint64(i + 1), SettingsVersion: 1, IdleSlots: 10}}
					c.Step(0, dispatch.PeerMessage{Peer: peer, Message: m})
					c.TakeCommands()
				}
			})
		})
		s.points = append(s.points, point{float64(n), microseconds(took, statuses)})
	}
	return s
}

// peersTime measures sending and receiving one round of statuses.
func peersTime() series {
	s := series{name: "one round of statuses, core", per: "peer", unit: "µs"}
	for _, n := range peerCounts {
		took := fastest(runs, func() time.Duration {
			d, _ := statusRound(n, 1)
			return d
		})
		s.points = append(s.points, point{float64(n), microseconds(took, 1)})
	}
	return s
}

// peersBytes measures the statuses sent in one round, without QUIC's own bytes.
func peersBytes() series {
	s := series{name: "one round of statuses, payload sent", per: "peer", unit: "B"}
	for _, n := range peerCounts {
		_, b := statusRound(n, 1)
		s.points = append(s.points, point{float64(n), float64(b)})
	}
	return s
}

// quotasTime measures one status interval with six peers, by the number of teams with a quota.
func quotasTime() series {
	s := series{name: "one status interval among 6 peers, core", per: "team with a quota", unit: "µs"}
	for _, n := range teamCounts {
		took := fastest(runs, func() time.Duration {
			d, _ := statusRound(6, n)
			return d
		})
		s.points = append(s.points, point{float64(n), microseconds(took, 1)})
	}
	return s
}

// quotasBytes measures the statuses of one interval to six peers, by the number of teams.
func quotasBytes() series {
	s := series{name: "statuses of one interval to 6 peers, payload sent", per: "team with a quota", unit: "B"}
	for _, n := range teamCounts {
		_, b := statusRound(6, n)
		s.points = append(s.points, point{float64(n), float64(b)})
	}
	return s
}

var teamCounts = []int{10, 100, 480, 1000}

// teamsTime measures the check and application of one settings change.
func teamsTime() series {
	s := series{name: "check and apply one settings change", per: "team", unit: "µs"}
	for _, n := range teamCounts {
		d := declaredSettings(1, n)
		took := fastest(runs, func() time.Duration {
			return timed(func() { settings.NewState().Offer(d) })
		})
		s.points = append(s.points, point{float64(n), microseconds(took, 1)})
	}
	return s
}

// teamsBytes measures the settings on the wire.
func teamsBytes() series {
	s := series{name: "settings on the wire", per: "team", unit: "B"}
	for _, n := range teamCounts {
		s.points = append(s.points, point{float64(n), float64(proto.Size(declaredSettings(1, n)))})
	}
	return s
}

// institutionsTime measures a job of one task, by the number of declared institutions.
func institutionsTime() series {
	s := series{name: "one job of one task, from submission to answer", per: "institution", unit: "µs"}
	const jobs = 5_000
	for _, n := range []int{1, 5, 20, 50} {
		took := fastest(runs, func() time.Duration {
			d := &driver{core: newCore(48)}
			next := declaredSettings(n, 1)
			next.Version = 2
			d.core.Step(0, dispatch.SettingsRead{Settings: next})
			d.core.TakeCommands()
			return timed(func() { d.run(jobs, 1) })
		})
		s.points = append(s.points, point{float64(n), microseconds(took, jobs)})
	}
	return s
}

// claimBytes measures a transaction of claim rows on the wire.
func claimBytes() series {
	s := series{name: "claim transaction on the wire", per: "claim", unit: "B"}
	for _, n := range []int{1, 10, 50, 100} {
		req := &platformv1.CommitRequest{}
		for i := range n {
			id := task.ID{Institution: institution, OwnKey: fmt.Sprintf("settlement-2026-12-02-%06d", i)}
			digest := sha256.Sum256([]byte(id.OwnKey))
			value, err := proto.Marshal(&pb.ClaimRow{Holder: self.Proto(), Digest: digest[:]})
			if err != nil {
				panic(err)
			}
			req.Writes = append(req.Writes, &platformv1.Write{Key: "claim/" + id.String(), Value: value, TtlS: uint32(day.Seconds())})
		}
		s.points = append(s.points, point{float64(n), float64(proto.Size(req))})
	}
	return s
}
