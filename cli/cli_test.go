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
	testTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// buffer is a buffer for concurrent use by a node that writes and a test that reads.
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

// runCommand executes a command with the given standard input and returns its exit code and
// outputs.
func runCommand(t *testing.T, stdin string, args ...string) (int, string, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var out, err buffer
	code := Run(ctx, args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &err})
	return code, out.String(), err.String()
}

// startCluster starts two entry nodes and two runners and sets the environment variables of the
// commands to their addresses and tokens. It returns the cluster and its log.
func startCluster(t *testing.T) (*standin.Cluster, *buffer) {
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

const labelsJob = `
service: labels
team: kitchens
tasks:
  - payload: '{"run_ms": 20, "output": "sesame"}'
    run_time: 20ms
    count: 3
`

const slowLabelsJob = `{"service": "labels", "team": "kitchens", "tasks": [{"payload": "{\"run_ms\": 15000}", "count": 20}]}`

func TestSubmitPrintsTheAnswerAndItsExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	startCluster(t)
	code, out, errs := runCommand(t, labelsJob, "submit", "-")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Expect(out).To(gomega.MatchRegexp(`^complete i/\S+/[0-9a-f]{16}/\d+: 3 results\n0\tsesame\n1\tsesame\n2\tsesame\n$`))
	code, out, _ = runCommand(t, labelsJob, "submit", "-", "-o", "json", "--key", "tray-4")
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(out).To(gomega.ContainSubstring(`"outcome": "OUTCOME_COMPLETE"`))
	code, out, errs = runCommand(t, strings.ReplaceAll(labelsJob, "sesame", "milk"), "submit", "-", "--key", "tray-4")
	g.Expect(code).To(gomega.Equal(ExitRejected), "another payload under a used key")
	g.Expect(out).To(gomega.BeEmpty())
	g.Expect(errs).To(gomega.ContainSubstring("another payload"))
}

// Guards against a script that takes the rejection of its second try for the outcome of the first.
func TestRejectedResubmissionIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	startCluster(t)
	code, _, errs := runCommand(t, labelsJob, "submit", "-", "--key", "tray-5")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	t.Setenv(envToken, "an expired token")
	code, _, _ = runCommand(t, labelsJob, "submit", "-", "--key", "tray-6")
	g.Expect(code).To(gomega.Equal(ExitRejected), "it wasn't submitted before")
	code, _, errs = runCommand(t, labelsJob, "submit", "-", "--id", "o/tray-5")
	g.Expect(code).To(gomega.Equal(ExitUnknown))
	g.Expect(errs).To(gomega.ContainSubstring("submit again with --id o/tray-5"))
	g.Expect(errs).To(gomega.ContainSubstring("unauthenticated"))
}

func TestLoadSummaryIncludesWastedMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	startCluster(t)
	code, out, errs := runCommand(t, labelsJob, "submit", "-", "--repeat", "20", "--rate", "200", "-o", "json")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	var s summary
	g.Expect(json.Unmarshal([]byte(out), &s)).To(gomega.Succeed())
	g.Expect(s.Jobs).To(gomega.Equal(20))
	g.Expect(s.Outcomes).To(gomega.Equal(map[string]int{"complete": 20}))
	g.Expect(s.OverIdeal.Mean).To(gomega.BeNumerically(">=", 1))
	g.Expect(s.Entries.TaskStarts).To(gomega.BeEquivalentTo(60))
	g.Expect(s.Entries.Wasted).To(gomega.HaveKeyWithValue("platform_list", gomega.BeNumerically(">", 0)))
	g.Expect(s.Entries.OverIdealMean).To(gomega.BeNumerically(">=", 1))
	code, out, _ = runCommand(t, labelsJob, "submit", "-", "--duration", "50ms", "--concurrency", "2")
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(out).To(gomega.And(gomega.ContainSubstring("response over ideal (20 ms"), gomega.ContainSubstring("wasted messages a task")))
}

// A job waits and its caller asks why. The dump must give the reason: without it an operator
// can't distinguish a full deployment, a pending claim in the table service and a bug.
func TestDumpExplainsWhyAJobWaitsAndCancelEndsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	startCluster(t)
	var out, errs buffer
	done := make(chan int, 1)
	go func() {
		done <- Run(context.Background(), []string{"submit", "-"}, Streams{In: strings.NewReader(slowLabelsJob), Out: &out, Err: &errs})
	}()
	g.Eventually(errs.String, testTimeout, pollInterval).Should(gomega.MatchRegexp(`id i/\S+\n`))
	id := strings.Fields(errs.String())[1]
	g.Eventually(func() string {
		_, text, _ := runCommand(t, "", "dump", "--job", id)
		return text
	}, testTimeout, pollInterval).Should(gomega.And(
		gomega.ContainSubstring("waits for an idle slot"),
		gomega.ContainSubstring("tasks waiting 4, running 16"),
		gomega.MatchRegexp(`task \d+ runs at \S+-runner-0, sent \d+ ms ago`),
	))
	_, text, _ := runCommand(t, "", "dump")
	g.Expect(text).To(gomega.And(gomega.ContainSubstring("WAITS FOR"), gomega.ContainSubstring("settings version")))
	code, text, _ := runCommand(t, "", "cancel", id)
	g.Expect(code).To(gomega.Equal(ExitDone))
	g.Expect(text).To(gomega.ContainSubstring("failed " + id + ": cancelled"))
	g.Eventually(done, testTimeout).Should(gomega.Receive(gomega.Equal(ExitFailed)))
	code, _, _ = runCommand(t, "", "dump", "--job", "i/nowhere/0/1")
	g.Expect(code).To(gomega.Equal(ExitError))
}

