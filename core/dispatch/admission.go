package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// hopeless is how far an expected run time may be off before a task that
	// would end past its job's deadline isn't started.
	hopeless = 4
	// percent is the unit of an institution's capacity.
	percent = 100
)

// AdmissionPolicy is what admission may be told, to compare policies.
type AdmissionPolicy struct {
	// WaitPercent is the part of its time that a job may be expected to wait.
	WaitPercent int
	// OverloadAfter is how long tasks may have waited without a break before the
	// wait counts as one that won't pass by itself; then OverloadWaitPercent holds.
	OverloadAfter       time.Duration
	OverloadWaitPercent int
	// AdmitAll takes every job on that fits into the queue.
	AdmitAll bool
	// StartInfeasible starts tasks that can't end in time.
	StartInfeasible bool
}

// DefaultAdmissionPolicy is what measured best; see docs/design/admission.md.
var DefaultAdmissionPolicy = AdmissionPolicy{WaitPercent: 50, OverloadAfter: time.Second, OverloadWaitPercent: 3}

// admissionState is the state of admission by the institutions' terms.
type admissionState struct {
	estimate  *admission.Estimator
	quotas    *admission.Quotas
	comeBacks map[admission.Key]*admission.RetrySpreader
	refusals  map[pb.Reason]uint64
	// workers is the size of an institution's listed upstreams.
	workers map[string]size
	// inUse is the number of starts that aren't settled, by institution.
	inUse map[string]int
	teams map[admission.Key]teamQueue
	// lastIdle is when an institution last had no task waiting.
	lastIdle map[string]task.Time
	// placing is the institution that allowTeam asks for.
	placing   string
	allowTeam func(team string) bool
}

func newAdmissionState(self task.Incarnation) admissionState {
	return admissionState{
		estimate:  admission.NewEstimator(),
		quotas:    admission.NewQuotas(self),
		comeBacks: make(map[admission.Key]*admission.RetrySpreader),
		refusals:  make(map[pb.Reason]uint64),
		inUse:     make(map[string]int),
		teams:     make(map[admission.Key]teamQueue),
		lastIdle:  make(map[string]task.Time),
	}
}

// admit decides whether a claimed job is taken on; nil means yes. A caller's
// own key was let through before its claim: refused now it would be spent, and
// while the process stops no new ones are let through.
func (c *Core) admit(sub *submission) *pb.Answer {
	if c.draining && sub.id.Issued() {
		return c.notRun(sub, pb.Reason_REASON_NOT_SERVING, "the process is stopping")
	}
	if c.now >= sub.deadline {
		return c.notRun(sub, pb.Reason_REASON_DEADLINE, "the deadline passed before a claim was settled")
	}
	if !sub.id.Issued() {
		return nil
	}
	refusal, comeBack := c.decide(sub)
	if refusal == nil {
		return nil
	}
	a := c.notRun(sub, refusal.Reason, refusal.Detail)
	a.RetryAfterMs = uint32(comeBack.Milliseconds())
	return a
}

// admitKey decides on a request under the caller's own key before its claim is
// written, so that the key stays usable; it reports false if it was refused.
func (c *Core) admitKey(r *waiter, sub *submission) bool {
	if sub.id.Issued() {
		return true
	}
	refusal, comeBack := c.decide(sub)
	if refusal == nil {
		return true
	}
	a := rejected(r, refusal.Reason, refusal.Detail)
	a.RetryAfterMs = uint32(comeBack.Milliseconds())
	c.reply(r, a)
	return false
}

