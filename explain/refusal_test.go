package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a refusal for which "entry losses" finds no cause. The lines are those of the
// process; logs of former versions have them without the cause.
func TestCauseOfEachRefusal(t *testing.T) {
	for line, want := range map[string]Cause{
		`event=request-answered cause=lack-of-room configuration=1 handed=0 job=0000000000a4d16c node=front-3 objective=160 outcome=not-run queue=spot reason="more comes than can be done before its turn" retry-after=1808 scheduler=front-3#25 took=136.804864`: RefusedNoRoom,
		`event=request-answered cause=lack-of-room configuration=12 handed=0 job=a3fd79345f32c4c3 node=front-1 objective=244 outcome=gave-up queue=spot reason="wait of 652ms expected" retry-after=1735 scheduler=front-1#4 took=0`:                               RefusedNoRoom,
		`event=request-answered cause=lack-of-room configuration=1 handed=0 job=0000000000a4d16c node=front-3 objective=160 outcome=not-run queue=spot reason="accepted work for 1.02s waits" retry-after=1808 scheduler=front-3#25 took=0.4`:                      RefusedNoRoom,
		`event=request-answered cause=too-little-time configuration=1 handed=0 job=0000000000000009 node=front-1 objective=48080 outcome=not-run queue=spot reason="too little time is left" retry-after=1698 scheduler=front-3#25 took=0.125959`:                  RefusedNoTime,
		`event=request-answered cause=time-up configuration=1 handed=0 job=0000000000000009 node=front-1 objective=480 outcome=gave-up queue=spot reason="time is up" retry-after=1698 scheduler=front-3#25 took=1500.4`:                                           TimeUp,
		`event=request-answered cause=runners-evacuated configuration=1 handed=0 job=000000000000000a node=front-1 objective=160 outcome=not-run queue=spot reason="all runners are in evacuated failure domains" retry-after=1266 scheduler=front-1#26 took=0`:    RefusedEvacuated,
		`event=request-answered cause=no-runner configuration=1 handed=0 job=000000000000000a node=front-1 objective=160 outcome=not-run queue=spot reason="no runner can be reached" retry-after=1266 scheduler=front-1#26 took=0`:                                RefusedNoRunner,
		`event=request-answered cause=no-fitting-runner configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=not-run queue=spot reason="no runner has what a task needs" retry-after=1317 scheduler=front-1#26 took=0.423551`:          RefusedNoFit,
		`event=request-answered cause=not-leading configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="this process doesn't lead" retry-after=1317 scheduler=front-1#26 took=301.4`:                         RefusedNotLeading,
		`event=request-answered cause=not-leading configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="another process may schedule" retry-after=0 scheduler=front-1#26 took=0.4`:                           RefusedNotLeading,
		`event=request-answered cause=no-scheduler configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="the scheduler can't be reached" retry-after=1000 scheduler= took=0`:                                 RefusedNoScheduler,
		`event=request-answered cause=no-scheduler configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="no scheduler" retry-after=1000 scheduler= took=310.2`:                                               RefusedNoScheduler,
		`event=request-answered cause=no-answer configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="no answer from the scheduler in time" retry-after=1000 scheduler=front-1#26 took=1550.2`:               NoVerdict,
		`event=request-answered cause=process-ending configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=not-run queue=spot reason="this process is about to end" retry-after=1000 scheduler= took=0`:                                 RefusedEnding,
		`event=request-answered cause=process-ending configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="the process ends" retry-after=1000 scheduler=front-1#26 took=20`:                                  RefusedEnding,
		`event=request-answered cause=store-unavailable configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=night reason="the store doesn't answer" retry-after=0 scheduler=front-1#26 took=1500`:                       RefusedStore,
		`event=request-answered cause=store-unavailable configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=night reason="the stored jobs couldn't be read" retry-after=0 scheduler=front-1#26 took=300`:                RefusedStore,
		`event=request-answered cause=copy-refused configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=not-run queue=night reason="a copy was refused" retry-after=1000 scheduler=front-1#26 took=300`:                                RefusedCopy,
		`event=request-answered cause=not-configured configuration=1 handed=0 job=0000000000000008 node=front-1 objective=160 outcome=gave-up queue=spot reason="the shards aren't known yet" retry-after=1000 scheduler= took=300`:                                RefusedNotConfigured,
		`event=request-refused cause=not-configured method=POST node=front-1 path=/spot/0000000000000007 queue= reason="no configuration yet" retry-after=1000`:                                                                                                    RefusedNotConfigured,
		`event=request-refused cause=not-served method=POST node=front-1 path=/spot/0000000000000007 queue=spot reason="not served here: hedging" retry-after=1000`:                                                                                                RefusedNotServed,
		`event=request-refused cause=no-scheduler method=GET node=front-1 path=/spot/0000000000000007 queue=spot reason="no scheduler can be reached" retry-after=1000`:                                                                                            RefusedNoScheduler,
		`event=request-refused cause=not-leading method=GET node=front-1 path=/spot/0000000000000007 queue=spot reason="it is uncertain whether the job is known" retry-after=1000`:                                                                                RefusedNotLeading,
		`event=request-refused cause=process-ending job=0000000000000007 node=front-1 queue=spot reason="this process has ended" retry-after=1000`:                                                                                                                 RefusedEnding,
	} {
		g := NewWithT(t)
		_, cause, _ := strings.Cut(line, " ")
		cause, _, _ = strings.Cut(cause, " ")
		former := strings.Replace(line, cause+" ", "", 1)
		g.Expect(causesIn(g, line)).To(Equal([]Cause{want}), line)
		g.Expect(causesIn(g, former)).To(Equal([]Cause{want}), former)
	}
}

