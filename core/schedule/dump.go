package schedule

import "sapphirepoint.example/sapphirepoint/core/pace"

// Dump is the scheduler's state as shown to operators.
type Dump struct {
	Leading  bool         `json:"leading"`
	Term     uint64       `json:"term"`
	Jobs     int          `json:"jobs"`
	Waiting  []string     `json:"waiting"`
	Runners  []RunnerDump `json:"runners"`
	Counters Counters     `json:"counters"`
	// GrantsOut are the promises of room to jobs of other shards, and RoomRequested the jobs for
	// which room is requested of another shard.
	GrantsOut     []GrantDump `json:"grants_out"`
	RoomRequested []GrantDump `json:"room_requested"`
	// Kinds and Queues are what is learned of the kinds of runners and of the queues.
	Kinds  []RatioDump `json:"learned_kinds"`
	Queues []RatioDump `json:"learned_queues"`
}

// RatioDump is a learned ratio of run time to estimate. For a queue it is relative to other queues.
type RatioDump struct {
	Name  string  `json:"name"`
	Ratio float64 `json:"ratio"`
	Runs  uint32  `json:"runs"`
	AgeMs int64   `json:"age_ms"`
}

func dumpRatios(list []pace.Ratio) []RatioDump {
	var dump []RatioDump
	for _, r := range list {
		dump = append(dump, RatioDump{Name: r.Name, Ratio: r.Value, Runs: r.Runs, AgeMs: r.Age.Milliseconds()})
	}
	return dump
}

// RunnerDump is the state of one runner; durations are relative to now, in milliseconds.
type RunnerDump struct {
	ID           string   `json:"id"`
	Owned        bool     `json:"owned"`
	Token        uint64   `json:"token"`
	Unresponsive bool     `json:"in_doubt"`
	Draining     bool     `json:"draining"`
	Evacuated    bool     `json:"evacuated"`
	Unlisted     bool     `json:"unlisted"`
	Gone         bool     `json:"gone"`
	ClosedFor    int64    `json:"closed_for_ms"`
	AliveFor     int64    `json:"alive_for_ms"`
	ClockAge     int64    `json:"clock_age_ms"`
	Pace         float64  `json:"pace"`
	PaceTurned   bool     `json:"pace_turned"`
	Strikes      int      `json:"strikes"`
	FreeCPU      int      `json:"free_millicpu"`
	Runs         []string `json:"runs"`
	Acknowledged uint64   `json:"acknowledged"`
	HoldInFlight bool     `json:"renewal_on_way"`
	Address      string   `json:"address"`
	EntryTrusted bool     `json:"entry_trusted"`
}

// Dump returns the scheduler's state.
func (s *Scheduler) Dump(now Time) Dump {
	d := Dump{
		Leading: s.leading, Term: s.term, Jobs: len(s.jobs), Counters: s.ctr,
		GrantsOut: s.dumpGrants(now), RoomRequested: s.dumpRequest(now),
	}
	for _, id := range s.waitingIDs() {
		d.Waiting = append(d.Waiting, string(id))
	}
	for _, r := range s.runnerList {
		d.Runners = append(d.Runners, r.dump(now))
	}
	learned := s.learned.Export(now)
	d.Kinds, d.Queues = dumpRatios(learned.Kinds), dumpRatios(learned.Queues)
	return d
}

func (r *runner) dump(now Time) RunnerDump {
	d := RunnerDump{
		ID:           string(r.info.ID),
		Owned:        r.owned,
		Token:        r.token,
		Unresponsive: r.unresponsive,
		Draining:     r.info.Draining,
		Evacuated:    r.evacuated,
		Unlisted:     r.unlisted,
		Gone:         r.gone,
		ClosedFor:    max(0, r.health.closedUntil-now).Milliseconds(),
		AliveFor:     max(0, r.aliveUntil-now).Milliseconds(),
		ClockAge:     (now - r.clockAt).Milliseconds(),
		Pace:         r.health.pace(),
		PaceTurned:   r.health.turned,
		Strikes:      r.health.strikes,
		FreeCPU:      r.free().MilliCPU,
		Acknowledged: r.acknowledged,
		HoldInFlight: r.holdInFlight,
		Address:      r.info.Address,
		EntryTrusted: r.entryTrusted(now),
	}
	for _, u := range r.sortedRuns() {
		d.Runs = append(d.Runs, u.key.String())
	}
	return d
}
