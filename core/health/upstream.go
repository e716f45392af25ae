package health

import "sapphirepoint.example/sapphirepoint/core/task"

type state uint8

const (
	// open: the upstream may use its whole share of slots.
	open state = iota
	// unavailable, "away" by name: unreachable, refusing tasks, or suspected of failing every task.
	// The upstream is closed until upstream.until, and has one slot open from then on.
	unavailable
	// ejected: closed because of failures.
	ejected
	// probing: one slot is open until the first outcome, which decides whether the upstream returns
	// or is ejected again.
	probing
	// returning: the share of slots doubles with each success, until all are open.
	returning
)

var stateNames = [...]string{"open", "away", "ejected", "probing", "returning"}

func (s state) String() string { return stateNames[s] }

// upstream is the health of one upstream.
type upstream struct {
	name  string
	state state
	// reportedState is the state in the latest Change.
	reportedState state
	// until is when an ejected or unavailable upstream may be used again; 0 after that.
	until task.Time
	// ejectionLevel and unavailableLevel are the levels of the backoff: the ejection time and the
	// unavailable time double with each level.
	ejectionLevel    int
	unavailableLevel int
	// ejectedAt and ejectionTime are the time and the length of the latest ejection.
	ejectedAt    task.Time
	ejectionTime task.Time
	// consecutiveRefusals counts the refusals since a task last ran, or since the upstream last
	// became unavailable.
	consecutiveRefusals int
	// suspect: the upstream is unavailable because its failures aren't confirmed yet.
	suspect bool
	// share is the share of slots that a returning or open upstream may use, before its slowness is
	// taken into account.
	share float64
	// logSlowness is the logarithm of the mean slowness of the upstream's tasks.
	logSlowness float64
	// weight is the weight in the latest Change; 1 before the first.
	weight float64
	// histories has the outcomes of each service, by the index in Tracker.serviceIndexes.
	histories []history
	// lastSuccess is when the task with the latest success was sent.
	lastSuccess task.Time
	// institutionPool holds the upstreams of the same institution, domainPool those of the same
	// institution and failure domain.
	institutionPool *pool
	// poolIndex is the index of this upstream in institutionPool.
	poolIndex  int
	domainPool *pool
	// groups are the worker and the rack; nil if unknown.
	groups [2]*group
	// reporters are the names of the peers that have ejected the upstream.
	reporters []string
	spec      task.Upstream
}

func (u *upstream) history(service int) *history {
	if service >= len(u.histories) {
		return nil
	}
	return &u.histories[service]
}
