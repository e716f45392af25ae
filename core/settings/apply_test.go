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

// declared is one of few contents, so that racing operators often want the
// same.
func declared(response uint32) *pb.Settings {
	return &pb.Settings{Institutions: []*pb.Institution{{
		Name:            "hollowell",
		TokenSha256:     []string{fmt.Sprintf("%064x", 1)},
		ResponseTimeMs:  response,
		ResubmitWindowS: 60,
		Services:        []*pb.Service{{Name: "labels", RunTimeMs: 1, MaxTasks: 1, MaxPayloadBytes: 1}},
	}}}
}

// pendingWrite is a pendingWrite that is on its way.
type pendingWrite struct {
	next *pb.Settings
	rowVersion  uint64
}

// simulation is the table service, operators and processes.
type simulation struct {
	rowVersion       uint64
	stored   *pb.Settings
	committed map[uint64]uint64
	delayed      []pendingWrite
	operators []*settings.Apply
	processes [3]*settings.State
	change    uint64
	versions       []*pb.Settings
}

func (w *simulation) commit(wr pendingWrite) bool {
	if wr.rowVersion != w.rowVersion {
		return false
	}
	if _, taken := w.committed[wr.next.GetVersion()]; taken {
		panic("two changes of one version")
	}
	w.rowVersion++
	w.stored = wr.next
	w.committed[wr.next.GetVersion()] = wr.next.GetChange()
	w.versions = append(w.versions, wr.next)
	return true
}

func (w *simulation) addOperator(t *rapid.T) {
	w.change++
	expected := w.stored.GetVersion()
	if rapid.IntRange(0, 3).Draw(t, "outdated") == 0 {
		expected = rapid.Uint64Range(0, expected+1).Draw(t, "expected")
	}
	w.operators = append(w.operators, settings.NewApply(expected, declared(rapid.Uint32Range(1, 2).Draw(t, "content")), w.change))
}

// step lets one operator do one step, with the faults of the table service.
func (w *simulation) step(t *rapid.T) {
	if len(w.operators) == 0 {
		return
	}
	a := w.operators[rapid.IntRange(max(0, len(w.operators)-3), len(w.operators)-1).Draw(t, "operator")]
	fault := rapid.SampledFrom([]string{"none", "none", "out", "reply lost", "late"}).Draw(t, "fault")
	switch a.Step() {
	case settings.ApplyRead:
		a.Read(w.stored, w.rowVersion, fault == "none")
	case settings.ApplyWrite:
		wr := pendingWrite{a.Next(), a.RowVersion()}
		switch fault {
		case "none":
			a.Written(w.commit(wr), true)
		case "reply lost":
			w.commit(wr)
			a.Written(false, false)
		case "late":
			w.delayed = append(w.delayed, wr)
			a.Written(false, false)
		default:
			a.Written(false, false)
		}
	}
}

// deliverDelayed lets a delayed write reach the table service after all.
func (w *simulation) deliverDelayed(t *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "late")
	w.commit(w.delayed[i])
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

// offerToProcess lets a process see the row, an old reading of it, or a peer's.
func (w *simulation) offerToProcess(t *rapid.T) {
	p := w.processes[rapid.IntRange(0, 2).Draw(t, "process")]
	before := p.Version()
	switch rapid.IntRange(0, 2).Draw(t, "source") {
	case 0:
		p.Offer(w.stored)
	case 1:
		p.Offer(w.processes[rapid.IntRange(0, 2).Draw(t, "peer")].Current())
	case 2:
		if len(w.versions) > 0 {
			p.Offer(w.versions[rapid.IntRange(0, len(w.versions)-1).Draw(t, "reading")])
		}
	}
	if p.Version() < before {
		t.Fatalf("version went back from %d to %d", before, p.Version())
	}
}

func (w *simulation) check(t *rapid.T) {
	applied := map[uint64]bool{}
	for _, a := range w.operators {
		version, change := a.Next().GetVersion(), a.Next().GetChange()
		wasCommitted := w.committed[version] == change
		switch a.Outcome() {
		case settings.Applied:
			if !wasCommitted || applied[version] {
				t.Fatalf("change %d was told that it is version %d", change, version)
			}
			applied[version] = true
		case settings.Conflicted, settings.NotWritten:
			if wasCommitted {
				t.Fatalf("change %d was told that it isn't version %d", change, version)
			}
		}
	}
	for version := uint64(1); version <= w.stored.GetVersion(); version++ {
		if w.committed[version] == 0 {
			t.Fatalf("version %d is lost", version)
		}
	}
	for _, p := range w.processes {
		if p.Version() > 0 && w.committed[p.Version()] != p.Current().GetChange() {
			t.Fatalf("version %d in force isn't the one accepted", p.Version())
		}
	}
}

// Operators race, replies are lost after the write took effect, writes arrive
// after their operator has given up, and processes see old rows and each other.
// An operator who is told wrongly that a quota is lowered finds out by the
// traffic; a process that goes back lifts it again.
func TestChangesOfSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{stored: &pb.Settings{}, committed: map[uint64]uint64{}}
		for i := range w.processes {
			w.processes[i] = settings.NewState()
		}
		step := w.step
		t.Repeat(map[string]func(*rapid.T){
			"operator": w.addOperator, "step1": step, "step2": step, "step3": step,
			"arrive": w.deliverDelayed, "spread": w.offerToProcess, "": w.check,
		})
		for _, p := range w.processes {
			if p.Offer(w.stored); p.Version() != w.stored.GetVersion() {
				t.Fatalf("a healed process has version %d of %d", p.Version(), w.stored.GetVersion())
			}
		}
	})
}
