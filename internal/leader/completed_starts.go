package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/startlog"
)

// completedStarts removes ended attempts from their start records. An attempt that has completed its task
// is removed only once the completion is durable: if the leader ended in between, a successor would
// find neither record, and start the task again.
type completedStarts struct {
	startLog *startlog.Log
	waiting  map[*jobs.Job][]*machines.Attempt // attempts whose task's completion is not durable yet
}

func newCompletedStarts(startLog *startlog.Log) completedStarts {
	return completedStarts{startLog: startLog, waiting: map[*jobs.Job][]*machines.Attempt{}}
}

// remove removes an ended attempt from its start record, now or as soon as the completion of its task is
// durable.
func (c *completedStarts) remove(a *machines.Attempt) {
	if a.Job.IsCompleted(a.Index) && !a.Job.IsCompletionDurable(a.Index) {
		c.waiting[a.Job] = append(c.waiting[a.Job], a)
		return
	}
	c.startLog.Remove(a)
}

// removeDurable removes the waiting attempts of a job whose completions are durable now.
func (c *completedStarts) removeDurable(j *jobs.Job) {
	attempts := c.waiting[j]
	delete(c.waiting, j)
	for _, a := range attempts {
		c.remove(a)
	}
}
