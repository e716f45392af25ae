package dispatch

import (
	"time"

	"sapphirepoint.example/sapphirepoint/core/admission"
	"sapphirepoint.example/sapphirepoint/core/queue"
	"sapphirepoint.example/sapphirepoint/core/task"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// infeasibleFactor is the factor by which the expected run time of a task may be too
	// long. A task is not started if it would end past the deadline even after its expected
	// run time is divided by this factor.
	infeasibleFactor = 4
	// percent is 100%, the default of an institution's CapacityPercent.
	percent = 100
)

// AdmissionPolicy configures admission control. Its settings let policies be compared.
type AdmissionPolicy struct {
	// WaitPercent is the maximum expected wait, as a percentage of the time until a job's
	// deadline.
	WaitPercent int
	// OverloadAfter is how long tasks must have been waiting without a break for the
	// overload to count as lasting; then OverloadWaitPercent replaces WaitPercent.
	OverloadAfter       time.Duration
	OverloadWaitPercent int
	// AdmitAll disables the limits on the expected wait and the checks of team quotas at
	// admission.
	AdmitAll bool
	// StartInfeasible starts tasks even if they cannot end before their deadline.
	StartInfeasible bool
}

// DefaultAdmissionPolicy is the default policy; see docs/design/admission.md.
var DefaultAdmissionPolicy = AdmissionPolicy{WaitPercent: 50, OverloadAfter: time.Second, OverloadWaitPercent: 3}

// admissionState is the state of admission control.
type admissionState struct {
	estimate    *admission.Estimator
	quotas      *admission.Quotas
	retryAfters map[admission.Key]*admission.RetrySpreader
	refusals    map[pb.Reason]uint64
	// totals are the totals of the listed upstreams, by institution.
	totals map[string]upstreamTotals
	// inUse is the number of starts without a final result, by institution.
	inUse map[string]int
	// teams are the waiting tasks of each team; jobs without a team count under an empty name.
	teams map[admission.Key]teamQueue
	// lastEmpty is when an institution last had no task waiting.
	lastEmpty map[string]task.Time
	// placing is the institution whose tasks are being started; allowTeam checks its teams.
	placing   string
	allowTeam func(team string) bool
}

func newAdmissionState(self task.Incarnation) admissionState {
	return admissionState{
		estimate:    admission.NewEstimator(),
		quotas:      admission.NewQuotas(self),
		retryAfters: make(map[admission.Key]*admission.RetrySpreader),
		refusals:    make(map[pb.Reason]uint64),
		inUse:       make(map[string]int),
		teams:       make(map[admission.Key]teamQueue),
		lastEmpty:   make(map[string]task.Time),
	}
}

// admit decides whether a job whose claim is held is admitted; nil means yes.
//
// A job under a caller's own key is not checked against the limits again: admitKey did so
// before its claim was written, and a refusal now would leave the key used up. It is not
// refused while draining either: submitOwnKey begins no claim then, so this one was begun
// earlier.
func (c *Core) admit(sub *submission) *pb.Answer {
	if c.draining && sub.id.Issued() {
		return c.notRunAnswer(sub, pb.Reason_REASON_NOT_SERVING, "the process is stopping")
	}
	if c.now >= sub.deadline {
		return c.notRunAnswer(sub, pb.Reason_REASON_DEADLINE, "the deadline passed before a claim was settled")
	}
	if !sub.id.Issued() {
		return nil
	}
	refusal, retryAfter := c.decide(sub)
	if refusal == nil {
		return nil
	}
	a := c.notRunAnswer(sub, refusal.Reason, refusal.Detail)
	a.RetryAfterMs = uint32(retryAfter.Milliseconds())
	return a
}

// admitKey checks admission for a request under the caller's own key before its
// claim is written, so that the key can be used again after a refusal. It replies to a
// refused request, and reports whether the request was admitted.
func (c *Core) admitKey(r *waiter, sub *submission) bool {
	if sub.id.Issued() {
		return true
	}
	refusal, retryAfter := c.decide(sub)
	if refusal == nil {
		return true
	}
	a := rejectedAnswer(r, refusal.Reason, refusal.Detail)
	a.RetryAfterMs = uint32(retryAfter.Milliseconds())
	c.reply(r, a)
	return false
}

// decide checks a job against the limits of its institution and team. It returns a
// refusal and the delay before a retry, or nil if the job is admitted.
func (c *Core) decide(sub *submission) (*admission.Refusal, time.Duration) {
	inst := c.settings.Institution(sub.id.Institution)
	c.recordEmptyQueue(inst.GetName())
	j, capacity := c.jobOf(sub), c.capacity(sub)
	var refusal *admission.Refusal
	if c.cfg.AdmissionPolicy.AdmitAll {
		capacity.Queued = 0
	}
	refusal = admission.Decide(j, capacity)
	key := admission.Key{Institution: inst.GetName()}
	if team, binding := c.teamCapacity(sub, j, capacity); refusal == nil && binding {
		refusal = admission.Decide(j, team)
		capacity = team
		key.Team = sub.request.GetTeam()
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
	schedule := c.admission.retryAfters[key]
	if schedule == nil {
		schedule = &admission.RetrySpreader{}
		c.admission.retryAfters[key] = schedule
	}
	return refusal, schedule.RetryAfter(c.now, refusal, j, capacity)
}

// queueLimit is the maximum number of waiting tasks of an institution.
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
		d := c.expectedRunTime(sub, i)
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

// expectedRunTime is the declared run time of a task, corrected by observed times.
func (c *Core) expectedRunTime(sub *submission, index int) time.Duration {
	return c.admission.estimate.ExpectedRunTime(sub.id.Institution, sub.request.GetService(), declaredRun(sub, index))
}

// nextTask takes the next task to start, within quotas and ceiling.
func (c *Core) nextTask(institution string) (queue.Ref, bool) {
	if c.queue.Tasks(institution) == 0 || !c.admission.quotas.Allow(c.now, institution, "") {
		return queue.Ref{}, false
	}
	c.admission.placing = institution
	ref, ok := c.queue.Next(institution, c.admission.allowTeam)
	if !ok {
		// All remaining tasks wait for the quota of their team. They take no slot from
		// others and do not count as overload.
		c.admission.lastEmpty[institution] = c.now
	}
	return ref, ok
}

// belowCeiling reports whether the institution may hold one more slot.
func (c *Core) belowCeiling(institution string) bool {
	return c.admission.quotas.HasCapacity(c.now, admission.Key{Institution: institution})
}

// giveUpInfeasible ends a job whose next task cannot end before the deadline; it
// reports whether it did. Starting the task would occupy a slot for a result that
// nobody receives.
func (c *Core) giveUpInfeasible(ref queue.Ref) bool {
	sub := c.jobs[ref.Job]
	if c.cfg.AdmissionPolicy.StartInfeasible || c.now+c.expectedRunTime(sub, ref.Index)/infeasibleFactor <= sub.deadline {
		return false
	}
	c.giveUp(sub, pb.Reason_REASON_DEADLINE, "it can't be done in its time any more")
	return true
}

// shareQuotas updates the quota units requested of peers and returns unused borrowed ones.
func (c *Core) shareQuotas() {
	c.admission.quotas.Tick(c.now)
}
