package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
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
	}))
}

func TestUnknownJob(t *testing.T) {
	r := Job("0000000000000000", nil)
	NewWithT(t).Expect(r.String()).To(ContainSubstring("no line names the job"))
}
