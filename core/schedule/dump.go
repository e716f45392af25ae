package schedule

// Dump is the scheduler's state as shown to operators.
type Dump struct {
	Leading  bool         `json:"leading"`
	Term     uint64       `json:"term"`
	Jobs     int          `json:"jobs"`
	Waiting  []string     `json:"waiting"`
	Runners  []RunnerDump `json:"runners"`
	Counters Counters     `json:"counters"`
	// GrantsOut are the rooms promised to jobs of other shards, RoomRequested the jobs for which
	// room is requested of another shard.
	GrantsOut     []GrantDump `json:"grants_out"`
	RoomRequested []GrantDump `json:"room_requested"`
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
	Strikes      int      `json:"strikes"`
	FreeCPU      int      `json:"free_millicpu"`
	Runs         []string `json:"runs"`
	Acknowledged uint64   `json:"acknowledged"`
	HoldInFlight bool     `json:"renewal_on_way"`
	Address      string   `json:"address"`
}

// Dump returns the scheduler's state.
func (s *Scheduler) Dump(now Time) Dump {
	d := Dump{Leading: s.leading, Term: s.term, Jobs: len(s.jobs), Counters: s.ctr, GrantsOut: s.grantsOut(now), RoomRequested: s.roomRequested(now)}
	for _, id := range s.waitingIDs() {
		d.Waiting = append(d.Waiting, string(id))
	}
	for _, r := range s.runnerList {
		d.Runners = append(d.Runners, r.dump(now))
	}
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
		Strikes:      r.health.strikes,
		FreeCPU:      r.free().MilliCPU,
		Acknowledged: r.acknowledged,
		HoldInFlight: r.holdInFlight,
		Address:      r.info.Address,
	}
	for _, u := range r.sortedRuns() {
		d.Runs = append(d.Runs, u.key.String())
	}
	return d
}
