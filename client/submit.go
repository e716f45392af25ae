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
	// jitterDivide makes the random part of a wait at most half of it.
	jitterDivide = 2
	// maxForeign is how many answers of others are dropped before Submit ends.
	maxForeign = 3
	// answerMargin is what is kept of the context's time for the way of the
	// answer; never more than a tenth of it.
	answerMargin       = 100 * time.Millisecond
	answerMarginDivide = 10
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

// attempt is the state of one call of Submit.
type attempt struct {
	client *Client
	s      *pb.Submission
	// deadline is when the caller's own timeout ends; zero if it set none.
	deadline time.Time
	// order is the entries to try, with the present one first.
	order   []*entry
	sends   int
	failed  int
	foreign int
	newIDs  int
	last    *pb.Answer
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
	at := &attempt{client: c, s: s, deadline: ownDeadline(s)}
	if s.GetId() == nil {
		at.newIDs = c.cfg.MaxNewIDs
	}
	for {
		a, err := at.send(ctx)
		wait, done := at.next(a, err)
		if done {
			return a, at.ended(err)
		}
		if err := sleep(ctx, wait); err != nil {
			return at.last, at.unsettled(err)
		}
	}
}

// ended keeps an error truthful: a rejection after a call that brought no
// answer doesn't settle what became of that call.
func (at *attempt) ended(err error) error {
	if err != nil && at.sends > 1 {
		return at.unsettled(err)
	}
	return err
}

func (at *attempt) unsettled(err error) error {
	if at.s.GetId() == nil {
		return errors.Wrap(err, "nothing was submitted")
	}
	return &UnsettledError{ID: at.s.GetId(), Last: at.last, Err: err}
}

// send obtains an id if need be and sends once.
func (at *attempt) send(ctx context.Context) (*pb.Answer, error) {
	if at.s.GetId() == nil {
		id, err := at.client.NewID(ctx)
		if err != nil {
			return nil, err
		}
		at.s.Id = id
		at.order = nil
		at.sends = 0
	}
	if len(at.order) == 0 {
		at.order = at.client.order(at.s.GetId())
	}
	if len(at.order) == 0 {
		return nil, errNoURL
	}
	if at.sends++; at.sends > 1 {
		at.client.stats.resubmissions.Add(1)
	}
	return at.order[0].submit(ctx, withTimeout(ctx, at.s, at.deadline))
}

// next decides what follows a call: the end, or a wait before the next one.
func (at *attempt) next(a *pb.Answer, err error) (time.Duration, bool) {
	if err != nil {
		return at.afterError(err)
	}
	at.failed = 0
	at.last = a
	wait := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	switch {
	case a.GetRetryAfterMs() == 0:
		return 0, true
	case a.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN && at.newIDs > 0 && !at.late(wait):
		at.newIDs--
		at.s.Id = nil
	case a.GetOutcome() != pb.Outcome_OUTCOME_UNKNOWN:
		return 0, true
	}
	if elsewhere(a.GetReason()) {
		at.turn()
	}
	// Never earlier than told, and spread, so that callers that were turned
	// away together don't come back together.
	return wait + jitter(wait), false
}

func (at *attempt) late(wait time.Duration) bool {
	return !at.deadline.IsZero() && time.Now().Add(wait).After(at.deadline)
}

// elsewhere says whether another entry may know more.
func elsewhere(r pb.Reason) bool {
	return r == pb.Reason_REASON_NOT_SERVING || r == pb.Reason_REASON_HOLDER_UNREACHABLE
}

func (at *attempt) afterError(err error) (time.Duration, bool) {
	if errors.Is(err, ErrMismatchedAnswer) || errors.Is(err, ErrIncompleteAnswer) {
		at.foreign++
		return minBackoff, at.foreign >= maxForeign
	}
	if final(err) {
		return 0, true
	}
	at.failed++
	if len(at.order) > 0 {
		at.order[0].setDown(time.Now())
		at.turn()
	}
	backoff := min(minBackoff<<min(at.failed-1, 8), maxBackoff)
	return backoff + jitter(backoff), false
}

// turn puts the next entry first.
func (at *attempt) turn() {
	if len(at.order) > 1 {
		at.order = append(at.order[1:len(at.order):len(at.order)], at.order[0])
	}
}

func jitter(d time.Duration) time.Duration {
	return rand.N(d/jitterDivide + 1)
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
	if end, ok := ctx.Deadline(); ok {
		rest := time.Until(end)
		rest = max(rest-min(answerMargin, rest/answerMarginDivide), time.Millisecond)
		if left == 0 || rest < left {
			left = rest
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

// final says whether asking again can't help.
func final(err error) bool {
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
	order := c.order(s.GetId())
	if len(order) == 0 {
		return nil, errNoURL
	}
	return order[0].submit(ctx, withTimeout(ctx, s, ownDeadline(s)))
}

// ownDeadline is when the caller's own timeout ends; zero if it set none.
func ownDeadline(s *pb.Submission) time.Time {
	if s.GetTimeoutMs() == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(s.GetTimeoutMs()) * time.Millisecond)
}