// causesIn returns the causes of the losses in a log, whose lines are given without the time.
func causesIn(g *WithT, events ...string) []Cause {
	var log strings.Builder
	for _, e := range events {
		log.WriteString("time=2026-12-03T17:05:12.782Z level=info " + e + "\n")
	}
	lines, err := Read(strings.NewReader(log.String()))
	g.Expect(err).NotTo(HaveOccurred())
	var causes []Cause
	for _, l := range Attribute(lines) {
		causes = append(causes, l.Cause)
	}
	return causes
}

// Guards against outcomes that callers wanted and that are reported as unexplained losses.
func TestOutcomesWithoutARefusal(t *testing.T) {
	g := NewWithT(t)
	g.Expect(causesIn(g, `event=request-answered cause= configuration=1 handed=0 job=a node=front-1 objective=160 outcome=accepted queue=night reason=known retry-after=0 scheduler=front-1#26 took=2.1`)).To(BeEmpty())
	g.Expect(causesIn(g, `event=request-answered cause= configuration=1 handed=0 job=a node=front-1 objective=160 outcome=cancelled queue=spot reason=cancelled retry-after=0 scheduler=front-1#26 took=2.1`)).To(Equal([]Cause{CancelledByCaller}))
	g.Expect(causesIn(g, `event=request-answered cause= configuration=1 handed=0 job=a node=front-1 objective=160 outcome=failed queue=spot reason="runners don't understand the task" retry-after=0 scheduler=front-1#26 took=2.1`)).To(Equal([]Cause{JobFailed}))
}

// The cause has been decided by a later version, which knows more causes.
func TestUnknownCauseOfRefusal(t *testing.T) {
	g := NewWithT(t)
	g.Expect(causesIn(g, `event=request-answered cause=new handed=0 job=a outcome=not-run queue=spot reason="something new"`)).To(Equal([]Cause{RefusedOther}))
}

