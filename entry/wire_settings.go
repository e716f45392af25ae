package entry

import (
	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/routing"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Conversion of the configuration and of lists of runners, which come from the platform.

func declarationMessage(d *routing.Declaration) *pb.FleetMessage {
	m := &pb.Declaration{
		Version:         d.Version,
		HeaderBytes:     int32(d.Limits.HeaderBytes),
		BodyBytes:       int32(d.Limits.BodyBytes),
		HeaderTimeoutMs: d.Limits.HeaderTimeout.Milliseconds(),
		IdleTimeoutMs:   d.Limits.IdleTimeout.Milliseconds(),
	}
	for _, r := range d.Routes {
		m.Routes = append(m.Routes, &pb.DeclaredRoute{
			Name:        r.Name,
			Host:        r.Host,
			Prefix:      r.Prefix,
			Service:     r.Service,
			Priority:    int32(r.Priority),
			MaxAttempts: int32(r.MaxAttempts),
			Stretch:     r.Stretch,
			TargetMs:    r.Target.Milliseconds(),
			TimeoutMs:   r.Timeout.Milliseconds(),
			Advised:     r.Advised,
		})
	}
	for _, s := range d.Services {
		m.Services = append(m.Services, &pb.DeclaredService{Name: s.Name, MaxConns: int32(s.MaxConns)})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Declaration{Declaration: m}}
}

func declarationOf(m *pb.Declaration) *routing.Declaration {
	d := &routing.Declaration{
		Version: m.GetVersion(),
		Limits: routing.Limits{
			HeaderBytes:   int(m.GetHeaderBytes()),
			BodyBytes:     int(m.GetBodyBytes()),
			HeaderTimeout: milliseconds(m.GetHeaderTimeoutMs()),
			IdleTimeout:   milliseconds(m.GetIdleTimeoutMs()),
		},
	}
	for _, r := range m.GetRoutes() {
		d.Routes = append(d.Routes, routing.Route{
			Name:        r.GetName(),
			Host:        r.GetHost(),
			Prefix:      r.GetPrefix(),
			Service:     r.GetService(),
			Priority:    int(r.GetPriority()),
			MaxAttempts: int(r.GetMaxAttempts()),
			Stretch:     r.GetStretch(),
			Target:      milliseconds(r.GetTargetMs()),
			Timeout:     milliseconds(r.GetTimeoutMs()),
			Advised:     r.GetAdvised(),
		})
	}
	for _, s := range m.GetServices() {
		d.Services = append(d.Services, routing.Service{Name: s.GetName(), MaxConns: int(s.GetMaxConns())})
	}
	return d
}

func runnersMessage(l fleet.RunnerList) *pb.FleetMessage {
	m := &pb.RunnerList{Revision: l.Revision, Handover: l.Handover, InUse: l.InUse}
	for _, r := range l.Runners {
		m.Runners = append(m.Runners, &pb.FleetRunner{
			Id:       string(r.ID),
			Service:  r.Service,
			Address:  r.Address,
			Domain:   r.Domain,
			Rack:     r.Rack,
			Labels:   r.Labels,
			MilliCpu: int64(r.Capacity.MilliCPU),
			MemoryMb: int64(r.Capacity.MemoryMB),
			Gpu:      int64(r.Capacity.GPU),
			Draining: r.Draining,
			Lapsed:   r.EntryExpired,
			Revision: r.Revision,
			Born:     r.IncarnationStart,
		})
	}
	return &pb.FleetMessage{Body: &pb.FleetMessage_Runners{Runners: m}}
}

func runnersOf(m *pb.RunnerList) fleet.RunnerList {
	l := fleet.RunnerList{Revision: m.GetRevision(), Handover: m.GetHandover(), InUse: m.GetInUse()}
	for _, r := range m.GetRunners() {
		l.Runners = append(l.Runners, workload.Runner{
			ID:      workload.RunnerID(r.GetId()),
			Service: r.GetService(),
			Address: r.GetAddress(),
			Domain:  r.GetDomain(),
			Rack:    r.GetRack(),
			Labels:  r.GetLabels(),
			Capacity: workload.Resources{
				MilliCPU: int(r.GetMilliCpu()),
				MemoryMB: int(r.GetMemoryMb()),
				GPU:      int(r.GetGpu()),
			},
			Draining:         r.GetDraining(),
			EntryExpired:     r.GetLapsed(),
			Revision:         r.GetRevision(),
			IncarnationStart: r.GetBorn(),
		})
	}
	return l
}
