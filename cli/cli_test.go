package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/logging"
	"sapphirepoint.example/sapphirepoint/standin"
)

const (
	patience = 20 * time.Second
	poll     = 20 * time.Millisecond
)

// buffer is safe to write from a node and to read from a test.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// run executes a command with the given standard input.
func run(t *testing.T, stdin string, args ...string) (int, string, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out, err buffer
	code := Run(ctx, args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &err})
	return code, out.String(), err.String()
}

// deploy starts two entry nodes and two runners and points the environment of
// the commands at them. It returns the cluster and its log.
func deploy(t *testing.T) (*standin.Cluster, *buffer) {
	t.Helper()
	log := &buffer{}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := standin.Start(ctx, standin.Layout{
		FailureDomains: []string{"loughborough", "melton"}, NodesPerDomain: 1, RunnersPerDomain: 1,
		Log: logging.New(log, zerolog.TraceLevel),
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() {
		c.Close()
		cancel()
	})
	t.Setenv(envEntry, c.Entries[0].CallerAddress()+","+c.Entries[1].CallerAddress())
	t.Setenv(envOperator, c.Entries[0].OperatorAddress()+","+c.Entries[1].OperatorAddress())
	t.Setenv(envToken, standin.Token)
	t.Setenv(envOperatorToken, standin.OperatorToken)
	return c, log
}

const labels = `
service: labels
team: kitchens
tasks:
  - payload: '{"run_ms": 20, "output": "sesame"}'
    run_time: 20ms
    count: 3
`

const slowLabels = `{"service": "labels", "team": "kitchens", "tasks": [{"payload": "{\"run_ms\": 15000}", "count": 20}]}`

func TestSubmitPrintsTheAnswerAndItsExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	deploy(t)
	code, out, errs := run(t, labels, "submit", "-")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Expect(out).To(gomega.MatchRegexp(`^complete i/\S+/[0-9a-f]{16}/\d+: 3 results\n0\tsesame\n1\tsesame\n2\tsesame\n$`))
	code, out, _ = run(t, labels, "submit", "-", "-o", "json", "--key", "tray-4")
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(out).To(gomega.ContainSubstring(`"outcome": "OUTCOME_COMPLETE"`))
	code, out, errs = run(t, strings.ReplaceAll(labels, "sesame", "milk"), "submit", "-", "--key", "tray-4")
	g.Expect(code).To(gomega.Equal(ExitRejected), "another payload under a used key")
	g.Expect(out).To(gomega.BeEmpty())
	g.Expect(errs).To(gomega.ContainSubstring("another payload"))
}

func TestALoadIsSummedUpWithTheEntriesWaste(t *testing.T) {
	g := gomega.NewWithT(t)
	deploy(t)
	code, out, errs := run(t, labels, "submit", "-", "--repeat", "20", "--rate", "200", "-o", "json")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	var s summary
	g.Expect(json.Unmarshal([]byte(out), &s)).To(gomega.Succeed())
	g.Expect(s.Jobs).To(gomega.Equal(20))
	g.Expect(s.Outcomes).To(gomega.Equal(map[string]int{"complete": 20}))
	g.Expect(s.OverIdeal.Mean).To(gomega.BeNumerically(">=", 1))
	g.Expect(s.Entries.TaskStarts).To(gomega.BeEquivalentTo(60))
	g.Expect(s.Entries.Wasted).To(gomega.HaveKeyWithValue("platform_list", gomega.BeNumerically(">", 0)))
	g.Expect(s.Entries.OverIdealMean).To(gomega.BeNumerically(">=", 1))
	code, out, _ = run(t, labels, "submit", "-", "--duration", "50ms", "--concurrency", "2")
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(out).To(gomega.And(gomega.ContainSubstring("response over ideal (20 ms"), gomega.ContainSubstring("wasted messages a task")))
}

