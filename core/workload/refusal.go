package workload

// RefusalCause is why a job was refused, or given up before it completed. It is NotRefused for jobs
// with any other outcome.
type RefusalCause uint8

// The causes of refusals.
const (
	NotRefused RefusalCause = iota
	// LackOfRoom: the work ahead of the job would take too long.
	LackOfRoom
	// TooLittleTime: the job wouldn't complete in time even on idle runners.
	TooLittleTime
	// TimeUp: the caller's timeout has ended.
	TimeUp
	// RunnersEvacuated: all runners of the service are in evacuated failure domains.
	RunnersEvacuated
	// NoRunner: no runner of the service can be reached.
	NoRunner
	// NoFittingRunner: no runner has the resources or labels that a task requires.
	NoFittingRunner
	// NotLeading: the process that got the job doesn't lead its shard, or can't rule out that another
	// process leads it.
	NotLeading
	// NoScheduler: the entry process reaches no scheduler that could get the job.
	NoScheduler
	// NoAnswer: the scheduler that had the job gave no answer in time.
	NoAnswer
	// ProcessEnding: the entry process is about to end.
	ProcessEnding
	// StoreUnavailable: a call to the store that the job needs failed, or isn't answered yet.
	StoreUnavailable
	// CopyRefused: an earlier copy of the same job was refused.
	CopyRefused
	// NotConfigured: the process has no configuration or no layout yet.
	NotConfigured
	// NotServed: the request asks for a feature that the system doesn't have.
	NotServed
	// RunnerSilent: a task of the job may have a run on a runner that doesn't answer, and can't be started again before
	// its caller leaves.
	RunnerSilent
	// LackOfMemory: too little memory is free in the process that got the job.
	LackOfMemory
	// OtherRefusal: a cause that this version doesn't know.
	OtherRefusal
)

var refusalCauseNames = [...]string{
	"", "lack-of-room", "too-little-time", "time-up", "runners-evacuated", "no-runner",
	"no-fitting-runner", "not-leading", "no-scheduler", "no-answer", "process-ending", "store-unavailable",
	"copy-refused", "not-configured", "not-served", "runner-silent", "lack-of-memory", "other",
}

// String returns the name for logs and metrics; it is empty for NotRefused.
func (c RefusalCause) String() string { return refusalCauseNames[c] }

// RefusalCauseOf converts the number of a cause. One that this version doesn't know becomes
// OtherRefusal.
func RefusalCauseOf(n uint32) RefusalCause {
	if n > uint32(OtherRefusal) {
		return OtherRefusal
	}
	return RefusalCause(n)
}

// ParseRefusalCause finds a cause by its name. A name that this version doesn't know becomes
// OtherRefusal.
func ParseRefusalCause(name string) RefusalCause {
	for c, n := range refusalCauseNames {
		if n == name {
			return RefusalCause(c)
		}
	}
	return OtherRefusal
}
