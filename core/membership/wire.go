package membership

import (
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
)

// MaxSlots is the highest number of slots that is accepted for one upstream. A corrupted
// number would otherwise make every process that reads the list reserve memory until it
// crashes.
const MaxSlots = 10_000

// FromProto converts the platform's list. Members of an unknown role are skipped: a newer
// platform may list members that this version can't use.
func FromProto(res *platformv1.ListResponse) task.Members {
	m := task.Members{Version: res.GetVersion()}
	for _, e := range res.GetMembers() {
		switch e.GetRole() {
		case platformv1.Role_ROLE_ENTRY:
			m.Nodes = append(m.Nodes, task.Node{
				Name:          e.GetName(),
				Address:       e.GetAddress(),
				FailureDomain: e.GetFailureDomain(),
				Leaving:       e.GetLeaving(),
			})
		case platformv1.Role_ROLE_UPSTREAM:
			m.Upstreams = append(m.Upstreams, task.Upstream{
				Name:          e.GetName(),
				Address:       e.GetAddress(),
				FailureDomain: e.GetFailureDomain(),
				Worker:        e.GetWorker(),
				Rack:          e.GetRack(),
				Institution:   e.GetInstitution(),
				Slots:         min(e.GetSlots(), MaxSlots),
				Leaving:       e.GetLeaving(),
				CPUMillis:     e.GetCpuMillis(),
				MemoryMiB:     e.GetMemoryMib(),
			})
		}
	}
	return m
}

// ToProto converts a list for sending to a peer.
func ToProto(m task.Members) *platformv1.ListResponse {
	res := &platformv1.ListResponse{Version: m.Version}
	for _, n := range m.Nodes {
		res.Members = append(res.Members, &platformv1.Member{
			Name:          n.Name,
			Role:          platformv1.Role_ROLE_ENTRY,
			Address:       n.Address,
			FailureDomain: n.FailureDomain,
			Leaving:       n.Leaving,
		})
	}
	for _, u := range m.Upstreams {
		res.Members = append(res.Members, &platformv1.Member{
			Name:          u.Name,
			Role:          platformv1.Role_ROLE_UPSTREAM,
			Address:       u.Address,
			FailureDomain: u.FailureDomain,
			Worker:        u.Worker,
			Rack:          u.Rack,
			Institution:   u.Institution,
			Slots:         u.Slots,
			Leaving:       u.Leaving,
			CpuMillis:     u.CPUMillis,
			MemoryMib:     u.MemoryMiB,
		})
	}
	return res
}