// A job waits and its caller asks why. Without the reason an operator can only
// guess between a full deployment, a claim in the table service and a bug.
func TestDumpExplainsWhyAJobWaitsAndCancelEndsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	deploy(t)
	var out, errs buffer
	done := make(chan int, 1)
	go func() {
		done <- Run(context.Background(), []string{"submit", "-"}, Streams{In: strings.NewReader(slowLabels), Out: &out, Err: &errs})
	}()
	g.Eventually(errs.String, patience, poll).Should(gomega.MatchRegexp(`id i/\S+\n`))
	id := strings.Fields(errs.String())[1]
	g.Eventually(func() string {
		_, text, _ := run(t, "", "dump", "--job", id)
		return text
	}, patience, poll).Should(gomega.And(
		gomega.ContainSubstring("waits for an idle slot"),
		gomega.ContainSubstring("tasks waiting 4, running 16"),
		gomega.MatchRegexp(`task \d+ runs at \S+-runner-0, sent \d+ ms ago`),
	))
	_, text, _ := run(t, "", "dump")
	g.Expect(text).To(gomega.And(gomega.ContainSubstring("WAITS FOR"), gomega.ContainSubstring("settings version")))
	code, text, _ := run(t, "", "cancel", id)
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(text).To(gomega.ContainSubstring("failed " + id + ": cancelled"))
	g.Eventually(done, patience).Should(gomega.Receive(gomega.Equal(ExitFailed)))
	code, _, _ = run(t, "", "dump", "--job", "i/nowhere/0/1")
	g.Expect(code).To(gomega.Equal(ExitError))
}

// Two operators apply settings over the same version. If both were accepted,
// the first one's change would be undone without anybody noticing.
func TestSettingsAreAppliedOverTheExpectedVersionOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	deploy(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	raw, err := os.ReadFile("../examples/settings.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(file, raw, 0o600)).To(gomega.Succeed())
	code, out, errs := run(t, "", "settings", "apply", file, "--expect-version", "1")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Expect(out).To(gomega.ContainSubstring("version 2 is accepted"))
	code, _, errs = run(t, "", "settings", "apply", file, "--expect-version", "1")
	g.Expect(code).To(gomega.Equal(ExitRejected))
	g.Expect(errs).To(gomega.ContainSubstring("expected version 1, but 2 is current"))
	g.Eventually(func() string {
		_, out, _ := run(t, "", "settings", "show")
		return out
	}, patience, poll).Should(gomega.And(
		gomega.ContainSubstring("version 2 is in force"),
		gomega.MatchRegexp(`loughborough-0 +[0-9a-f]{16} +loughborough +2 +\S+ ago +yes`),
		gomega.MatchRegexp(`melton-0 +[0-9a-f]{16} +melton +2 +\S+ ago +yes`),
	))
}

func TestDrainEndsAProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	c, _ := deploy(t)
	code, _, errs := run(t, "", "drain", "--operator", c.Entries[0].OperatorAddress())
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Eventually(c.Entries[0].Done, patience).Should(gomega.BeClosed())
	code, _, errs = run(t, labels, "submit", "-")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
}

// A token in a log or a dump reaches everybody who may read those; with it
// they could cancel another institution's jobs or replace the settings.
func TestNoTokenReachesALogADumpOrTheOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	_, log := deploy(t)
	var seen strings.Builder
	for _, args := range [][]string{
		{"submit", "-"}, {"dump"}, {"dump", "-o", "json"}, {"settings", "show"}, {"settings", "show", "-o", "json"},
		{"submit", "-", "--repeat", "3"}, {"cancel", "o/none"}, {"submit", "-", "--key", "k", "--timeout", "1ms"},
	} {
		_, out, errs := run(t, labels, args...)
		seen.WriteString(out + errs)
	}
	t.Setenv(envToken, "a-wrong-secret")
	t.Setenv(envOperatorToken, "another-wrong-secret")
	_, _, errs := run(t, labels, "submit", "-")
	seen.WriteString(errs)
	_, _, errs = run(t, "", "dump")
	seen.WriteString(errs + log.String())
	g.Expect(seen.String()).To(gomega.ContainSubstring("event=settings-in-force"))
	for _, secret := range []string{standin.Token, standin.OperatorToken, "a-wrong-secret", "another-wrong-secret", "PRIVATE KEY"} {
		g.Expect(seen.String()).NotTo(gomega.ContainSubstring(secret))
	}
}

