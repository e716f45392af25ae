// Package config reads settings files: those of a process, needed at its start, and the
// settings that operators declare. A file with mistakes is rejected as a whole; each mistake is
// reported with file, line, field and problem.
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

// Process holds the settings that an entry process needs at its start. Relative paths of files
// are resolved against the directory of the settings file.
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

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Platform holds the address of the platform's services.
type Platform struct {
	URL string `yaml:"url"`
}

// PeerTLS names the PEM files for the peer link: the connections between entry processes.
type PeerTLS struct {
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// ServerTLS names the PEM files of a listener; without them it accepts connections without TLS.
type ServerTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// CallerTLS names the PEM files of the callers' listener.
type CallerTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// ClientCA is the authority of the client certificates that callers may present
	// instead of a token; empty means that only tokens are accepted.
	ClientCA string `yaml:"client_ca"`
}

// Credentials names the file that holds a bearer token.
type Credentials struct {
	TokenFile string `yaml:"token_file"`
}

// Limits bounds what the process accepts from callers and operators.
type Limits struct {
	// MaxRequest is the largest request of a caller or operator, such as 32MiB.
	MaxRequest string `yaml:"max_request"`
	// RequestMemory bounds the memory of all requests of callers that are in progress, such as 512MiB.
	RequestMemory string `yaml:"request_memory"`
	// CallerConnections and OperatorConnections are the maximum numbers of open
	// connections; further ones wait to be accepted.
	CallerConnections   int `yaml:"caller_connections"`
	OperatorConnections int `yaml:"operator_connections"`
}

// defaults returns the values of settings that the file leaves out.
func defaults() *Process {
	return &Process{
		LogLevel: zerolog.InfoLevel.String(),
		Limits: Limits{
			MaxRequest:          "32MiB",
			RequestMemory:       "512MiB",
			CallerConnections:   node.DefaultMaxCallerConnections,
			OperatorConnections: node.DefaultMaxOperatorConnections,
		},
	}
}

