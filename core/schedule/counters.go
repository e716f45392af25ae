package schedule

// Counters are totals since the start of the process. Cancelled includes jobs whose callers left.
// Refused and GaveUp count the outcomes NotRun and GaveUp. Done counts tasks, Lapsed runs whose
// lease expired, Adopted the adopted orphans, and Overstayed the runs that were stopped as overdue.
// Fenced counts the runners that have accepted another scheduler's higher token, and Unanswered
// the orders without an answer. StartsRepeated counts the starts that were sent again,
// RepeatsRejected those among them that the runner rejected, Dropped the runs that ceased to count
// though their runners hadn't listed their ends, and RanTwice the warnings that a task had two
// runs at a time. DoneAfterDrop counts the dropped runs that were listed as done after their task was
// started again, LeaseOverruns the lists that showed a run alive after its lease, and Stops
// the orders to stop runs.
type Counters struct {
	Submitted, Completed, Failed, Cancelled, Refused, GaveUp uint64
	Starts, Done, FailedRuns, Lapsed, Adopted, Overstayed    uint64
	Fenced, Unanswered                                       uint64
	StartsRepeated, RepeatsRejected, RanTwice                uint64
	DoneAfterDrop, LeaseOverruns                             uint64
	Dropped                                                  DropCounts
	Stops                                                    StopCounts
	Lending                                                  LendingCounters
}

// Plus returns the sum.
func (c Counters) Plus(o Counters) Counters {
	return Counters{
		Submitted: c.Submitted + o.Submitted, Completed: c.Completed + o.Completed, Failed: c.Failed + o.Failed,
		Cancelled: c.Cancelled + o.Cancelled, Refused: c.Refused + o.Refused, GaveUp: c.GaveUp + o.GaveUp,
		Starts: c.Starts + o.Starts, Done: c.Done + o.Done, FailedRuns: c.FailedRuns + o.FailedRuns,
		Lapsed: c.Lapsed + o.Lapsed, Adopted: c.Adopted + o.Adopted, Overstayed: c.Overstayed + o.Overstayed,
		Fenced: c.Fenced + o.Fenced, Unanswered: c.Unanswered + o.Unanswered,
		StartsRepeated: c.StartsRepeated + o.StartsRepeated, RepeatsRejected: c.RepeatsRejected + o.RepeatsRejected,
		RanTwice: c.RanTwice + o.RanTwice, Dropped: c.Dropped.Plus(o.Dropped), Stops: c.Stops.Plus(o.Stops),
		DoneAfterDrop: c.DoneAfterDrop + o.DoneAfterDrop, LeaseOverruns: c.LeaseOverruns + o.LeaseOverruns,
		Lending: c.Lending.Plus(o.Lending),
	}
}

// Counters returns the totals.
func (s *Scheduler) Counters() Counters { return s.ctr }
