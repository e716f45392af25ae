package fleet

import (
	"sapphirepoint.example/sapphirepoint/core/gateway"
	"sapphirepoint.example/sapphirepoint/core/schedule"
)

// JobsElsewhere reports to the leader of Shard which of the shard's jobs are in other shards. Entry
// processes send it to a new leader, and when a refused job has found room; a retiring leader sends
// it to the next one.
type JobsElsewhere struct {
	Shard int
	Jobs  []schedule.JobElsewhere
}

func (JobsElsewhere) message() {}

// reportElsewhere passes the report of the own gateway to the leader of the jobs' home.
func (n *Node) reportElsewhere(c gateway.ReportElsewhere) {
	m := JobsElsewhere{Shard: c.Home}
	for _, j := range c.Jobs {
		m.Jobs = append(m.Jobs, schedule.JobElsewhere{Job: j.Job, Shard: j.Shard, Entry: schedule.EntryID(n.Self())})
	}
	if c.To == n.Self() {
		n.receiveElsewhere(c.At, m)
		return
	}
	n.emit(Send{To: c.To, Message: m})
}

// receiveElsewhere passes a report to the scheduler of the jobs' home.
func (n *Node) receiveElsewhere(now Time, m JobsElsewhere) {
	if s := n.ownShard(m.Shard); s != nil {
		s.schedule.NoteElsewhere(now, m.Jobs)
	}
}

// sendElsewhere sends the retiring scheduler's knowledge to the next leader of the shard.
func (n *Node) sendElsewhere(s *shard) {
	if list := s.schedule.Elsewhere(); len(list) > 0 {
		n.emit(Send{To: s.choice.Leader, Message: JobsElsewhere{Shard: s.index, Jobs: list}})
	}
}
