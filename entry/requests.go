package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
)

// Reply is the final answer to a request.
type Reply struct {
	Outcome workload.Outcome
	// RetryAfter is the delay after which a caller whose job did not run may retry.
	RetryAfter time.Duration
}

// ErrNoScheduler means that no scheduler can be asked about the job at present.
var ErrNoScheduler = errors.New("no scheduler can be reached")

// retryAfterEnd is the delay after which a caller may retry, on another entry VM,
// when this process has ended.
const retryAfterEnd = time.Second

// Submit submits a job and waits for its end. If the caller leaves first, the job is
// dropped.
func (p *Process) Submit(ctx context.Context, job *workload.Job, timeout time.Duration) (Reply, error) {
	done := make(chan Reply, 1)
	var id uint64
	p.post(func(now Time) {
		p.lastID++
		id = p.lastID
		p.replies[id] = done
		p.node.Submit(now, id, job, timeout)
	})
	select {
	case r := <-done:
		return r, nil
	case <-p.ended:
		return p.finalReply(job, done), nil
	case <-ctx.Done():
		p.post(func(now Time) {
			delete(p.replies, id)
			p.node.CallerLeft(now, id)
		})
		p.log.Info().Str("job", string(job.ID)).Str("queue", job.Queue).Msg("caller-left")
		return Reply{}, errors.Wrap(ctx.Err(), "the caller left")
	}
}

// finalReply returns the reply to a request that was waiting when the process
// ended: the one that was sent to it, or, if the request came too late for the loop to
// handle it, that the job was given up: a copy of it may have run. The latter is logged and counted
// here, since the loop has ended.
func (p *Process) finalReply(job *workload.Job, done <-chan Reply) Reply {
	select {
	case r := <-done:
		return r
	default:
		p.CountRefusal(job.Queue, workload.ProcessEnding)
		p.log.Info().Str("job", string(job.ID)).Str("queue", job.Queue).Stringer("cause", workload.ProcessEnding).
			Str("reason", "this process has ended").Dur("retry-after", retryAfterEnd).Msg("request-refused")
		return Reply{Outcome: workload.GaveUp, RetryAfter: retryAfterEnd}
	}
}

// deliverReply passes the final answer to the Submit that waits for it, if its caller
// hasn't left.
func (p *Process) deliverReply(c gateway.Reply) {
	p.metrics.requests.WithLabelValues(c.Job.Queue, c.Outcome.String()).Inc()
	p.metrics.requestSeconds.WithLabelValues(c.Outcome.String()).Observe(c.Elapsed.Seconds())
	p.log.Info().Str("job", string(c.Job.ID)).Str("queue", c.Job.Queue).Uint64("configuration", c.Job.Version).
		Stringer("outcome", c.Outcome).Dur("took", c.Elapsed).Dur("objective", c.Job.Objective).
		Str("scheduler", string(c.Scheduler)).Int("handed", c.PriorSubmissions).Dur("retry-after", c.RetryAfter).
		Stringer("cause", c.Cause).Str("reason", c.Reason).Msg("request-answered")
	if c.Cause != workload.NotRefused {
		p.CountRefusal(c.Job.Queue, c.Cause)
	}
	done := p.replies[c.Request]
	delete(p.replies, c.Request)
	if done != nil {
		done <- Reply{Outcome: c.Outcome, RetryAfter: c.RetryAfter}
	}
}

// State asks the scheduler for the state of a job; with cancel it also cancels the job.
func (p *Process) State(ctx context.Context, job workload.JobID, cancel bool) (schedule.JobState, error) {
	done := make(chan fleet.StateAnswer, 1)
	var id uint64
	p.post(func(now Time) {
		p.lastID++
		id = p.lastID
		p.queries[id] = done
		p.node.Query(now, id, job, cancel)
	})
	select {
	case a := <-done:
		if a.Unreachable {
			return schedule.JobState{}, ErrNoScheduler
		}
		return a.State, nil
	case <-p.ended:
		return schedule.JobState{}, ErrNoScheduler
	case <-ctx.Done():
		p.post(func(Time) {
			delete(p.queries, id)
			p.node.ForgetQuery(id)
		})
		return schedule.JobState{}, errors.Wrap(ctx.Err(), "ask the scheduler")
	}
}

// deliverState passes a job's state to the State call that waits for it.
func (p *Process) deliverState(a fleet.StateAnswer) {
	done := p.queries[a.Request]
	delete(p.queries, a.Request)
	if done != nil {
		done <- a
	}
}
