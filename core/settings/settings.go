// Package settings holds the declared settings in force at one process and
// decides which offered settings replace them.
package settings

import (
	"encoding/hex"
	"fmt"
	"strings"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Limits that hold whatever is declared.
const (
	// MaxTasks is the most tasks that a service may allow in one job.
	MaxTasks = 10_000
	// MaxPayloadBytes is the largest payload a service may allow for a task.
	MaxPayloadBytes = 1 << 20
	// MaxResponseTimeMs is the longest response time that can be contracted.
	MaxResponseTimeMs = 3_600_000
	maxPercent        = 100
	tokenDigestBytes  = 32
)

// FieldError names a field and what is wrong with it.
type FieldError struct {
	// Field is a path such as institutions[0].teams[1].quota_slots.
	Field   string
	Problem string
}

// Error joins field and problem.
func (e FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// Errors is every problem found in one settings message.
type Errors []FieldError

// Error lists all problems.
func (e Errors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Error()
	}
	return strings.Join(parts, "; ")
}

type checker struct {
	errs Errors
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, FieldError{field, fmt.Sprintf(format, args...)})
	}
}

// Validate checks declared settings and returns nil or Errors.
func Validate(s *pb.Settings) error {
	c := &checker{}
	c.require(len(s.GetInstitutions()) > 0, "institutions", "at least one is needed")
	names := make(map[string]bool)
	tokens := make(map[string]string)
	var share uint32
	for i, inst := range s.GetInstitutions() {
		at := fmt.Sprintf("institutions[%d]", i)
		c.require(inst.GetName() != "", at+".name", "must not be empty")
		c.require(!strings.ContainsAny(inst.GetName(), "/ \n"), at+".name", "must not contain spaces or slashes")
		c.require(!names[inst.GetName()], at+".name", "%q is declared twice", inst.GetName())
		names[inst.GetName()] = true
		share += inst.GetCapacityPercent()
		c.institution(at, inst, tokens)
	}
	c.require(share <= maxPercent, "institutions", "capacity_percent adds up to %d, more than 100", share)
	if len(c.errs) > 0 {
		return c.errs
	}
	return nil
}

func (c *checker) institution(at string, inst *pb.Institution, tokens map[string]string) {
	response := inst.GetResponseTimeMs()
	c.require(response > 0 && response <= MaxResponseTimeMs, at+".response_time_ms", "must be 1 to %d", MaxResponseTimeMs)
	c.require(inst.GetBorrowToleranceMs() <= response, at+".borrow_tolerance_ms", "must not exceed response_time_ms")
	c.require(inst.GetRetryPercent() <= maxPercent, at+".retry_percent", "must be 0 to 100")
	c.require(inst.GetResubmitWindowS() > 0, at+".resubmit_window_s", "must be positive")
	c.require(len(inst.GetTokenSha256()) > 0, at+".token_sha256", "at least one is needed")
	for i, t := range inst.GetTokenSha256() {
		field := fmt.Sprintf("%s.token_sha256[%d]", at, i)
		raw, err := hex.DecodeString(t)
		c.require(err == nil && len(raw) == tokenDigestBytes, field, "must be 64 hex digits")
		other, taken := tokens[t]
		c.require(!taken, field, "is also declared for %q", other)
		tokens[t] = inst.GetName()
	}
	c.teams(at, inst)
	c.services(at, inst)
}

func (c *checker) teams(at string, inst *pb.Institution) {
	seen := make(map[string]bool)
	for i, t := range inst.GetTeams() {
		field := fmt.Sprintf("%s.teams[%d]", at, i)
		c.require(t.GetName() != "", field+".name", "must not be empty")
		c.require(!seen[t.GetName()], field+".name", "%q is declared twice", t.GetName())
		seen[t.GetName()] = true
		ceiling := inst.GetCeilingSlots()
		c.require(t.GetQuotaSlots() > 0, field+".quota_slots", "must be positive")
		c.require(ceiling == 0 || t.GetQuotaSlots() <= ceiling, field+".quota_slots", "exceeds the institution's ceiling_slots %d", ceiling)
	}
}

func (c *checker) services(at string, inst *pb.Institution) {
	seen := make(map[string]bool)
	c.require(len(inst.GetServices()) > 0, at+".services", "at least one is needed")
	for i, s := range inst.GetServices() {
		field := fmt.Sprintf("%s.services[%d]", at, i)
		c.require(s.GetName() != "", field+".name", "must not be empty")
		c.require(!seen[s.GetName()], field+".name", "%q is declared twice", s.GetName())
		seen[s.GetName()] = true
		c.require(s.GetRunTimeMs() > 0, field+".run_time_ms", "must be positive")
		c.require(s.GetRunTimeMs() <= inst.GetResponseTimeMs(), field+".run_time_ms", "exceeds the institution's response_time_ms")
		c.require(s.GetMaxTasks() > 0 && s.GetMaxTasks() <= MaxTasks, field+".max_tasks", "must be 1 to %d", MaxTasks)
		c.require(s.GetMaxPayloadBytes() > 0 && s.GetMaxPayloadBytes() <= MaxPayloadBytes, field+".max_payload_bytes", "must be 1 to %d", MaxPayloadBytes)
	}
}

// State is the settings in force at one process. The version only grows.
type State struct {
	current      *pb.Settings
	institutions map[string]*pb.Institution
	tokens       map[string]string
}

// NewState returns a state with nothing in force.
func NewState() *State {
	return &State{}
}

// Offer puts settings in force if they are valid and newer than the present
// ones. It reports whether they were taken.
//
// Settings arrive from the table service and from peers, late and crossed. A
// process that took an older version would, for instance, lift a quota that
// operators have lowered; the check on the version prevents that.
func (s *State) Offer(offered *pb.Settings) bool {
	if offered.GetVersion() <= s.Version() || Validate(offered) != nil {
		return false
	}
	s.current = offered
	s.institutions = make(map[string]*pb.Institution)
	s.tokens = make(map[string]string)
	for _, inst := range offered.GetInstitutions() {
		s.institutions[inst.GetName()] = inst
		for _, t := range inst.GetTokenSha256() {
			s.tokens[strings.ToLower(t)] = inst.GetName()
		}
	}
	return true
}

// Version is the version in force, 0 if none.
func (s *State) Version() uint64 {
	return s.current.GetVersion()
}

// Current is the settings in force, nil if none. It must not be changed.
func (s *State) Current() *pb.Settings {
	return s.current
}

// Institution finds an institution by name; nil if there is none.
func (s *State) Institution(name string) *pb.Institution {
	return s.institutions[name]
}

// InstitutionOfToken finds the institution of a token's hex SHA-256.
func (s *State) InstitutionOfToken(digest string) (string, bool) {
	name, ok := s.tokens[digest]
	return name, ok
}

// Service finds a service of an institution; nil if there is none.
func Service(inst *pb.Institution, name string) *pb.Service {
	for _, s := range inst.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

// Team finds a team of an institution; nil if there is none.
func Team(inst *pb.Institution, name string) *pb.Team {
	for _, t := range inst.GetTeams() {
		if t.GetName() == name {
			return t
		}
	}
	return nil
}
