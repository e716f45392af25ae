package workload

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTaskNameRoundTrip(t *testing.T) {
	g := NewWithT(t)
	n := TaskName{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	g.Expect(n.String()).To(Equal("5c0e7a21d94b36f8.0.1.17"))
	back, err := ParseTaskName(n.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(n))
	for _, bad := range []string{"", "a.0.1", "a.0.x.1", "a.0.1.x"} {
		_, err := ParseTaskName(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}

func TestCriticalPath(t *testing.T) {
	j := &Job{Steps: []Step{
		{Tasks: 1, Estimate: time.Second},
		{Tasks: 1, Estimate: 3 * time.Second},
		{Tasks: 1, Estimate: time.Second, DependsOn: []int{0}},
	}}
	NewWithT(t).Expect(j.CriticalPath()).To(Equal(3 * time.Second))
}

func TestValidate(t *testing.T) {
	cases := map[string]Job{
		"no steps":        {},
		"no tasks":        {Steps: []Step{{}}},
		"too many tasks":  {Steps: []Step{{Tasks: MaxTasks}, {Tasks: 1}}},
		"depends on next": {Steps: []Step{{Tasks: 1, DependsOn: []int{1}}, {Tasks: 1}}},
		"negative need":   {Steps: []Step{{Tasks: 1, Need: Resources{GPU: -1}}}},
	}
	for name, j := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(j.Validate()).NotTo(Succeed())
		})
	}
}
