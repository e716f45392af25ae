package cli

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// The exit codes, as described in the help of the root command.
const (
	ExitDone     = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitFailed   = 10
	ExitNotRun   = 11
	ExitUnknown  = 12
	ExitRejected = 13
)

// usageError is a mistake in the arguments or in a file given by the user.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// asUsageError wraps an error as a usageError; nil stays nil.
func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

// outcomeError carries the outcome of a job, which has been printed already, to exitCode.
type outcomeError struct{ outcome pb.Outcome }

// Error implements error.
func (e outcomeError) Error() string { return e.outcome.String() }

// errorForOutcome returns nil for a complete job, otherwise an outcomeError.
func errorForOutcome(outcome pb.Outcome) error {
	if outcome == pb.Outcome_OUTCOME_COMPLETE {
		return nil
	}
	return outcomeError{outcome}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var usageErr usageError
	var outcomeErr outcomeError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &outcomeErr):
		return outcomeExitCode(outcomeErr.outcome)
	case errors.As(err, &usageErr):
		return ExitUsage
	case isRejection(err):
		return ExitRejected
	}
	return ExitError
}

func outcomeExitCode(o pb.Outcome) int {
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

// isRejection reports whether an error is the server's rejection of the request.
func isRejection(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAlreadyExists, connect.CodeAborted, connect.CodeFailedPrecondition,
		connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeResourceExhausted, connect.CodeNotFound:
		return true
	}
	return false
}
