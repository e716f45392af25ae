package node_test

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const operatorsPage = "../docs/OPERATIONS.md"

// Operators look up log events and metrics on the operators' page. Each must have
// a row there.
func TestLogEventsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(operatorsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	events := regexp.MustCompile(`\.Msg\("([a-z-]+)"\)`)
	found := 0
	for _, f := range files {
		source, err := os.ReadFile(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, m := range events.FindAllStringSubmatch(string(source), -1) {
			found++
			g.Expect(string(page)).To(gomega.MatchRegexp(`(?m)^\|[^|]*\b`+m[1]+`\b`), "in a row of the table")
		}
	}
	g.Expect(found).To(gomega.BeNumerically(">", 10))
}

func TestMetricsAreDocumented(t *testing.T) {
	g, _, n, _ := startNode(t, withoutTLS)
	page, err := os.ReadFile(operatorsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	res, err := http.Get("http://" + n.OperatorAddress() + "/metrics")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	found := 0
	for _, line := range strings.Split(string(text), "\n") {
		name, ok := strings.CutPrefix(line, "# HELP sapphirepoint_")
		if !ok {
			continue
		}
		found++
		name, _, _ = strings.Cut(name, " ")
		g.Expect(string(page)).To(gomega.MatchRegexp(`(?m)^\|[^|]*\b` + name + `\b`))
	}
	g.Expect(found).To(gomega.BeNumerically(">", 10))
}
