package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// sampleLossLog holds lines of a real run. They are of a job whose runs took far longer than
// estimated, one that waited in the queue, one that was refused, one whose run was overdue, and one
// whose time outside of its runs is within its objective. In the lines of this last job, the time
// and work were changed from what was logged. Then all processes are killed and start again, and a
// job waits for a leader.
const sampleLossLog = `
time=2026-03-07T06:48:37.425621834Z level=info event=job-ended entry=front-obudai-gep-2#5 estimate=30 job=635fde0e13e17f40 node=front-budai-terem-3 outcome=completed reason= retry-after=0 runs=6 waited=0 work=189.53006
time=2026-03-07T06:48:37.473443047Z level=info event=request-answered configuration=2 handed=0 job=635fde0e13e17f40 node=front-obudai-gep-2 objective=108 outcome=completed queue=r-q35w2yz reason= retry-after=0 scheduler=front-budai-terem-3#1 took=238.842127
time=2026-03-07T06:48:37.643628011Z level=info event=job-ended entry=front-obudai-gep-1#7 estimate=41 job=275c95e690e9bd0c node=front-budai-terem-3 outcome=completed reason= retry-after=0 runs=2 waited=27.390252 work=160.721372
time=2026-03-07T06:48:37.653167316Z level=info event=request-answered configuration=2 handed=0 job=275c95e690e9bd0c node=front-obudai-gep-1 objective=125.6 outcome=completed queue=r-ttznu6q reason= retry-after=0 scheduler=front-budai-terem-3#1 took=279.687209
time=2026-03-07T06:48:39.117697395Z level=info event=job-ended entry=front-budai-terem-1#3 estimate=125 job=743fbc8d87393e46 node=front-budai-terem-3 outcome=not-run reason="too little time is left" retry-after=1133.57956 runs=0 waited=0 work=0
time=2026-03-07T06:48:39.118701156Z level=info event=request-answered configuration=2 handed=0 job=743fbc8d87393e46 node=front-budai-terem-1 objective=260 outcome=not-run queue=r-ttznu6q reason="too little time is left" retry-after=1133 scheduler=front-budai-terem-3#1 took=663.632428
time=2026-03-07T06:48:41.117497421Z level=info event=run-overdue age=322.73925 job=73b8d873ce920853 node=front-budai-terem-3 run=73b8d873ce920853.0.0.0#1 runner=i-49af9851da
time=2026-03-07T06:48:41.156677355Z level=info event=run-ended age=362.383729 job=73b8d873ce920853 node=front-budai-terem-3 reason=stopped run=73b8d873ce920853.0.0.0#1 runner=i-49af9851da
time=2026-03-07T06:48:41.181485674Z level=info event=job-ended entry=front-csepeli-gep-1#9 estimate=31 job=73b8d873ce920853 node=front-budai-terem-3 outcome=completed reason= retry-after=0 runs=10 waited=0 work=33.336512
time=2026-03-07T06:48:41.183049064Z level=info event=request-answered configuration=10 handed=0 job=73b8d873ce920853 node=front-csepeli-gep-1 objective=109.6 outcome=completed queue=r-q35w2yz reason= retry-after=0 scheduler=front-budai-terem-3#1 took=390.102888
time=2026-03-07T06:48:43.400000000Z level=info event=job-ended entry=front-obudai-gep-1#7 estimate=60 job=c93003a5bf7a5643 node=front-budai-terem-3 outcome=completed reason= retry-after=0 runs=9 waited=0 work=150.673667
time=2026-03-07T06:48:43.401652174Z level=info event=request-answered configuration=18 handed=0 job=c93003a5bf7a5643 node=front-obudai-gep-1 objective=156 outcome=completed queue=r-q35w2yz reason= retry-after=0 scheduler=front-budai-terem-3#1 took=192.705421
time=2026-03-07T06:49:18.561970206Z level=info event=process-started node=front-csepeli-gep-1 peers=10.3.0.39:7040
time=2026-03-07T06:49:18.562175072Z level=info event=process-started node=front-obudai-gep-2 peers=10.4.0.35:7040
time=2026-03-07T06:49:18.56221256Z level=info event=process-started node=front-budai-terem-3 peers=10.1.0.33:7040
time=2026-03-07T06:49:18.56223522Z level=info event=process-started node=front-budai-terem-2 peers=10.1.0.32:7040
time=2026-03-07T06:49:18.568969886Z level=info event=request-refused node=front-obudai-gep-2 path=/nyye920/24ee6e6b3f17466c reason="no configuration yet" retry-after=1000
time=2026-03-07T06:49:18.943182707Z level=info event=job-ended entry=front-obudai-gep-2#1451 estimate=96 job=b6d4b82652a8ca31 node=front-budai-terem-2 outcome=completed reason= retry-after=0 runs=3 waited=2.039435 work=130.463414
time=2026-03-07T06:49:18.944577015Z level=info event=request-answered configuration=20 handed=0 job=b6d4b82652a8ca31 node=front-obudai-gep-2 objective=213.6 outcome=completed queue=r-ttznu6q reason= retry-after=0 scheduler=front-budai-terem-2#1444 took=337.854203
`

func TestAttribute(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(sampleLossLog))
	g.Expect(err).NotTo(HaveOccurred())
	type found struct {
		job   string
		late  bool
		cause Cause
	}
	var losses []found
	for _, l := range Attribute(lines) {
		losses = append(losses, found{l.Job, l.Late, l.Cause})
	}
	g.Expect(losses).To(Equal([]found{
		{"635fde0e13e17f40", true, SlowRun},
		{"275c95e690e9bd0c", true, QueueWait},
		{"743fbc8d87393e46", false, RefusedNoTime},
		{"73b8d873ce920853", true, RunOverdue},
		{"", false, MostProcessesLost},
		{"b6d4b82652a8ca31", true, MostProcessesLost},
	}))
}

func TestLossTable(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(sampleLossLog))
	g.Expect(err).NotTo(HaveOccurred())
	text := LossTable{Losses: Attribute(lines), Begin: lines[0].Time}.String()
	g.Expect(text).To(ContainSubstring("most processes ended at once"))
	g.Expect(text).To(MatchRegexp(`a run took far too long +r-q35w2yz +0 +1 +3: 1`))
}
