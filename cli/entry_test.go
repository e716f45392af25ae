package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/standin/deployment"
)

func runEntry(input string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Run(context.Background(), append([]string{"entry"}, args...), Streams{In: strings.NewReader(input), Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

func TestEntrySettings(t *testing.T) {
	g := NewWithT(t)
	n := deployment.Node{Name: "front-a-1", Domain: "a", CallerAddress: "127.0.0.1:1", HealthAddress: "127.0.0.1:2", PeerPort: 7720}
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := n.Settings("127.0.0.1:3", 6)
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	code, out, _ := runEntry("", "settings", path)
	g.Expect(code).To(BeZero())
	g.Expect(out).To(ContainSubstring("node front-a-1 in a"))
	g.Expect(out).To(ContainSubstring("store at 127.0.0.1:3"))

	g.Expect(os.WriteFile(path, []byte(strings.Replace(text, "graceS = 6", "", 1)), 0o600)).To(Succeed())
	code, _, errs := runEntry("", "settings", path)
	g.Expect(code).To(Equal(2))
	g.Expect(errs).To(ContainSubstring("graceS"))
}

func TestEntryExplain(t *testing.T) {
	g := NewWithT(t)
	log := "time=2026-05-14T06:43:01.5Z level=info event=request-answered job=407d4e0ef10b4617 node=front-3 objective=380 outcome=gave-up reason=\"time is up\" took=1900\n"
	code, out, _ := runEntry(log, "explain", "407d4e0ef10b4617")
	g.Expect(code).To(BeZero())
	g.Expect(out).To(ContainSubstring("answered gave-up by front-3 after 1900 ms"))
	code, _, errs := runEntry("", "explain", "407d4e0ef10b4617", filepath.Join(t.TempDir(), "none"))
	g.Expect(code).To(Equal(1))
	g.Expect(errs).To(ContainSubstring("none"))
}

func TestEntryDumpOfUnreachableProcess(t *testing.T) {
	g := NewWithT(t)
	code, _, errs := runEntry("", "dump", "127.0.0.1:1")
	g.Expect(code).To(Equal(1))
	g.Expect(errs).To(ContainSubstring("dump"))
}
