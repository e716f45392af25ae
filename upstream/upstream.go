// Package upstream defines the HTTP calls that an entry process makes to an
// upstream. An upstream answers each with a verdict in a header:
//
//   - PathStart runs the task and answers finished (the body is the output),
//     failed (the body is the error) or not-started (the body is the reason).
//     A task is not run if its name is already known, from a start or a settle.
//   - PathSettle returns the state of the task. If the task has not started, the
//     upstream records the name, never runs the task and answers not-started. If
//     it is running, the upstream waits for a while before it answers running.
//   - PathStop does the same and also ends a running task.
//
// Each answer carries the run of the upstream process, a random value chosen at its
// start: after a restart the process has no record of its predecessor's tasks.
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
	// HeaderRun carries the run of the upstream process; see the package comment.
	HeaderRun = "Sapphirepoint-Run"
	// HeaderLeaving is set, to any value, by an upstream that is about to stop
	// and should not be sent new tasks.
	HeaderLeaving = "Sapphirepoint-Leaving"
)

// Values of HeaderVerdict.
const (
	VerdictFinished   = "finished"
	VerdictFailed     = "failed"
	VerdictNotStarted = "not-started"
	VerdictRunning    = "running"
)
