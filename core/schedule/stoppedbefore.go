package schedule

import "sapphirepoint.example/sapphirepoint/core/workload"

// stoppingTasks lists the tasks with a run that was ordered to stop and hasn't been listed as ended.
func (s *Scheduler) stoppingTasks() []workload.TaskName {
	var list []workload.TaskName
	for _, r := range s.runnerList {
		for _, u := range r.sortedRuns() {
			if u.stopping {
				list = append(list, u.key.Task)
			}
		}
	}
	return list
}

// noteStoppedBefore keeps tasks from being started until their runs are over that the leader before has ordered to
// stop: this scheduler has a higher token, so no order of that leader is carried out any more.
func (s *Scheduler) noteStoppedBefore(tasks []workload.TaskName) {
	for _, t := range tasks {
		s.stoppedBefore[t] = s.now + s.cfg.StopTimeout + lateEndMargin
	}
}
