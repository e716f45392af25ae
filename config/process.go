// Package config reads the settings files: what a process needs to start, and
// what operators declare. A file with mistakes is rejected as a whole, with
// file, line, field and problem for each of them.
package config

import (
	"bytes"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/node"
)

// Process is what an entry process needs to start. Paths of files are taken
// from the directory of the settings file.
type Process struct {
	// Node is the name of the VM, unique within the system.
	Node          string      `yaml:"node"`
	FailureDomain string      `yaml:"failure_domain"`
	Listen        Listen      `yaml:"listen"`
	Platform      Platform    `yaml:"platform"`
	PeerTLS       PeerTLS     `yaml:"peer_tls"`
	CallerTLS     CallerTLS   `yaml:"caller_tls"`
	OperatorTLS   ServerTLS   `yaml:"operator_tls"`
	Operators     Credentials `yaml:"operators"`
	Limits        Limits      `yaml:"limits"`
	LogLevel      string      `yaml:"log_level"`
}

// Listen holds the addresses to listen on, as IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Platform says where the platform's services are.
type Platform struct {
	URL string `yaml:"url"`
}

// PeerTLS names the PEM files of the peer link.
type PeerTLS struct {
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// ServerTLS names the PEM files of a listener; without them it takes plain
// connections.
type ServerTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// CallerTLS is the TLS of the callers' listener.
type CallerTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// ClientCA is the authority of the certificates that callers may show
	// instead of a token; empty means tokens only.
	ClientCA string `yaml:"client_ca"`
}

// Credentials names the file that holds a bearer token.
type Credentials struct {
	TokenFile string `yaml:"token_file"`
}

// Limits bounds what the process accepts from outside.
type Limits struct {
	// MaxRequest is the largest request of a caller or operator, such as 32MiB.
	MaxRequest string `yaml:"max_request"`
	// CallerConnections and OperatorConnections are the most open connections;
	// further ones wait to be accepted.
	CallerConnections   int `yaml:"caller_connections"`
	OperatorConnections int `yaml:"operator_connections"`
}

func defaults() *Process {
	return &Process{
		LogLevel: zerolog.InfoLevel.String(),
		Limits: Limits{
			MaxRequest:          "32MiB",
			CallerConnections:   node.DefaultMaxCallerConnections,
			OperatorConnections: node.DefaultMaxOperatorConnections,
		},
	}
}

// LoadProcess reads and checks a process settings file and that the files
// named in it exist. An error about its content is of type Problems.
func LoadProcess(path string) (*Process, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	d, err := parse(path, raw)
	if err != nil {
		return nil, err
	}
	p := defaults()
	d.known("", d.root, reflect.TypeFor[Process]())
	if d.problems == nil {
		if err := yaml.UnmarshalWithOptions(raw, p, yaml.Strict()); err != nil {
			problem := syntaxProblem(path, err)
			problem.Field = d.fieldAt(problem.Line)
			return nil, Problems{problem}
		}
	}
	p.resolve(filepath.Dir(path))
	p.check(d)
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	return p, nil
}

// known rejects fields that a section doesn't have.
func (d *document) known(at string, n ast.Node, section reflect.Type) {
	fields := make(map[string]reflect.Type)
	for i := range section.NumField() {
		f := section.Field(i)
		fields[f.Tag.Get("yaml")] = f.Type
	}
	d.fields(at, n, func(path, name string, value ast.Node) {
		t, ok := fields[name]
		switch {
		case !ok:
			d.reject(path, "unknown field")
		case t.Kind() == reflect.Struct:
			d.known(path, value, t)
		default:
			d.text(path, value)
		}
	})
}

// resolve makes the paths of files independent of the working directory.
func (p *Process) resolve(dir string) {
	for _, f := range p.files() {
		if *f.path != "" && !filepath.IsAbs(*f.path) {
			*f.path = filepath.Join(dir, *f.path)
		}
	}
}

type fileField struct {
	name string
	path *string
	need bool
}

