package client

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// minBackoff and maxBackoff bound the backoff after a call without an answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// jitterDivisor bounds the jitter: at most the wait divided by it.
	jitterDivisor = 2
	// maxRejectedAnswers is the number of rejected answers at which Submit ends.
	maxRejectedAnswers = 3
	// answerMargin is the part of the context's remaining time that is reserved for
	// the transmission of the answer. It is at most the remaining time divided by
	// answerMarginDivisor.
	answerMargin        = 100 * time.Millisecond
	answerMarginDivisor = 10
)

// UnsettledError reports that the outcome of a submission isn't final yet. Its
// tasks may have run, be running or never run; submit it again under the same id.
type UnsettledError struct {
	ID *pb.SubmissionId
	// Last is the last answer, whose outcome isn't final; nil if there was none.
	Last *pb.Answer
	// Err is the error that ended the call.
	Err error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("the outcome is unknown: %s", e.Err)
	}
	return fmt.Sprintf("the outcome is unknown: %s: %s", e.Last.GetDetail(), e.Err)
}

// Unwrap returns the error that ended the call.
func (e *UnsettledError) Unwrap() error { return e.Err }

// submitCall is the state of one call of Submit.
type submitCall struct {
	client     *Client
	submission *pb.Submission
	// deadline is the deadline by the caller's own timeout; zero if it set none.
	deadline time.Time
	// entries are the entries to try, starting with the current one.
	entries         []*entry
	sends           int
	failedCalls     int
	rejectedAnswers int
	newIDsLeft      int
	lastAnswer      *pb.Answer
	// submittedBefore: an earlier call left the outcome under this id open.
	submittedBefore bool
}

// Submit sends a submission until its outcome is final or the context ends. It
// uses the same id each time, through another entry if one fails, so that no task
// starts twice. If the submission has no id, Submit sets one; clear it before you
// submit the same work as a new job.
//
// The result is an answer with a final outcome, or one with outcome unknown and no
// retry time. The error is an *UnsettledError if the context ended first, if a call
// was rejected after an earlier one under the same id brought no answer, even in an
// earlier Submit of this client, or if an answer was too large to be read. Other
// errors are rejections of the first call by this client, which started nothing. A
// client doesn't know what was submitted under the id by others.
func (c *Client) Submit(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	call := &submitCall{client: c, submission: s, deadline: callerDeadline(s), submittedBefore: c.unsettled.has(s.GetId())}
	if s.GetId() == nil {
		call.newIDsLeft = c.cfg.MaxNewIDs
	}
	a, err := call.untilFinal(ctx)
	c.unsettled.note(s.GetId(), a, err)
	return a, err
}

// untilFinal sends the submission until its outcome is final or the context ends.
func (call *submitCall) untilFinal(ctx context.Context) (*pb.Answer, error) {
	for {
		a, err := call.send(ctx)
		wait, done := call.afterCall(a, err)
		if done {
			return a, call.wrapError(err)
		}
		if err := sleep(ctx, wait); err != nil {
			return call.lastAnswer, call.unsettled(err)
		}
	}
}

// wrapError returns an UnsettledError if the submission was sent before: the
// rejection of a later call doesn't show what an earlier call without an answer has
// started. It does so too if there is an answer that couldn't be read.
func (call *submitCall) wrapError(err error) error {
	if err != nil && (call.sends > 1 || call.submittedBefore || isOverLimit(err)) {
		return call.unsettled(err)
	}
	return err
}

// unsettled wraps the error that ended the call. Without an id nothing was submitted.
func (call *submitCall) unsettled(err error) error {
	if call.submission.GetId() == nil {
		return errors.Wrap(err, "nothing was submitted")
	}
	return &UnsettledError{ID: call.submission.GetId(), Last: call.lastAnswer, Err: err}
}

// send sends the submission once and obtains an id first if it has none.
func (call *submitCall) send(ctx context.Context) (*pb.Answer, error) {
	if call.submission.GetId() == nil {
		id, err := call.client.NewID(ctx)
		if err != nil {
			return nil, err
		}
		call.submission.Id = id
		call.entries = nil
		call.sends = 0
	}
	if len(call.entries) == 0 {
		call.entries = call.client.entryOrder(call.submission.GetId())
	}
	if len(call.entries) == 0 {
		return nil, errNoURL
	}
	if call.sends++; call.sends > 1 {
		call.client.stats.resubmissions.Add(1)
	}
	return call.entries[0].submit(ctx, withTimeout(ctx, call.submission, call.deadline))
}

