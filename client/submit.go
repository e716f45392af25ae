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
	// minBackoff and maxBackoff bound the wait after a call without an answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// jitterDivisor makes the random part of a wait at most half of it.
	jitterDivisor = 2
	// maxRejectedAnswers is how many answers of others are dropped before Submit ends.
	maxRejectedAnswers = 3
	// answerMargin is what is kept of the context's time for the way of the
	// answer; never more than a tenth of it.
	answerMargin        = 100 * time.Millisecond
	answerMarginDivisor = 10
)

// UnsettledError reports that a submission has no final word yet. Its tasks
// may have run, be running or never run; submit it again under the same id.
type UnsettledError struct {
	ID *pb.SubmissionId
	// Last is the last answer without a final word; nil if there was none.
	Last *pb.Answer
	// Err is what ended the waiting.
	Err error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("the outcome is unknown: %s", e.Err)
	}
	return fmt.Sprintf("the outcome is unknown: %s: %s", e.Last.GetDetail(), e.Err)
}

// Unwrap returns what ended the waiting.
func (e *UnsettledError) Unwrap() error { return e.Err }

// submitCall is the state of one call of Submit.
type submitCall struct {
	client     *Client
	submission *pb.Submission
	// deadline is when the caller's own timeout ends; zero if it set none.
	deadline time.Time
	// entries is the entries to try, with the present one first.
	entries         []*entry
	sends           int
	failedCalls     int
	rejectedAnswers int
	newIDsLeft      int
	lastAnswer      *pb.Answer
}

// Submit sends a submission until it has a final word or the context ends. It
// sends the same id each time, through another entry if one fails, so no task
// starts twice. An id is filled in if there is none; clear it before you
// submit the same work as a new job.
//
// The result is an answer with a final word, or one of outcome unknown that
// isn't worth asking again about. The error is a *UnsettledError when the
// context ended first, or a rejection came after a call without an answer.
// Other errors are rejections of the first call: it started nothing.
func (c *Client) Submit(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	call := &submitCall{client: c, submission: s, deadline: callerDeadline(s)}
	if s.GetId() == nil {
		call.newIDsLeft = c.cfg.MaxNewIDs
	}
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

// wrapError keeps an error truthful: a rejection after a call that brought no
// answer doesn't settle what became of that call.
func (call *submitCall) wrapError(err error) error {
	if err != nil && call.sends > 1 {
		return call.unsettled(err)
	}
	return err
}

func (call *submitCall) unsettled(err error) error {
	if call.submission.GetId() == nil {
		return errors.Wrap(err, "nothing was submitted")
	}
	return &UnsettledError{ID: call.submission.GetId(), Last: call.lastAnswer, Err: err}
}

// send obtains an id if need be and sends once.
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

// afterCall decides what follows a call: the end, or a wait before the afterCall one.
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
	// Never earlier than told, and spread, so that callers that were turned
	// away together don't come back together.
	return wait + jitter(wait), false
}

func (call *submitCall) pastDeadline(wait time.Duration) bool {
	return !call.deadline.IsZero() && time.Now().Add(wait).After(call.deadline)
}

// tryOtherEntry says whether another entry may know more.
func tryOtherEntry(r pb.Reason) bool {
	return r == pb.Reason_REASON_NOT_SERVING || r == pb.Reason_REASON_HOLDER_UNREACHABLE
}

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

// rotate puts the next entry first.
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

// withTimeout gives the submission the time that is left: of the caller's own
// timeout, counted from the first sending and never extended, and of the
// context, so that the last answer still reaches the caller.
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

// isPermanent says whether asking again can't help.
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

// SubmitOnce sends a submission that has an id once.
func (c *Client) SubmitOnce(ctx context.Context, s *pb.Submission) (*pb.Answer, error) {
	order := c.entryOrder(s.GetId())
	if len(order) == 0 {
		return nil, errNoURL
	}
	return order[0].submit(ctx, withTimeout(ctx, s, callerDeadline(s)))
}

// callerDeadline is when the caller's own timeout ends; zero if it set none.
func callerDeadline(s *pb.Submission) time.Time {
	if s.GetTimeoutMs() == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(s.GetTimeoutMs()) * time.Millisecond)
}
