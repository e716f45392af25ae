// Package settings validates declared settings and holds those in force at one process. It
// decides which offered settings replace them.
package settings

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Limits on declared settings.
const (
	// MaxTasks is the maximum number of tasks that a service may allow in one job.
	MaxTasks = 10_000
	// MaxPayloadBytes is the maximum payload that a service may allow for a task, in bytes.
	MaxPayloadBytes = 1 << 20
	// MaxResponseTimeMs is the maximum response time that may be declared, in milliseconds. Issued
	// ids are valid for the same time; a job that outlived its id couldn't be resubmitted safely.
	MaxResponseTimeMs = 600_000
	maxNameBytes      = 64
	maxPercent        = 100
	msPerSecond       = 1000
	tokenDigestBytes  = 32
	// certificatePrefix distinguishes names of certificates from digests of tokens where both are
	// credentials.
	certificatePrefix = "certificate/"
)

// FieldError is a problem with one field.
type FieldError struct {
	// Field is a path such as institutions[0].teams[1].quota_slots.
	Field   string
	Problem string
}

// Error joins the field and the problem.
func (e FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// Errors are all problems found in one settings message.
type Errors []FieldError

// Error lists all problems.
func (e Errors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "; ")
}

// checker collects the problems that Validate finds.
type checker struct {
	problems Errors
}

// require adds a problem with a field unless ok is set.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, FieldError{field, fmt.Sprintf(format, args...)})
	}
}

// name checks that a name is well-formed and isn't in seen, and adds it there. Names become parts of
// row keys, task names and log lines, where two names with slashes or spaces could become
// indistinguishable.
func (c *checker) name(path, name string, seen map[string]bool) {
	valid := name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r)
	})
	c.require(valid, path+".name", "%q must be 1 to %d letters, digits, dashes, dots or underscores", name, maxNameBytes)
	c.require(!seen[name], path+".name", "%q is declared twice", name)
	seen[name] = true
}

