package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/logging"
)

const sampleLog = `2026/05/14 06:42:59 failed to increase receive buffer size
time=2026-05-14T06:43:00.1Z level=warn event=peer-lost ended=false node=front-1 peer=front-2#3
time=2026-05-14T06:43:00.2Z level=info event=leader-changed before=front-2#3 leader=front-1#2 node=front-1
time=2026-05-14T06:43:00.5Z level=info event=run-lapsed age=662 job=407d4e0ef10b4617 node=front-1 reason="runner is silent" run=407d4e0ef10b4617.0.0.0#1 runner=i-83
time=2026-05-14T06:43:00.6Z level=info event=run-lapsed age=662 job=aaaaaaaaaaaaaaaa node=front-1 run=aaaaaaaaaaaaaaaa.0.0.0#1 runner=i-83
time=2026-05-14T06:43:01.5Z level=info event=request-answered job=407d4e0ef10b4617 node=front-3 objective=380 outcome=gave-up reason="time is up" took=1900
time=2026-05-14T06:43:09Z level=info event=leader-changed before=front-1#2 leader=front-4#9 node=front-1
`

func TestJob(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(sampleLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(6))
	r := Job("407d4e0ef10b4617", lines)
	g.Expect(r.Lines).To(HaveLen(4))
	g.Expect(r.Summary).To(Equal([]string{
		"an entry process was lost (1 times)",
		"the process that schedules changed (1 times)",
		"a runner fell silent and the lease of a run ended (1 times)",
		"answered gave-up by front-3 after 1900 ms (objective 380 ms): time is up",
		"cause of the loss: one process ended",
	}))
}

func TestUnknownJob(t *testing.T) {
	r := Job("0000000000000000", nil)
	NewWithT(t).Expect(r.String()).To(ContainSubstring("no line names the job"))
}

const movedJobLog = `time=2026-12-03T17:05:12.859783416Z level=info event=job-ended cause=lack-of-room entry=front-1#26 estimate=50 job=0000000000a606c2 node=front-1 outcome=not-run reason="more comes than can be done before its turn" retry-after=1389 runs=0 waited=0 work=0
time=2026-12-03T17:05:12.860057325Z level=info event=request-answered cause=lack-of-room configuration=1 handed=0 job=0000000000a606c2 node=front-1 objective=160 outcome=not-run queue=spot reason="more comes than can be done before its turn" retry-after=1389 scheduler=front-1#26 took=204.783964
time=2026-12-03T17:05:12.781550631Z level=info event=job-ended cause=lack-of-room entry=front-1#26 estimate=50 job=0000000000a606c2 node=front-3 outcome=not-run reason="more comes than can be done before its turn" retry-after=1389 runs=0 waited=0 work=0
time=2026-12-03T17:05:12.782043777Z level=info event=job-elsewhere home=0 job=0000000000a606c2 node=front-1 shard=1 wait=0
`

// Guards against a job whose way over several shards, in the logs of several processes, isn't shown
// in the order of time.
func TestJobThatTwoShardsRefused(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(movedJobLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Job("0000000000a606c2", lines).Summary).To(Equal([]string{
		"the job was handed in to a shard other than its own (1 times)",
		"refused by the scheduler on front-3 for lack-of-room: more comes than can be done before its turn",
		"refused by the scheduler on front-1 for lack-of-room: more comes than can be done before its turn",
		"handed in to the shards 0, then 1",
		"answered not-run by front-1 after 204.783964 ms (objective 160 ms): more comes than can be done before its turn",
		"cause of the loss: refused for lack of room, in another shard as well",
	}))
}

// A job that is lent is then handed in to the lender. Guards against a step that is shown twice.
func TestPathOfALentJob(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(`time=2026-12-03T17:05:12.7Z level=info event=job-lent age=40 job=a lender=1 node=front-1 shard=4
time=2026-12-03T17:05:12.8Z level=info event=job-elsewhere home=4 job=a node=front-1 shard=1 wait=0
time=2026-12-03T17:05:12.9Z level=info event=job-elsewhere home=4 job=a node=front-1 shard=2 wait=0
`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Job("a", lines).Summary).To(ContainElement("handed in to the shards 4, then 1, then 2"))
}

// Guards against a slow runner whose turn isn't shown with the job that it delayed, and against the
// turn of another runner that is.
func TestTurnOfTheJobsRunner(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(`time=2026-12-03T17:07:55.1Z level=info event=runner-pace-turned age=3 reason="recent ratio 2.31, usual ratio 0.97" runner=i-16 token=4
time=2026-12-03T17:07:55.2Z level=info event=runner-pace-turned age=3 reason="recent ratio 2.31, usual ratio 0.97" runner=i-17 token=4
time=2026-12-03T17:07:55.452945462Z level=info event=job-ended cause= entry=front-1#26 estimate=50 job=000000000031a9b5 longest-runner=i-16 node=front-3 outcome=completed queue=spot reason= relative-pace=2.26 retry-after=0 runs=1 waited=0 work=183.462677
time=2026-12-03T17:07:55.453157378Z level=info event=request-answered cause= configuration=1 handed=0 job=000000000031a9b5 node=front-1 objective=160 outcome=completed queue=spot reason= retry-after=0 scheduler=front-3#27 took=183.926628
`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Job("000000000031a9b5", lines).Summary).To(Equal([]string{
		"a runner turned slow (1 times)",
		"answered completed by front-1 after 183.926628 ms (objective 160 ms)",
		"cause of the loss: the runs took far longer than estimated, the longest on a slow runner",
	}))
}

// Guards against a quoted value that ends at an escaped quote, after which the rest of it is read
// as further pairs.
func TestEscapedQuotes(t *testing.T) {
	g := NewWithT(t)
	var log strings.Builder
	logger := logging.New(&log, zerolog.InfoLevel)
	reason := `Get "http://10.0.0.7/rows?job=b": a \ and a` + "\nnew line"
	logger.Info().Str("call", "runners").Str("reason", reason).Str("text", `"`).Str("last", "1").Msg("dependency-lost")
	lines, err := Read(strings.NewReader(log.String()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0].Event).To(Equal("dependency-lost"))
	g.Expect(lines[0].Fields).To(HaveKeyWithValue("reason", reason))
	g.Expect(lines[0].Fields).To(HaveKeyWithValue("text", `"`))
	g.Expect(lines[0].Fields).To(HaveKeyWithValue("last", "1"))
	g.Expect(lines[0].Fields).NotTo(HaveKey("job"))
}
