package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/keys"
)

const exampleProcess = "../examples/process.yaml"

// writeProcessDir creates a directory with the files that the example names and a settings
// file with the given text, and returns the path of the settings file.
func writeProcessDir(t *testing.T, text string) string {
	t.Helper()
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	ca, err := keys.NewCA("test")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	callers, err := keys.NewCA("callers")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pair, err := keys.NewProcessCertificate(ca, "loughborough-1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for name, data := range map[string][]byte{
		"ca.pem": ca.Cert, "loughborough-1.pem": pair.Cert, "loughborough-1.key": pair.Key,
		"callers-ca.pem": callers.Cert, "callers.pem": pair.Cert, "callers.key": pair.Key, "operators.pem": pair.Cert, "operators.key": pair.Key,
		"operator.token": []byte("operators-secret\n"), "p.yaml": []byte(text),
	} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), data, 0o600)).To(gomega.Succeed())
	}
	return filepath.Join(dir, "p.yaml")
}

func exampleText(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(exampleProcess)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return string(raw)
}

func TestExampleProcessSettingsStartANode(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := LoadProcess(writeProcessDir(t, exampleText(t)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cfg, err := p.NodeConfig(zerolog.Nop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(cfg.OperatorToken).To(gomega.Equal("operators-secret"))
	g.Expect(cfg.MaxRequestBytes).To(gomega.Equal(32 << 20))
	g.Expect(cfg.CallerTLS).NotTo(gomega.BeNil())
}

// A process file has a mistake or names a file that doesn't exist. If it were noticed only when
// the first peer or caller connects, the VM would look healthy until then; it must be reported
// at the start, with its line and field.
func TestMistakesInProcessSettingsAreRejectedWithTheirPosition(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown section", "platform:\n", "platfrom:\n", "p.yaml:16: platfrom: unknown field"},
		{"unknown field", "  peers: 127", "  pears: 127", "p.yaml:13: listen.pears: unknown field"},
		{"host name in place of an IP", "127.0.0.1:7100", "localhost:7100", `p.yaml:11: listen.callers: "localhost:7100" isn't an IP address with a port`},
		{"address twice", "127.0.0.1:7200", "127.0.0.1:7100", "p.yaml:12: listen.operators: 127.0.0.1:7100 is the address of listen.callers too"},
		{"URL without scheme", "http://127.0.0.1:7000", "127.0.0.1:7000", `platform.url: "127.0.0.1:7000" isn't an http or https URL`},
		{"missing file", "ca: ca.pem", "ca: nowhere.pem", "nowhere.pem: no such file or directory"},
		{"key without certificate", "  cert: callers.pem\n", "", "caller_tls.cert: must name a file"},
		{"same authority for callers and peers", "client_ca: callers-ca.pem", "client_ca: ca.pem", "caller_tls.client_ca: must not be the authority of the peer link"},
		{"size without unit", "32MiB", "32", `limits.max_request: "32" isn't a size with its unit`},
		{"request over the limit of peer messages", "32MiB", "64MiB", "limits.max_request: 64MiB must be above 0 and at most 32 MiB"},
		{"zero connections", "caller_connections: 4096", "caller_connections: 0", "limits.caller_connections: must be above 0"},
		{"not a number", "caller_connections: 4096", "caller_connections: many", "limits.caller_connections: "},
		{"unknown log level", "log_level: info", "log_level: loud", `log_level: "loud" is none of`},
		{"empty node", "node: loughborough-1", "node: ''", "p.yaml:5: node: must not be empty"},
		{"section without fields", "platform:\n  url: http://127.0.0.1:7000\n", "platform:\n", "platform: must be a mapping of fields"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := exampleText(t)
			g.Expect(text).To(gomega.ContainSubstring(c.old))
			_, err := LoadProcess(writeProcessDir(t, strings.Replace(text, c.old, c.new, 1)))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}

func TestAllMistakesInProcessSettingsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.NewReplacer(": ca.pem", ": gone.pem", "log_level: info", "log_level: loud", "127.0.0.1:7400", "x").Replace(exampleText(t))
	_, err := LoadProcess(writeProcessDir(t, text))
	g.Expect(strings.Split(err.Error(), "\n")).To(gomega.HaveLen(3))
}