// Validate checks declared settings and returns nil or Errors.
func Validate(s *pb.Settings) error {
	c := &checker{}
	c.require(len(s.GetInstitutions()) > 0, "institutions", "at least one is needed")
	names := make(map[string]bool)
	credentials := make(map[string]string)
	var totalPercent uint64
	for i, inst := range s.GetInstitutions() {
		path := fmt.Sprintf("institutions[%d]", i)
		c.name(path, inst.GetName(), names)
		totalPercent += uint64(inst.GetCapacityPercent())
		c.institution(path, inst, credentials)
	}
	c.require(totalPercent <= maxPercent, "institutions", "the capacities add up to %d%%, more than 100%%", totalPercent)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// institution checks one institution. credentials has the institution of each credential so far.
func (c *checker) institution(path string, inst *pb.Institution, credentials map[string]string) {
	responseTime := inst.GetResponseTimeMs()
	c.require(responseTime > 0 && responseTime <= MaxResponseTimeMs, path+".response_time_ms", "%s must be above 0 and at most %s", ms(responseTime), ms(MaxResponseTimeMs))
	borrowTolerance := inst.GetBorrowToleranceMs()
	c.require(responseTime == 0 || borrowTolerance <= responseTime, path+".borrow_tolerance_ms", "%s exceeds the response time %s", ms(borrowTolerance), ms(responseTime))
	c.require(inst.GetRetryPercent() <= maxPercent, path+".retry_percent", "%d%% is more than 100%%", inst.GetRetryPercent())
	resubmitWindow := inst.GetResubmitWindowS()
	c.require(resubmitWindow > 0, path+".resubmit_window_s", "must be above 0")
	c.require(resubmitWindow == 0 || uint64(resubmitWindow)*msPerSecond >= uint64(responseTime), path+".resubmit_window_s",
		"%s is shorter than the response time %s", time.Duration(resubmitWindow)*time.Second, ms(responseTime))
	c.credentials(path, inst, credentials)
	teams := c.teams(path, inst)
	c.services(path, inst, teams)
}

func ms(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// credentials checks an institution's credentials: the digests of its tokens and the names of its
// certificates. A credential declared for two institutions would give each access to the other's
// jobs.
func (c *checker) credentials(path string, inst *pb.Institution, seen map[string]string) {
	requireUnique := func(field, credential string) {
		other, taken := seen[credential]
		c.require(!taken, field, "is also declared for %q", other)
		seen[credential] = inst.GetName()
	}
	c.require(len(inst.GetTokenSha256())+len(inst.GetCertificateNames()) > 0, path+".token_sha256", "at least one, or one of certificate_names, is needed")
	for i, name := range inst.GetCertificateNames() {
		field := fmt.Sprintf("%s.certificate_names[%d]", path, i)
		c.require(name != "", field, "must not be empty")
		requireUnique(field, certificatePrefix+name)
	}
	for i, digest := range inst.GetTokenSha256() {
		digest = strings.ToLower(digest)
		field := fmt.Sprintf("%s.token_sha256[%d]", path, i)
		raw, err := hex.DecodeString(digest)
		c.require(err == nil && len(raw) == tokenDigestBytes, field, "must be 64 hex digits, the SHA-256 of a token")
		requireUnique(field, digest)
	}
}

// teams checks an institution's teams and returns their names.
func (c *checker) teams(path string, inst *pb.Institution) map[string]bool {
	seen := make(map[string]bool)
	ceiling := inst.GetCeilingSlots()
	for i, t := range inst.GetTeams() {
		field := fmt.Sprintf("%s.teams[%d]", path, i)
		c.name(field, t.GetName(), seen)
		c.require(t.GetQuotaSlots() > 0, field+".quota_slots", "must be above 0")
		c.require(ceiling == 0 || t.GetQuotaSlots() <= ceiling, field+".quota_slots", "%d exceeds the institution's ceiling of %d slots", t.GetQuotaSlots(), ceiling)
	}
	return seen
}

// services checks an institution's services. teams has the names of its teams.
func (c *checker) services(path string, inst *pb.Institution, teams map[string]bool) {
	seen := make(map[string]bool)
	responseTime := inst.GetResponseTimeMs()
	c.require(len(inst.GetServices()) > 0, path+".services", "at least one is needed")
	for i, s := range inst.GetServices() {
		field := fmt.Sprintf("%s.services[%d]", path, i)
		c.name(field, s.GetName(), seen)
		c.require(s.GetRunTimeMs() > 0, field+".run_time_ms", "must be above 0")
		c.require(responseTime == 0 || s.GetRunTimeMs() <= responseTime, field+".run_time_ms", "%s exceeds the response time %s", ms(s.GetRunTimeMs()), ms(responseTime))
		c.require(s.GetMaxTasks() > 0 && s.GetMaxTasks() <= MaxTasks, field+".max_tasks", "%d must be 1 to %d", s.GetMaxTasks(), MaxTasks)
		c.require(s.GetMaxPayloadBytes() > 0 && s.GetMaxPayloadBytes() <= MaxPayloadBytes, field+".max_payload_bytes", "%d bytes must be 1 to %d", s.GetMaxPayloadBytes(), MaxPayloadBytes)
		for j, team := range s.GetTeams() {
			c.require(teams[team], fmt.Sprintf("%s.teams[%d]", field, j), "team %q isn't declared", team)
		}
	}
}

// State is the settings in force at one process. Their version never decreases.
type State struct {
	current *pb.Settings
	// institutions has the current institutions by name. tokens and certificates have the names of
	// institutions, by the digest of a token and by the common name of a certificate.
	institutions map[string]*pb.Institution
	tokens       map[string]string
	certificates map[string]string
}

// NewState returns a state without settings in force.
func NewState() *State {
	return &State{}
}

// Offer puts settings in force if they are valid and newer than the current ones. It reports
// whether it did.
//
// Settings arrive from the table service and from peers, late and out of order. Without the
// check on the version, an older version could, for instance, lift a quota that operators have
// lowered.
func (s *State) Offer(offered *pb.Settings) bool {
	if offered.GetVersion() <= s.Version() || Validate(offered) != nil {
		return false
	}
	s.current = offered
	s.institutions = make(map[string]*pb.Institution)
	s.tokens = make(map[string]string)
	s.certificates = make(map[string]string)
	for _, inst := range offered.GetInstitutions() {
		s.institutions[inst.GetName()] = inst
		for _, t := range inst.GetTokenSha256() {
			s.tokens[strings.ToLower(t)] = inst.GetName()
		}
		for _, name := range inst.GetCertificateNames() {
			s.certificates[name] = inst.GetName()
		}
	}
	return true
}

// Version is the version in force, or 0 if there is none.
func (s *State) Version() uint64 {
	return s.current.GetVersion()
}

// Current returns the settings in force, or nil if there are none. They must not be changed.
func (s *State) Current() *pb.Settings {
	return s.current
}

// Institution returns an institution by name, or nil if there is none.
func (s *State) Institution(name string) *pb.Institution {
	return s.institutions[name]
}

// InstitutionOfToken returns the institution of a token, given by its SHA-256 in hex.
func (s *State) InstitutionOfToken(digest string) (string, bool) {
	name, ok := s.tokens[digest]
	return name, ok
}

// InstitutionOfCertificate returns the institution of a client certificate, given by its common
// name.
func (s *State) InstitutionOfCertificate(name string) (string, bool) {
	institution, ok := s.certificates[name]
	return institution, ok
}

// Service returns a service of an institution, or nil if there is none.
func Service(inst *pb.Institution, name string) *pb.Service {
	for _, s := range inst.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

// Team returns a team of an institution, or nil if there is none.
func Team(inst *pb.Institution, name string) *pb.Team {
	for _, t := range inst.GetTeams() {
		if t.GetName() == name {
			return t
		}
	}
	return nil
}