func (p *Process) files() []fileField {
	return []fileField{
		{"peer_tls.ca", &p.PeerTLS.CA, true},
		{"peer_tls.cert", &p.PeerTLS.Cert, true},
		{"peer_tls.key", &p.PeerTLS.Key, true},
		{"caller_tls.cert", &p.CallerTLS.Cert, p.CallerTLS.Key != ""},
		{"caller_tls.key", &p.CallerTLS.Key, p.CallerTLS.Cert != ""},
		{"caller_tls.client_ca", &p.CallerTLS.ClientCA, false},
		{"operator_tls.cert", &p.OperatorTLS.Cert, p.OperatorTLS.Key != ""},
		{"operator_tls.key", &p.OperatorTLS.Key, p.OperatorTLS.Cert != ""},
		{"operators.token_file", &p.Operators.TokenFile, true},
	}
}

// check looks at each section unless the file as a whole couldn't be read.
func (p *Process) check(d *document) {
	if d.problems != nil {
		return
	}
	if p.Node == "" {
		d.reject("node", "must not be empty")
	}
	if p.FailureDomain == "" {
		d.reject("failure_domain", "must not be empty")
	}
	p.Listen.check(d)
	p.Platform.check(d)
	p.Limits.check(d)
	for _, f := range p.files() {
		checkFile(d, f)
	}
	p.checkClientCA(d)
	if _, err := zerolog.ParseLevel(p.LogLevel); err != nil {
		d.reject("log_level", "%q is none of trace, debug, info, warn, error", p.LogLevel)
	}
}

// checkClientCA keeps the authorities apart: a certificate that the peer link
// trusts would let its holder pose as an entry process and read every job.
func (p *Process) checkClientCA(d *document) {
	if p.CallerTLS.ClientCA == "" {
		return
	}
	if p.CallerTLS.Cert == "" {
		d.reject("caller_tls.client_ca", "needs caller_tls.cert and caller_tls.key")
	}
	clients, err := os.ReadFile(p.CallerTLS.ClientCA)
	peers, peerErr := os.ReadFile(p.PeerTLS.CA)
	if err == nil && peerErr == nil && bytes.Equal(clients, peers) {
		d.reject("caller_tls.client_ca", "must not be the authority of the peer link")
	}
}

func (l Listen) check(d *document) {
	taken := make(map[string]string)
	for _, f := range []struct{ name, address string }{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.peers", l.Peers},
	} {
		address, err := netip.ParseAddrPort(f.address)
		if err != nil {
			d.reject(f.name, "%q isn't an IP address with a port, such as 10.0.0.7:7100", f.address)
			continue
		}
		if other, ok := taken[f.address]; ok && address.Port() != 0 {
			d.reject(f.name, "%s is the address of %s too", f.address, other)
		}
		taken[f.address] = f.name
	}
}

func (p Platform) check(d *document) {
	u, err := url.Parse(p.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		d.reject("platform.url", "%q isn't an http or https URL", p.URL)
	}
}

// check also holds requests to what fits into a message between peers, since
// any request may have to be forwarded.
func (l Limits) check(d *document) {
	n, err := parseSize(l.MaxRequest, 1)
	switch {
	case err != nil:
		d.reject("limits.max_request", "%s", err)
	case n == 0 || n > node.DefaultMaxRequestBytes:
		d.reject("limits.max_request", "%s must be above 0 and at most %d MiB", l.MaxRequest, node.DefaultMaxRequestBytes>>20)
	}
	if l.CallerConnections <= 0 {
		d.reject("limits.caller_connections", "must be above 0")
	}
	if l.OperatorConnections <= 0 {
		d.reject("limits.operator_connections", "must be above 0")
	}
}

func checkFile(d *document, f fileField) {
	if *f.path == "" {
		if f.need {
			d.reject(f.name, "must name a file")
		}
		return
	}
	info, err := os.Stat(*f.path)
	switch {
	case err != nil:
		d.reject(f.name, "%s", err)
	case info.IsDir():
		d.reject(f.name, "%s is a directory", *f.path)
	}
}

// maxRequestBytes is the checked limit.
func (l Limits) maxRequestBytes() int {
	n, err := parseSize(l.MaxRequest, 1)
	if err != nil {
		panic("config: a checked limit can't be read: " + err.Error())
	}
	return int(n)
}

// operatorToken reads the operators' token.
func (c Credentials) operatorToken() (string, error) {
	raw, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return "", errors.Wrap(err, "operators.token_file")
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", errors.Errorf("operators.token_file: %s is empty", c.TokenFile)
	}
	return token, nil
}