// decide asks the institution's terms whether a job is taken on, and when it
// should come back if not.
func (c *Core) decide(sub *submission) (*admission.Refusal, time.Duration) {
	inst := c.settings.Institution(sub.id.Institution)
	c.noteQueue(inst.GetName())
	j, capacity := c.jobOf(sub), c.capacity(sub)
	var refusal *admission.Refusal
	if c.cfg.AdmissionPolicy.AdmitAll {
		capacity.Queued = 0
	}
	refusal = admission.Decide(j, capacity)
	line := admission.Key{Institution: inst.GetName()}
	if team, binding := c.teamCapacity(sub, j, capacity); refusal == nil && binding {
		refusal = admission.Decide(j, team)
		capacity = team
		line.Team = sub.request.GetTeam()
	}
	if refusal == nil && c.queue.Tasks(inst.GetName())+len(sub.request.GetTasks()) > c.queueLimit(inst) {
		refusal = &admission.Refusal{
			Reason: pb.Reason_REASON_OVERLOADED,
			Detail: "too many tasks are waiting",
			Excess: max(capacity.Queued/time.Duration(max(capacity.Slots, 1))/2, time.Millisecond),
		}
	}
	if refusal == nil {
		return nil, 0
	}
	c.admission.refusals[refusal.Reason]++
	back := c.admission.comeBacks[line]
	if back == nil {
		back = &admission.RetrySpreader{}
		c.admission.comeBacks[line] = back
	}
	return refusal, back.RetryAfter(c.now, refusal, j, capacity)
}

// queueLimit is an institution's part of the tasks that may wait.
func (c *Core) queueLimit(inst *pb.Institution) int {
	p := int(inst.GetCapacityPercent())
	if p == 0 {
		p = percent
	}
	return c.cfg.MaxQueuedTasks * p / percent
}

func (c *Core) jobOf(sub *submission) admission.Job {
	j := admission.Job{
		TimeLimit: sub.deadline - c.now,
		CPUMillis: sub.service.GetCpuMillis(),
		MemoryMiB: sub.service.GetMemoryMib(),
	}
	for i := range sub.request.GetTasks() {
		d := c.expected(sub, i)
		j.Work += d
		j.Longest = max(j.Longest, d)
	}
	return j
}

// declaredRun is the declared run time of a task.
func declaredRun(sub *submission, index int) time.Duration {
	ms := sub.request.GetTasks()[index].GetRunTimeMs()
	if ms == 0 {
		ms = sub.service.GetRunTimeMs()
	}
	return time.Duration(ms) * time.Millisecond
}

// expected is a task's declared run time, corrected by what is observed.
func (c *Core) expected(sub *submission, index int) time.Duration {
	return c.admission.estimate.ExpectedRunTime(sub.id.Institution, sub.request.GetService(), declaredRun(sub, index))
}

// nextTask takes the task to be served next, within quotas and ceiling.
func (c *Core) nextTask(institution string) (queue.Ref, bool) {
	if c.queue.Tasks(institution) == 0 || !c.admission.quotas.Allow(c.now, institution, "") {
		return queue.Ref{}, false
	}
	c.admission.placing = institution
	ref, ok := c.queue.Next(c.now, institution, c.admission.allowTeam)
	if !ok {
		// Only tasks that wait for their team's quota are left.
		c.admission.lastIdle[institution] = c.now
	}
	return ref, ok
}

// belowCeiling says whether the institution may hold one more slot.
func (c *Core) belowCeiling(institution string) bool {
	return c.admission.quotas.HasCapacity(c.now, admission.Key{Institution: institution})
}

// giveUpHopeless ends a job if a task of it that is about to be started can't
// end in its time; it reports whether it did. Started, it would hold a slot
// for an answer that nobody gets.
func (c *Core) giveUpHopeless(ref queue.Ref) bool {
	sub := c.jobs[ref.Job]
	if c.cfg.AdmissionPolicy.StartInfeasible || c.now+c.expected(sub, ref.Index)/hopeless <= sub.deadline {
		return false
	}
	c.giveUp(sub, pb.Reason_REASON_DEADLINE, "it can't be done in its time any more")
	return true
}

// shareQuotas works out what is asked of peers and given back to them.
func (c *Core) shareQuotas() {
	c.admission.quotas.Tick(c.now)
}
