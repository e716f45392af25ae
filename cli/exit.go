package cli

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// The exit codes; the help of the root command describes them.
const (
	ExitDone     = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitFailed   = 10
	ExitNotRun   = 11
	ExitUnknown  = 12
	ExitRejected = 13
)

// usageError is a mistake in arguments or files.
type usageError struct{ error }

// Unwrap returns the mistake.
func (e usageError) Unwrap() error { return e.error }

func usage(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

// outcomeError carries the word on a job, already printed, to the exit code.
type outcomeError struct{ outcome pb.Outcome }

// Error implements error.
func (e outcomeError) Error() string { return e.outcome.String() }

// outcome is nil for a complete job.
func outcome(o pb.Outcome) error {
	if o == pb.Outcome_OUTCOME_COMPLETE {
		return nil
	}
	return outcomeError{o}
}

func exitCode(err error) int {
	var mistake usageError
	var word outcomeError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &word):
		return exitOfOutcome(word.outcome)
	case errors.As(err, &mistake):
		return ExitUsage
	case rejected(err):
		return ExitRejected
	}
	return ExitError
}

func exitOfOutcome(o pb.Outcome) int {
	switch o {
	case pb.Outcome_OUTCOME_COMPLETE:
		return ExitDone
	case pb.Outcome_OUTCOME_FAILED:
		return ExitFailed
	case pb.Outcome_OUTCOME_NOT_RUN:
		return ExitNotRun
	}
	return ExitUnknown
}

// rejected says whether the other end understood the request and refused it.
func rejected(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAlreadyExists, connect.CodeAborted, connect.CodeFailedPrecondition,
		connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeResourceExhausted, connect.CodeNotFound:
		return true
	}
	return false
}