func TestMistakesInUseAreUsageErrors(t *testing.T) {
	t.Setenv(envEntry, "127.0.0.1:1")
	t.Setenv(envToken, "t")
	cases := []struct {
		stdin string
		args  []string
		want  string
	}{
		{"", []string{"bogus"}, "unknown command"},
		{"", []string{"settings", "check"}, "accepts 1 arg"},
		{"", []string{"settings", "apply", "x"}, `"expect-version" not set`},
		{"", []string{"dump", "-o", "xml"}, "neither text nor json"},
		{"", []string{"dump"}, "--operator-token-file, SAPPHIREPOINT_OPERATOR_TOKEN_FILE or SAPPHIREPOINT_OPERATOR_TOKEN is needed"},
		{"", []string{"cancel", "i/x"}, "isn't an id"},
		{"", []string{"submit", "no-such-file"}, "no such file"},
		{"sevice: labels", []string{"submit", "-"}, "unknown field"},
		{"service: labels", []string{"submit", "-"}, "tasks: at least one"},
		{"service: labels\ntasks: [{payload: a, payload_base64: YQ==}]", []string{"submit", "-"}, "tasks[0]: payload and payload_base64 exclude"},
		{"service: labels\ntimeout: 5\ntasks: [{payload: a}]", []string{"submit", "-"}, `timeout: "5" isn't a time with its unit`},
		{labels, []string{"submit", "-", "--rate", "5"}, "a load needs --repeat or --duration"},
		{labels, []string{"submit", "-", "--key", "a", "--id", "o/b"}, "exclude each other"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " ")+" "+c.want, func(t *testing.T) {
			g := gomega.NewWithT(t)
			code, _, errs := run(t, c.stdin, c.args...)
			g.Expect(code).To(gomega.Equal(ExitUsage), errs)
			g.Expect(errs).To(gomega.ContainSubstring(c.want))
		})
	}
}

func TestSettingsCheckReportsEveryMistake(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "s.yaml")
	g.Expect(os.WriteFile(file, []byte("institutions:\n  - name: a\n    colour: red\n"), 0o600)).To(gomega.Succeed())
	code, _, errs := run(t, "", "settings", "check", file)
	g.Expect(code).To(gomega.Equal(ExitUsage))
	g.Expect(errs).To(gomega.And(gomega.ContainSubstring("s.yaml:3: institutions[0].colour: unknown field"), gomega.ContainSubstring("institutions[0].services: at least one is needed")))
}

// An operator makes keys in a directory that holds some. Overwritten, the old
// authority's key is gone and no VM that it signed for can be joined any more.
func TestKeysAndTokensAreWrittenOnceAndForTheirOwnerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Chdir(t.TempDir())
	for _, args := range [][]string{
		{"keys", "ca"}, {"keys", "process", "--node", "n1"}, {"token", "--file", "t.token"},
		{"keys", "ca", "--cert", "callers-ca.pem", "--key", "callers-ca.key"}, {"keys", "caller", "--name", "tills"},
	} {
		code, _, errs := run(t, "", args...)
		g.Expect(code).To(gomega.Equal(ExitDone), errs)
		code, _, _ = run(t, "", args...)
		g.Expect(code).To(gomega.Equal(ExitUsage), "a second time")
	}
	for _, secret := range []string{"ca.key", "n1.key", "t.token", "tills.key"} {
		info, err := os.Stat(secret)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)), secret)
	}
}
