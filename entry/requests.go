package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/leader"
	"sapphirepoint.example/sapphirepoint/core/workload"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Reply is the final word on a request.
type Reply struct {
	Outcome workload.Outcome
	// RetryAfter is when a caller whose job did not run may come back.
	RetryAfter time.Duration
}

// JobState is how far a job is.
type JobState struct {
	Known bool
	Ended bool
	// Outcome is set if the job has ended.
	Outcome workload.Outcome
}

// ErrNoScheduler: nobody can be asked about the job at present.
var ErrNoScheduler = errors.New("no scheduler can be reached")

// retryStopping is when to come back to another entry VM.
const retryStopping = time.Second

// Submit hands a job in and waits for its end. If the caller leaves, the job is
// dropped.
func (p *Process) Submit(ctx context.Context, job *workload.Job, patience time.Duration) (Reply, error) {
	done := make(chan Reply, 1)
	var id uint64
	p.post(func() {
		p.nextID++
		id = p.nextID
		now := p.clock.now()
		p.lastArrival = now
		if !p.timeToServe(now, job) {
			done <- Reply{Outcome: workload.NotRun, RetryAfter: retryStopping}
			return
		}
		p.replies[id] = done
		p.gateway.Arrive(now, id, job, patience)
	})
	select {
	case r := <-done:
		return r, nil
	case <-p.ended:
		return p.lastWord(done), nil
	case <-ctx.Done():
		p.post(func() {
			delete(p.replies, id)
			p.gateway.Left(p.clock.now(), id)
		})
		p.log.Info().Str("job", string(job.ID)).Str("queue", job.Queue).Msg("caller-left")
		return Reply{}, errors.Wrap(ctx.Err(), "the caller left")
	}
}

// lastWord is the reply to a request that was waiting as the process ended: the
// one it was given, or if it came too late to be looked at, that it didn't run.
func (p *Process) lastWord(done <-chan Reply) Reply {
	select {
	case r := <-done:
		return r
	default:
		return Reply{Outcome: workload.NotRun, RetryAfter: retryStopping}
	}
}

func (p *Process) reply(c gateway.Reply) {
	p.metrics.requests.WithLabelValues(c.Job.Queue, c.Outcome.String()).Inc()
	p.metrics.requestSeconds.WithLabelValues(c.Outcome.String()).Observe(c.Took.Seconds())
	p.log.Info().Str("job", string(c.Job.ID)).Str("queue", c.Job.Queue).Uint64("configuration", c.Job.Version).
		Stringer("outcome", c.Outcome).Dur("took", c.Took).Dur("objective", c.Job.Objective).
		Str("scheduler", string(c.Scheduler)).Int("handed", c.Handed).Dur("retry-after", c.RetryAfter).
		Str("reason", c.Reason).Msg("request-answered")
	done := p.replies[c.Request]
	delete(p.replies, c.Request)
	if done != nil {
		done <- Reply{Outcome: c.Outcome, RetryAfter: c.RetryAfter}
	}
}

// State asks the scheduler how far a job is, and with cancel to end it.
func (p *Process) State(ctx context.Context, id workload.JobID, cancel bool) (JobState, error) {
	done := make(chan JobState, 1)
	failed := make(chan struct{})
	p.post(func() {
		p.nextID++
		if p.choice.Leader == "" || !p.choice.Reachable {
			close(failed)
			return
		}
		if p.choice.Leader == p.view.Self() {
			done <- p.jobStateOf(p.clock.now(), id, cancel)
			return
		}
		p.queries[p.nextID] = done
		p.send(p.choice.Leader, &pb.FleetMessage{Body: &pb.FleetMessage_JobQuery{
			JobQuery: &pb.JobQuery{Request: p.nextID, Job: string(id), Cancel: cancel},
		}})
	})
	select {
	case s := <-done:
		return s, nil
	case <-failed:
		return JobState{}, ErrNoScheduler
	case <-ctx.Done():
		return JobState{}, errors.Wrap(ctx.Err(), "ask the scheduler")
	}
}

func (p *Process) jobStateOf(now Time, id workload.JobID, cancel bool) JobState {
	if cancel {
		known := p.schedule.Cancel(now, id)
		p.log.Info().Str("job", string(id)).Bool("known", known).Msg("job-cancelled")
		return JobState{Known: known, Ended: known, Outcome: workload.Cancelled}
	}
	outcome, ended, known := p.schedule.State(id)
	return JobState{Known: known, Ended: ended, Outcome: outcome}
}

func (p *Process) jobQuery(now Time, from leader.ID, q *pb.JobQuery) {
	s := p.jobStateOf(now, workload.JobID(q.GetJob()), q.GetCancel())
	p.send(from, &pb.FleetMessage{Body: &pb.FleetMessage_JobState{JobState: &pb.JobState{
		Request: q.GetRequest(),
		Known:   s.Known,
		Ended:   s.Ended,
		Outcome: uint32(s.Outcome),
	}}})
}

func (p *Process) jobState(m *pb.JobState) {
	done := p.queries[m.GetRequest()]
	delete(p.queries, m.GetRequest())
	if done != nil {
		done <- JobState{Known: m.GetKnown(), Ended: m.GetEnded(), Outcome: outcomeOf(m.GetOutcome())}
	}
}
