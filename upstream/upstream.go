// Package upstream names the HTTP calls that an entry process makes to an
// upstream. An upstream answers each with a verdict in a header:
//
//   - PathStart runs the task and answers finished (the body is the output),
//     failed (the body is the error) or not-started (the body is the cause).
//     A task name that was settled or is known already isn't run.
//   - PathSettle answers what became of the task. If it hasn't begun, the
//     upstream remembers the name, never runs it and answers not-started. A
//     running task is waited for a while before the answer is running.
//   - PathStop does the same and also ends a running task.
//
// Each answer carries the run of the upstream process, random at its start: a
// process that was started again knows nothing of its predecessor's tasks.
package upstream

// Paths of the calls, all POST.
const (
	PathStart  = "/v1/start"
	PathSettle = "/v1/settle"
	PathStop   = "/v1/stop"
)

// Query parameters.
const (
	ParamTask      = "task"
	ParamService   = "service"
	ParamTimeoutMs = "timeout_ms"
)

// Headers of the answers.
const (
	HeaderVerdict = "Sapphirepoint-Verdict"
	HeaderRun     = "Sapphirepoint-Run"
	// HeaderLeaving is set, to any value, by an upstream that is about to leave
	// and shouldn't be sent new tasks.
	HeaderLeaving = "Sapphirepoint-Leaving"
)

// Values of HeaderVerdict.
const (
	VerdictFinished   = "finished"
	VerdictFailed     = "failed"
	VerdictNotStarted = "not-started"
	VerdictRunning    = "running"
)
