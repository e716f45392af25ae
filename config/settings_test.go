package config

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/settings"
)

const exampleSettings = "../examples/settings.yaml"

func TestExampleSettingsDeclareBothInstitutions(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := LoadSettings(exampleSettings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.GetInstitutions()).To(gomega.HaveLen(2))
	hollowell, kandy := s.GetInstitutions()[0], s.GetInstitutions()[1]
	g.Expect(hollowell.GetResponseTimeMs()).To(gomega.BeEquivalentTo(5000))
	g.Expect(hollowell.GetRetryPercent()).To(gomega.BeEquivalentTo(10))
	g.Expect(hollowell.GetResubmitWindowS()).To(gomega.BeEquivalentTo(3600))
	g.Expect(hollowell.GetServices()[0].GetMaxPayloadBytes()).To(gomega.BeEquivalentTo(64 << 10))
	g.Expect(hollowell.GetServices()[0].GetCpuMillis()).To(gomega.BeEquivalentTo(2000))
	g.Expect(hollowell.GetServices()[0].GetMemoryMib()).To(gomega.BeEquivalentTo(512))
	g.Expect(kandy.GetBorrowToleranceMs()).To(gomega.BeNumerically("<", hollowell.GetBorrowToleranceMs()))
	g.Expect(settings.Service(kandy, "settlements").GetIdempotent()).To(gomega.BeFalse())
}

// An operator's file has a mistake. Accepted silently, it would put an unintended limit in
// force; the message must name the line and the field. Each case changes one part of the example
// and gives the expected report.
func TestMistakesInSettingsAreRejectedWithTheirPosition(t *testing.T) {
	raw, err := os.ReadFile(exampleSettings)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "priority: 1", "prioritty: 1", "s.yaml:22: institutions[0].prioritty: unknown field"},
		{"version in a file", "institutions:\n", "version: 3\ninstitutions:\n", "s.yaml:6: version: unknown field"},
		{"time without unit", "response_time: 5s", "response_time: 5", `s.yaml:24: institutions[0].response_time: "5" isn't a time with its unit, such as 250ms, 30s or 1h`},
		{"minutes for milliseconds", "response_time: 5s", "response_time: 30m", "s.yaml:24: institutions[0].response_time: 30m0s must be above 0 and at most 10m0s"},
		{"part of a millisecond", "run_time: 200ms", "run_time: 200us", `institutions[0].services[0].run_time: "200us" isn't a whole number of 1ms`},
		{"negative time", "response_time: 5s", "response_time: -5s", `institutions[0].response_time: "-5s" is negative`},
		{"decimal size", "max_payload: 64KiB", "max_payload: 64KB", `institutions[0].services[0].max_payload: "64KB" isn't a size with its unit, such as 512B, 64KiB or 256MiB`},
		{"time for a size", "max_payload: 64KiB", "max_payload: 64s", `max_payload: "64s" isn't a size with its unit`},
		{"percentage without sign", "retry: 10%", "retry: 10", `institutions[0].retry: "10" isn't a whole percentage with its sign, such as 20%`},
		{"cores without unit", "cpu: 2000m", "cpu: 2", `institutions[0].services[0].cpu: "2" isn't a number of thousandths of a core`},
		{"count with unit", "ceiling_slots: 384", "ceiling_slots: 384ms", `institutions[0].ceiling_slots: "384ms" isn't a whole number`},
		{"invalid boolean", "idempotent: true", "idempotent: yes", `institutions[0].services[0].idempotent: "yes" is neither true nor false`},
		{"quota over ceiling", "quota_slots: 200", "quota_slots: 400", "institutions[0].teams[1].quota_slots: 400 exceeds the institution's ceiling of 384 slots"},
		{"run time over response time", "run_time: 200ms", "run_time: 6s", "institutions[0].services[0].run_time: 6s exceeds the response time 5s"},
		{"tolerance over response time", "borrow_tolerance: 200ms", "borrow_tolerance: 6s", "institutions[0].borrow_tolerance: 6s exceeds the response time 5s"},
		{"resubmit window under response time", "resubmit_window: 1h", "resubmit_window: 2s", "institutions[0].resubmit_window: 2s is shorter than the response time 5s"},
		{"capacities over 100%", "capacity: 50%", "capacity: 60%", "s.yaml:6: institutions: the capacities add up to 110%, more than 100%"},
		{"undeclared team", "teams: [settlement-office]", "teams: [settlement-offce]", `s.yaml:81: institutions[1].services[1].teams[0]: team "settlement-offce" isn't declared`},
		{"name twice", "name: care-homes", "name: school-kitchens", `institutions[0].teams[1].name: "school-kitchens" is declared twice`},
		{"invalid name", "name: care-homes", "name: care/homes", `institutions[0].teams[1].name: "care/homes" must be 1 to 64 letters`},
		{"short digest", "1f6c2d8e4b", "1f6c", "institutions[1].token_sha256[0]: must be 64 hex digits"},
		{"certificate name of two institutions", "[hollowell-kitchens]", "[x, x]", `institutions[0].certificate_names[1]: is also declared for "hollowell"`},
		{"no value", "response_time: 5s", "response_time:", "institutions[0].response_time: has no value"},
		{"field left out", "    response_time: 5s\n", "", "s.yaml:9: institutions[0].response_time: 0s must be above 0"},
		{"list for a value", "priority: 1", "priority: [1]", "institutions[0].priority: must be a single value"},
		{"value for a list", "teams: [settlement-office]", "teams: settlement-office", "institutions[1].services[1].teams: must be a list"},
		{"field twice", "priority: 1", "priority: 1\n    priority: 2", `s.yaml:23: mapping key "priority" already defined`},
		{"not YAML", "institutions:\n", "institutions: [\n", "s.yaml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(string(raw)).To(gomega.ContainSubstring(c.old))
			_, err := ParseSettings("s.yaml", []byte(strings.Replace(string(raw), c.old, c.new, 1)))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
			g.Expect(err).To(gomega.BeAssignableToTypeOf(Problems{}))
		})
	}
}

func TestAllMistakesAreReportedInFileOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := os.ReadFile(exampleSettings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.NewReplacer("retry: 10%", "retry: ten", "quota_slots: 40\n", "quota_slots: 999\n", "capacity: 50%", "capacty: 50%").Replace(string(raw))
	_, err = ParseSettings("s.yaml", []byte(text))
	lines := strings.Split(err.Error(), "\n")
	g.Expect(lines).To(gomega.HaveLen(4))
	g.Expect(lines[0]).To(gomega.ContainSubstring("institutions[0].capacty"))
	g.Expect(lines[1]).To(gomega.ContainSubstring("institutions[0].retry"))
	g.Expect(lines[2]).To(gomega.ContainSubstring("institutions[1].capacty"))
	g.Expect(lines[3]).To(gomega.ContainSubstring("institutions[1].teams[1].quota_slots"))
}

// FuzzParseSettings looks for files that make the decoder panic or that it accepts although
// they are invalid or can't be encoded.
func FuzzParseSettings(f *testing.F) {
	raw, err := os.ReadFile(exampleSettings)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("institutions: [{name: a, teams: [{}], services: {}}]"))
	f.Add([]byte("institutions: &a [*a]"))
	f.Add([]byte("institutions:\n- response_time: 99999999999999h\n  retry: -1%\n  token_sha256: [!!binary x]"))
	f.Add([]byte("? [a]\n: b"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := ParseSettings("f.yaml", raw)
		if err != nil {
			return
		}
		if err := settings.Validate(s); err != nil {
			t.Fatalf("accepted, but invalid: %v", err)
		}
		if _, err := proto.Marshal(s); err != nil {
			t.Fatalf("accepted, but can't be encoded: %v", err)
		}
	})
}