// afterCall decides whether Submit ends after a call or how long it waits before the next one.
func (call *submitCall) afterCall(a *pb.Answer, err error) (time.Duration, bool) {
	if err != nil {
		return call.afterError(err)
	}
	call.failedCalls = 0
	call.lastAnswer = a
	wait := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	switch {
	case a.GetRetryAfterMs() == 0:
		return 0, true
	case a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && call.newIDsLeft > 0 && !call.pastDeadline(wait):
		call.newIDsLeft--
		call.submission.Id = nil
	case a.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN:
		return 0, true
	}
	if tryOtherEntry(a.GetReason()) {
		call.rotate()
	}
	// Wait at least as long as the answer asks for. The jitter spreads the retries of
	// callers that were rejected at the same time.
	return wait + jitter(wait), false
}

// pastDeadline reports whether the caller's own timeout ends before a wait does.
func (call *submitCall) pastDeadline(wait time.Duration) bool {
	return !call.deadline.IsZero() && time.Now().Add(wait).After(call.deadline)
}

// tryOtherEntry reports whether another entry may be able to get the outcome.
func tryOtherEntry(r pb.Reason) bool {
	return r == pb.Reason_REASON_NOT_SERVING || r == pb.Reason_REASON_HOLDER_UNREACHABLE
}

// afterError is afterCall for a call without a usable answer. A rejected answer is requested
// again, a permanent error ends Submit, and after any other error the next entry is tried.
func (call *submitCall) afterError(err error) (time.Duration, bool) {
	if errors.Is(err, ErrMismatchedAnswer) || errors.Is(err, ErrIncompleteAnswer) {
		call.rejectedAnswers++
		return minBackoff, call.rejectedAnswers >= maxRejectedAnswers
	}
	if isPermanent(err) {
		return 0, true
	}
	call.failedCalls++
	if len(call.entries) > 0 {
		call.entries[0].setDown(time.Now())
		call.rotate()
	}
	backoff := min(minBackoff<<min(call.failedCalls-1, 8), maxBackoff)
	return backoff + jitter(backoff), false
}

// rotate moves the first entry to the end.
func (call *submitCall) rotate() {
	if len(call.entries) > 1 {
		call.entries = append(call.entries[1:len(call.entries):len(call.entries)], call.entries[0])
	}
}

func jitter(d time.Duration) time.Duration {
	return rand.N(d/jitterDivisor + 1)
}

func sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// withTimeout returns a copy of the submission with the remaining time as its timeout:
// that of the caller's own timeout, which counts from the first call and isn't
// extended, or that of the context if it is shorter, minus a margin so that the last
// answer still arrives in time.
func withTimeout(ctx context.Context, s *pb.Submission, deadline time.Time) *pb.Submission {
	left := time.Duration(0)
	if !deadline.IsZero() {
		left = max(time.Until(deadline), time.Millisecond)
	}
	if contextDeadline, ok := ctx.Deadline(); ok {
		contextLeft := time.Until(contextDeadline)
		contextLeft = max(contextLeft-min(answerMargin, contextLeft/answerMarginDivisor), time.Millisecond)
		if left == 0 || contextLeft < left {
			left = contextLeft
		}
	}
	return &pb.Submission{
		Id:        s.GetId(),
		Service:   s.GetService(),
		Team:      s.GetTeam(),
		TimeoutMs: uint32(min(left.Milliseconds(), math.MaxUint32)),
		Tasks:     s.GetTasks(),
	}
}

// isPermanent reports whether a repeated call would fail in the same way.
func isPermanent(err error) bool {
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &untrusted) {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAlreadyExists, connect.CodeUnauthenticated,
		connect.CodePermissionDenied, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return true
	}
	return false
}

// isOverLimit reports whether the answer to a call was over the limit of its size. An error of the
// same code from the server is a rejection.
func isOverLimit(err error) bool {
	return connect.CodeOf(err) == connect.CodeResourceExhausted && !connect.IsWireError(err)
}

// SubmitOnce sends a submission, which must have an id, once.
func (c *Client) SubmitOnce(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	order := c.entryOrder(s.GetId())
	if len(order) == 0 {
		return nil, errNoURL
	}
	a, err := order[0].submit(ctx, withTimeout(ctx, s, callerDeadline(s)))
	c.unsettled.note(s.GetId(), a, err)
	return a, err
}

// callerDeadline is the deadline by the caller's own timeout; zero if it set none.
func callerDeadline(s *pb.Submission) time.Time {
	if s.GetTimeoutMs() == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(s.GetTimeoutMs()) * time.Millisecond)
}
