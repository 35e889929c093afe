package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// releaseTask counts one holder of a task less, and queues the task again if
// none is left.
func (l *Leader) releaseTask(j *jobs.Job, index int32) {
	j.Allocations[index]--
	if j.Allocations[index] > 0 {
		return
	}
	delete(j.Allocations, index)
	j.AllocatedTasks--
	if j.State == jobs.Active && !j.Completed.Has(int(index)) {
		j.Ready = append(j.Ready, index)
	}
	l.changed = true
	l.removeIfFinished(j)
}

func (l *Leader) sortedJobs() []*jobs.Job {
	js := make([]*jobs.Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	jobs.SortByID(js)
	return js
}