// Two operators apply settings that replace the same version. If both were accepted, the first
// one's change would be lost silently.
func TestSettingsAreAppliedOverTheExpectedVersionOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	startCluster(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	raw, err := os.ReadFile("../examples/settings.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(file, raw, 0o600)).To(gomega.Succeed())
	code, out, errs := runCommand(t, "", "settings", "apply", file, "--expect-version", "1")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Expect(out).To(gomega.ContainSubstring("version 2 is accepted"))
	code, _, errs = runCommand(t, "", "settings", "apply", file, "--expect-version", "1")
	g.Expect(code).To(gomega.Equal(ExitRejected))
	g.Expect(errs).To(gomega.ContainSubstring("expected version 1, but 2 is current"))
	g.Eventually(func() string {
		_, out, _ := runCommand(t, "", "settings", "show")
		return out
	}, testTimeout, pollInterval).Should(gomega.And(
		gomega.ContainSubstring("version 2 is in force"),
		gomega.MatchRegexp(`loughborough-0 +[0-9a-f]{16} +loughborough +2 +\S+ ago +yes`),
		gomega.MatchRegexp(`melton-0 +[0-9a-f]{16} +melton +2 +\S+ ago +yes`),
	))
}

func TestDrainEndsAProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	c, _ := startCluster(t)
	code, _, errs := runCommand(t, "", "drain", "--operator", c.Entries[0].OperatorAddress())
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
	g.Eventually(c.Entries[0].Done, testTimeout).Should(gomega.BeClosed())
	code, _, errs = runCommand(t, labelsJob, "submit", "-")
	g.Expect(code).To(gomega.Equal(ExitDone), errs)
}

// Readers of logs and dumps must not see tokens: with them they could cancel another
// institution's jobs or replace the settings.
func TestNoTokenReachesALogADumpOrTheOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	_, log := startCluster(t)
	var seen strings.Builder
	for _, args := range [][]string{
		{"submit", "-"}, {"dump"}, {"dump", "-o", "json"}, {"settings", "show"}, {"settings", "show", "-o", "json"},
		{"submit", "-", "--repeat", "3"}, {"cancel", "o/none"}, {"submit", "-", "--key", "k", "--timeout", "1ms"},
	} {
		_, out, errs := runCommand(t, labelsJob, args...)
		seen.WriteString(out + errs)
	}
	t.Setenv(envToken, "a-wrong-secret")
	t.Setenv(envOperatorToken, "another-wrong-secret")
	_, _, errs := runCommand(t, labelsJob, "submit", "-")
	seen.WriteString(errs)
	_, _, errs = runCommand(t, "", "dump")
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
		{labelsJob, []string{"submit", "-", "--rate", "5"}, "a load needs --repeat or --duration"},
		{labelsJob, []string{"submit", "-", "--key", "a", "--id", "o/b"}, "exclude each other"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " ")+" "+c.want, func(t *testing.T) {
			g := gomega.NewWithT(t)
			code, _, errs := runCommand(t, c.stdin, c.args...)
			g.Expect(code).To(gomega.Equal(ExitUsage), errs)
			g.Expect(errs).To(gomega.ContainSubstring(c.want))
		})
	}
}

func TestSettingsCheckReportsEveryMistake(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "s.yaml")
	g.Expect(os.WriteFile(file, []byte("institutions:\n  - name: a\n    colour: red\n"), 0o600)).To(gomega.Succeed())
	code, _, errs := runCommand(t, "", "settings", "check", file)
	g.Expect(code).To(gomega.Equal(ExitUsage))
	g.Expect(errs).To(gomega.And(gomega.ContainSubstring("s.yaml:3: institutions[0].colour: unknown field"), gomega.ContainSubstring("institutions[0].services: at least one is needed")))
}

// An operator creates keys in a directory that already contains keys. If they were overwritten,
// the old authority's key would be lost, and no VM could be added to those whose certificates
// it signed.
func TestKeysAndTokensAreWrittenOnceAndForTheirOwnerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Chdir(t.TempDir())
	for _, args := range [][]string{
		{"keys", "ca"}, {"keys", "process", "--node", "n1"}, {"token", "--file", "t.token"},
		{"keys", "ca", "--cert", "callers-ca.pem", "--key", "callers-ca.key"}, {"keys", "caller", "--name", "tills"},
	} {
		code, _, errs := runCommand(t, "", args...)
		g.Expect(code).To(gomega.Equal(ExitDone), errs)
		code, _, _ = runCommand(t, "", args...)
		g.Expect(code).To(gomega.Equal(ExitUsage), "the files exist already")
	}
	for _, secret := range []string{"ca.key", "n1.key", "t.token", "tills.key"} {
		info, err := os.Stat(secret)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)), secret)
	}
}
