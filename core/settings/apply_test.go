package settings_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sapphirepoint.example/sapphirepoint/core/settings"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

// declared returns settings that differ only in the response time. The test draws it from two
// values, so that concurrent operators often apply the same content.
func declared(responseTime uint32) *pb.Settings {
	return &pb.Settings{Institutions: []*pb.Institution{{
		Name:            "hollowell",
		TokenSha256:     []string{fmt.Sprintf("%064x", 1)},
		ResponseTimeMs:  responseTime,
		ResubmitWindowS: 60,
		Services:        []*pb.Service{{Name: "labels", RunTimeMs: 1, MaxTasks: 1, MaxPayloadBytes: 1}},
	}}}
}

// pendingWrite is a conditional write of the settings row.
type pendingWrite struct {
	next       *pb.Settings
	rowVersion uint64
}

// simulation has the table service, the operators and the processes.
type simulation struct {
	// rowVersion and stored are the version and the content of the settings row.
	rowVersion uint64
	stored     *pb.Settings
	// committed has the number of the change that was committed as each settings version.
	committed map[uint64]uint64
	// delayed are writes that haven't arrived and whose operators got no reply.
	delayed   []pendingWrite
	operators []*settings.Apply
	processes [3]*settings.State
	// change is the number of the latest change.
	change uint64
	// versions are all contents that the row has had.
	versions []*pb.Settings
}

// commit carries out a conditional write, and reports whether the row had the version.
func (sim *simulation) commit(write pendingWrite) bool {
	if write.rowVersion != sim.rowVersion {
		return false
	}
	if _, taken := sim.committed[write.next.GetVersion()]; taken {
		panic("two changes of one version")
	}
	sim.rowVersion++
	sim.stored = write.next
	sim.committed[write.next.GetVersion()] = write.next.GetChange()
	sim.versions = append(sim.versions, write.next)
	return true
}

// addOperator starts a change by an operator, who sometimes expects another version than the row
// has.
func (sim *simulation) addOperator(t *rapid.T) {
	sim.change++
	expected := sim.stored.GetVersion()
	if rapid.IntRange(0, 3).Draw(t, "outdated") == 0 {
		expected = rapid.Uint64Range(0, expected+1).Draw(t, "expected")
	}
	sim.operators = append(sim.operators, settings.NewApply(expected, declared(rapid.Uint32Range(1, 2).Draw(t, "content")), sim.change))
}

// step executes one step of one operator, with a random fault of the table service.
func (sim *simulation) step(t *rapid.T) {
	if len(sim.operators) == 0 {
		return
	}
	apply := sim.operators[rapid.IntRange(max(0, len(sim.operators)-3), len(sim.operators)-1).Draw(t, "operator")]
	fault := rapid.SampledFrom([]string{"none", "none", "out", "reply lost", "late"}).Draw(t, "fault")
	switch apply.Step() {
	case settings.ApplyRead:
		apply.Read(sim.stored, sim.rowVersion, fault == "none")
	case settings.ApplyWrite:
		write := pendingWrite{apply.Next(), apply.RowVersion()}
		switch fault {
		case "none":
			apply.Written(sim.commit(write), true)
		case "reply lost":
			sim.commit(write)
			apply.Written(false, false)
		case "late":
			sim.delayed = append(sim.delayed, write)
			apply.Written(false, false)
		default:
			apply.Written(false, false)
		}
	}
}

// deliverDelayed delivers a delayed write to the table service.
func (sim *simulation) deliverDelayed(t *rapid.T) {
	if len(sim.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "late")
	sim.commit(sim.delayed[i])
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
}

// offerToProcess offers a process the row, an old version of it, or the settings of a peer.
func (sim *simulation) offerToProcess(t *rapid.T) {
	p := sim.processes[rapid.IntRange(0, 2).Draw(t, "process")]
	before := p.Version()
	switch rapid.IntRange(0, 2).Draw(t, "source") {
	case 0:
		p.Offer(sim.stored)
	case 1:
		p.Offer(sim.processes[rapid.IntRange(0, 2).Draw(t, "peer")].Current())
	case 2:
		if len(sim.versions) > 0 {
			p.Offer(sim.versions[rapid.IntRange(0, len(sim.versions)-1).Draw(t, "reading")])
		}
	}
	if p.Version() < before {
		t.Fatalf("the version in force decreased from %d to %d", before, p.Version())
	}
}

// check compares the reported outcomes, and the settings in force at the processes, with the changes
// that were committed.
func (sim *simulation) check(t *rapid.T) {
	applied := map[uint64]bool{}
	for _, apply := range sim.operators {
		version, change := apply.Next().GetVersion(), apply.Next().GetChange()
		wasCommitted := sim.committed[version] == change
		switch apply.Outcome() {
		case settings.Applied:
			if !wasCommitted || applied[version] {
				t.Fatalf("change %d was reported as applied, but isn't version %d", change, version)
			}
			applied[version] = true
		case settings.Conflicted, settings.NotWritten:
			if wasCommitted {
				t.Fatalf("change %d was reported as not applied, but is version %d", change, version)
			}
		}
	}
	for version := uint64(1); version <= sim.stored.GetVersion(); version++ {
		if sim.committed[version] == 0 {
			t.Fatalf("no change was committed as version %d", version)
		}
	}
	for _, p := range sim.processes {
		if p.Version() > 0 && sim.committed[p.Version()] != p.Current().GetChange() {
			t.Fatalf("version %d in force isn't the committed one", p.Version())
		}
	}
}

// Concurrent operators apply changes, replies are lost after the write took effect, writes arrive
// after their operator has given up, and processes are offered old rows and each other's
// settings. No operator may get a wrong outcome (a quota that is reported as lowered but isn't
// would only show in the traffic), and no process may go back to an older version.
func TestChangesOfSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{stored: &pb.Settings{}, committed: map[uint64]uint64{}}
		for i := range sim.processes {
			sim.processes[i] = settings.NewState()
		}
		step := sim.step
		t.Repeat(map[string]func(*rapid.T){
			"operator": sim.addOperator, "step1": step, "step2": step, "step3": step,
			"arrive": sim.deliverDelayed, "spread": sim.offerToProcess, "": sim.check,
		})
		for _, p := range sim.processes {
			if p.Offer(sim.stored); p.Version() != sim.stored.GetVersion() {
				t.Fatalf("a process has version %d instead of %d after reading the row", p.Version(), sim.stored.GetVersion())
			}
		}
	})
}
