package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/ledger"
)

// callStore executes a store call of a shard's ledger, i.e. of the core's bookkeeping of
// the shard's stored jobs, and posts the result to the loop.
func (p *Process) callStore(ctx context.Context, c fleet.StoreCall, owner string) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout(c.Call))
	defer cancel()
	sent, sentAt := time.Now(), p.clock.now()
	var result ledger.Result
	var err error
	kind := ""
	switch call := c.Call.(type) {
	case ledger.Claim:
		kind = "claim"
		var o ledger.Ownership
		o, err = p.store.Claim(ctx, c.Shard, owner, call)
		result = ledger.ClaimResult{Call: call.Call, Outcome: storeOutcome(err), Ownership: o, SentAt: sentAt}
	case ledger.Read:
		kind = "read"
		var records []ledger.Record
		records, err = p.store.Records(ctx, c.Shard)
		result = ledger.ReadResult{Call: call.Call, Outcome: storeOutcome(err), Records: records}
	case ledger.Check:
		kind = "check"
		var version uint64
		version, err = p.store.OwnershipVersion(ctx, c.Shard)
		result = ledger.CheckResult{Call: call.Call, Outcome: storeOutcome(err), Version: version, SentAt: sentAt}
	case ledger.Write:
		kind = "write"
		err = p.store.Write(ctx, c.Shard, call.Version, call.Records)
		result = ledger.WriteResult{Call: call.Call, Outcome: storeOutcome(err), SentAt: sentAt}
	default:
		panic(fmt.Sprintf("unknown store call %T", c.Call))
	}
	p.metrics.ledgerSeconds.WithLabelValues(kind, storeOutcome(err).String()).Observe(time.Since(sent).Seconds())
	if err != nil && ctx.Err() == nil {
		p.log.Warn().Str("call", kind).Int("shard", c.Shard).Stringer("outcome", storeOutcome(err)).Err(err).Msg("ledger-call-failed")
	}
	p.post(func(now Time) { p.node.StoreAnswered(now, c.Shard, result) })
}

const (
	// ledgerWriteTimeout bounds a call that concerns few rows. Such a call takes a few
	// milliseconds, and up to half a second if the store is slow. If the store answers
	// other processes but not this one, that must be detected while callers still wait.
	ledgerWriteTimeout = 700 * time.Millisecond
	// ledgerReadTimeout bounds the reading of all records of a shard, some thousand.
	ledgerReadTimeout = 3 * time.Second
)

func ledgerTimeout(c ledger.Command) time.Duration {
	if _, ok := c.(ledger.Read); ok {
		return ledgerReadTimeout
	}
	return ledgerWriteTimeout
}

// storeOutcome returns the outcome of a store call. Any error other than the two below
// counts as no answer: the store may have executed the call.
func storeOutcome(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.Applied
	case errors.Is(err, ErrSuperseded):
		return ledger.Superseded
	case errors.Is(err, ErrRejected):
		return ledger.Rejected
	}
	return ledger.Unanswered
}

// probeTimeout bounds a probe of the store; other processes wait for its result.
const probeTimeout = 500 * time.Millisecond

// probeStore checks whether the store is reachable from this process. It reads any small
// row, that of shard 0, and ignores the content.
func (p *Process) probeStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.store.OwnershipVersion(ctx, 0)
	p.log.Info().Bool("reached", err == nil).AnErr("cause", err).Msg("store-probed")
	p.post(func(now Time) { p.node.StoreProbed(now, err == nil) })
}

// readStoredJobs reads whether the store has stored jobs.
func (p *Process) readStoredJobs(ctx context.Context) (*fleet.StoredJobsResult, error) {
	sentAt := p.clock.now()
	any, err := p.store.HasRecords(ctx)
	if err != nil {
		return nil, err
	}
	return &fleet.StoredJobsResult{SentAt: sentAt, Any: any}, nil
}

// answerStoredJobsRead reads whether the store has stored jobs, and passes the result to the node.
func (p *Process) answerStoredJobsRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ledgerWriteTimeout)
	defer cancel()
	result, err := p.readStoredJobs(ctx)
	if err != nil {
		p.metrics.storeFailures.WithLabelValues("stored-jobs").Inc()
		p.log.Warn().Str("call", "stored-jobs").Err(err).Msg("store-call-failed")
	}
	p.post(func(now Time) { p.node.StoredJobsRead(now, result) })
}