// Guards against refusals and late answers of jobs that another shard was asked to take, or got,
// for which no cause is found.
func TestCausesOfJobsBetweenShards(t *testing.T) {
	const (
		refusedHere = `event=job-ended cause=lack-of-room entry=front-1#26 estimate=50 job=a node=front-3 outcome=not-run queue=spot reason="more comes than can be done before its turn" retry-after=1389 runs=0 waited=0 work=0`
		moved       = `event=job-elsewhere home=0 job=a node=front-1 shard=1 wait=0`
		lent        = `event=job-lent age=40 job=a lender=1 node=front-1 shard=0`
		expired     = `event=room-expired age=300 job=a lender=1 node=front-3 shard=0`
		refused     = `event=request-answered cause=lack-of-room configuration=1 handed=0 job=a node=front-1 objective=160 outcome=not-run queue=spot reason="more comes than can be done before its turn" retry-after=1389 scheduler=front-1#26 took=204.783964`
		ended       = `event=job-ended cause= entry=front-1#26 estimate=50 job=a node=front-1 outcome=completed queue=spot reason= retry-after=0 runs=1 waited=5 work=51`
		late        = `event=request-answered cause= configuration=1 handed=0 job=a node=front-1 objective=160 outcome=completed queue=spot reason= retry-after=0 scheduler=front-1#26 took=204.783964`
	)
	g := NewWithT(t)
	g.Expect(causesIn(g, refusedHere, moved, refused)).To(Equal([]Cause{RefusedTwice}))
	g.Expect(causesIn(g, lent, refused)).To(Equal([]Cause{RefusedTwice}))
	g.Expect(causesIn(g, expired, lent, refused)).To(Equal([]Cause{GrantExpired}))
	g.Expect(causesIn(g, refusedHere, moved, ended, late)).To(Equal([]Cause{MovedLate}))
	g.Expect(causesIn(g, lent, ended, late)).To(Equal([]Cause{LentLate}))
	g.Expect(causesIn(g, expired, ended, late)).To(Equal([]Cause{GrantExpired}))
	waited := strings.Replace(ended, "waited=5", "waited=130", 1)
	g.Expect(causesIn(g, lent, waited, late)).To(Equal([]Cause{QueueWait}), "it waited at the lender")
}

func TestSlowRunner(t *testing.T) {
	const (
		ended = `event=job-ended cause= entry=front-3#25 estimate=50 job=a longest-runner=i-8 node=front-1 outcome=completed queue=spot reason= relative-pace=PACE retry-after=0 runs=1 waited=0 work=180.902047`
		late  = `event=request-answered cause= configuration=1 handed=0 job=a node=front-3 objective=160 outcome=completed queue=spot reason= retry-after=0 scheduler=front-1#26 took=182.1`
	)
	g := NewWithT(t)
	g.Expect(causesIn(g, strings.Replace(ended, "PACE", "2.43", 1), late)).To(Equal([]Cause{SlowRunner}))
	g.Expect(causesIn(g, strings.Replace(ended, "PACE", "1.1", 1), late)).To(Equal([]Cause{SlowRun}))
}

// A caller whose job was refused sends it again under its id. Guards against a refusal that is put
// down to what happened to the job only later, or a late answer to what happened before.
func TestCausesOfRepeatedSubmissions(t *testing.T) {
	const (
		refused = ` level=info event=job-ended cause=lack-of-room entry=front-1#26 estimate=50 job=a node=front-3 outcome=not-run queue=spot reason="wait of 652ms expected" retry-after=1389 runs=0 waited=0 work=0`
		moved   = ` level=info event=job-elsewhere home=0 job=a node=front-1 shard=1 wait=0`
		answer  = ` level=info event=request-answered cause=lack-of-room configuration=1 handed=0 job=a node=front-1 objective=160 outcome=not-run queue=spot reason="wait of 652ms expected" retry-after=1389 scheduler=front-3#26 took=0.5`
		ended   = ` level=info event=job-ended cause= entry=front-1#26 estimate=50 job=a node=front-3 outcome=completed queue=spot reason= retry-after=0 runs=1 waited=140 work=51`
		late    = ` level=info event=request-answered cause= configuration=1 handed=0 job=a node=front-1 objective=160 outcome=completed queue=spot reason= retry-after=0 scheduler=front-3#26 took=192`
	)
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(strings.Join([]string{
		"time=2026-12-03T17:05:12.100Z" + refused, "time=2026-12-03T17:05:12.101Z" + answer,
		"time=2026-12-03T17:05:14.100Z" + refused, "time=2026-12-03T17:05:14.101Z" + moved, "time=2026-12-03T17:05:14.102Z" + answer,
		"time=2026-12-03T17:05:16.200Z" + ended, "time=2026-12-03T17:05:16.201Z" + late,
	}, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	var causes []Cause
	for _, l := range Attribute(lines) {
		causes = append(causes, l.Cause)
	}
	g.Expect(causes).To(Equal([]Cause{RefusedNoRoom, RefusedTwice, QueueWait}))
}