// LoadProcess reads and checks a process settings file, including that the files named in
// it exist. An error about its content is of type Problems.
func LoadProcess(path string) (*Process, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	d, err := parseDocument(path, raw)
	if err != nil {
		return nil, err
	}
	p := defaults()
	d.checkFields("", d.root, reflect.TypeFor[Process]())
	if d.problems == nil {
		if err := yaml.UnmarshalWithOptions(raw, p, yaml.Strict()); err != nil {
			problem := syntaxProblem(path, err)
			problem.Field = d.fieldOnLine(problem.Line)
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

// checkFields reports fields that a section doesn't have and values that aren't scalars.
func (d *document) checkFields(parent string, n ast.Node, section reflect.Type) {
	fields := make(map[string]reflect.Type)
	for i := range section.NumField() {
		f := section.Field(i)
		fields[f.Tag.Get("yaml")] = f.Type
	}
	d.eachField(parent, n, func(path, name string, value ast.Node) {
		t, ok := fields[name]
		switch {
		case !ok:
			d.addProblem(path, "unknown field")
		case t.Kind() == reflect.Struct:
			d.checkFields(path, value, t)
		default:
			d.scalarText(path, value)
		}
	})
}

// resolve resolves relative paths of files against a directory.
func (p *Process) resolve(dir string) {
	for _, f := range p.files() {
		if *f.path != "" && !filepath.IsAbs(*f.path) {
			*f.path = filepath.Join(dir, *f.path)
		}
	}
}

// fileField is a setting that names a file.
type fileField struct {
	name     string
	path     *string
	required bool
}

// files lists the settings that name files. A certificate requires its key and the reverse.
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

// check checks each section, unless the file could not be decoded.
func (p *Process) check(d *document) {
	if d.problems != nil {
		return
	}
	if p.Node == "" {
		d.addProblem("node", "must not be empty")
	}
	if p.FailureDomain == "" {
		d.addProblem("failure_domain", "must not be empty")
	}
	p.Listen.check(d)
	p.Platform.check(d)
	p.Limits.check(d)
	for _, f := range p.files() {
		checkFile(d, f)
	}
	p.checkClientCA(d)
	if _, err := zerolog.ParseLevel(p.LogLevel); err != nil {
		d.addProblem("log_level", "%q is none of trace, debug, info, warn, error", p.LogLevel)
	}
}

// checkClientCA requires separate authorities for callers and peers: with a certificate that
// the peer link trusts, a caller could pose as an entry process and read every job.
func (p *Process) checkClientCA(d *document) {
	if p.CallerTLS.ClientCA == "" {
		return
	}
	if p.CallerTLS.Cert == "" {
		d.addProblem("caller_tls.client_ca", "needs caller_tls.cert and caller_tls.key")
	}
	clients, err := os.ReadFile(p.CallerTLS.ClientCA)
	peers, peerErr := os.ReadFile(p.PeerTLS.CA)
	if err == nil && peerErr == nil && bytes.Equal(clients, peers) {
		d.addProblem("caller_tls.client_ca", "must not be the authority of the peer link")
	}
}

// check checks that each address is an IP address with a port, and that none is used twice.
func (l Listen) check(d *document) {
	fields := make(map[string]string)
	for _, f := range []struct{ name, address string }{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.peers", l.Peers},
	} {
		address, err := netip.ParseAddrPort(f.address)
		if err != nil {
			d.addProblem(f.name, "%q isn't an IP address with a port, such as 10.0.0.7:7100", f.address)
			continue
		}
		if other, ok := fields[f.address]; ok && address.Port() != 0 {
			d.addProblem(f.name, "%s is the address of %s too", f.address, other)
		}
		fields[f.address] = f.name
	}
}

func (p Platform) check(d *document) {
	u, err := url.Parse(p.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		d.addProblem("platform.url", "%q isn't an http or https URL", p.URL)
	}
}

// check limits requests to the size of a message between peers, since any request may have
// to be forwarded.
func (l Limits) check(d *document) {
	n, err := parseSize(l.MaxRequest, 1)
	switch {
	case err != nil:
		d.addProblem("limits.max_request", "%s", err)
	case n == 0 || n > node.DefaultMaxRequestBytes:
		d.addProblem("limits.max_request", "%s must be above 0 and at most %d MiB", l.MaxRequest, node.DefaultMaxRequestBytes>>20)
	}
	memory, memoryErr := parseSize(l.RequestMemory, 1)
	switch {
	case memoryErr != nil:
		d.addProblem("limits.request_memory", "%s", memoryErr)
	case err == nil && memory < node.MinRequestMemory(n):
		d.addProblem("limits.request_memory", "%s must be at least %d bytes for a request of max_request", l.RequestMemory, node.MinRequestMemory(n))
	}
	if l.CallerConnections <= 0 {
		d.addProblem("limits.caller_connections", "must be above 0")
	}
	if l.OperatorConnections <= 0 {
		d.addProblem("limits.operator_connections", "must be above 0")
	}
}

// checkFile checks that a file is named if required and that a named file exists.
func checkFile(d *document, f fileField) {
	if *f.path == "" {
		if f.required {
			d.addProblem(f.name, "must name a file")
		}
		return
	}
	info, err := os.Stat(*f.path)
	switch {
	case err != nil:
		d.addProblem(f.name, "%s", err)
	case info.IsDir():
		d.addProblem(f.name, "%s is a directory", *f.path)
	}
}

// maxRequestBytes returns MaxRequest in bytes; the setting has been checked before.
func (l Limits) maxRequestBytes() int { return int(checkedSize("max_request", l.MaxRequest)) }

// requestMemory returns RequestMemory in bytes; the setting has been checked before.
func (l Limits) requestMemory() int64 { return int64(checkedSize("request_memory", l.RequestMemory)) }

// checkedSize returns a size in bytes that has been checked before.
func checkedSize(name, size string) uint64 {
	n, err := parseSize(size, 1)
	if err != nil {
		panic("config: validated limits." + name + " is unreadable: " + err.Error())
	}
	return uint64(n)
}

// operatorToken reads the operators' bearer token.
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
