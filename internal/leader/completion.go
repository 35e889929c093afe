package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
)

// endJob ends a job and queues the write of its final state. Users get a response, and dependent
// jobs are unblocked or cancelled, when this write is durable.
func (l *Leader) endJob(now time.Time, j *jobs.Job, state jobs.State, queue *records.Queue) {
	f := j.End(now, state)
	l.pendingCompletions.Remove(j)
	l.jobs.MarkNotRunnable(j)
	l.drainer.RecordJobEnd(j)
	if state == jobs.Cancelled {
		l.graph.QueueCriticalPathUpdates(j)
	}
	queue.Put(records.FinalStateKey(j.ID), f.Encode(), func() {
		l.jobs.SetFinalState(j.ID, f)
		l.admission.addUnfinished(j.Team, -j.Tasks)
		j.MarkEndDurable()
		l.graph.QueueDependents(j.ID, f)
		j.NotifyWaiters(true) // the end is durable
		l.removeIfFinished(j)
	})
}

// removeIfFinished removes an ended job and deletes its records, once its final state is durable
// and none of its tasks can be on a machine. Until then, the counts of allocated resources need the
// job's team, zone and size.
func (l *Leader) removeIfFinished(j *jobs.Job) {
	if !j.EndDurable() || j.AllocatedTasks() > 0 || l.jobs.Get(j.ID) != j {
		return
	}
	l.jobs.Remove(j)
	l.pendingCompletions.Remove(j)
	l.writes.Background.Delete(records.JobKey(j.ID))
	for _, key := range j.RecordKeys() {
		l.writes.Background.Delete(key)
	}
}

// recordCompletion records that a task is done. The completion is written after a delay, so that
// one write covers several completions. If it was the job's last task, the job ends, and its final
// state is queued at once.
func (l *Leader) recordCompletion(now time.Time, j *jobs.Job, index int32) {
	if !j.MarkCompleted(index) {
		return
	}
	l.schedulingPassRequested = true
	l.drainer.RecordTaskDone(j, index)
	if !j.IsActive() {
		return
	}
	if j.AllCompleted() {
		l.logIfDeadlineMissed(now, j)
		l.endJob(now, j, jobs.Done, &l.writes.Interactive)
		return
	}
	j.MarkCompletionPending(index, l.valueLimit())
	l.pendingCompletions.Add(now, j)
}

// logIfDeadlineMissed logs the start times and the estimates of a job that was done after its
// deadline. The logged times count from the submission.
func (l *Leader) logIfDeadlineMissed(now time.Time, j *jobs.Job) {
	if j.DeadlineS == nil || now.Sub(j.SubmittedAt()).Seconds() <= *j.DeadlineS {
		return
	}
	firstStart, lastStart := j.PlacementTimes()
	l.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.SubmittedAt()).Seconds()).
		Float64("first_start_s", firstStart.Sub(j.SubmittedAt()).Seconds()).
		Float64("last_start_s", lastStart.Sub(j.SubmittedAt()).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_estimate_s", l.runTimes.Estimate(j)).
		Int("interrupted", j.TasksWithProgress()).Int("failures", j.Failures()).Msg("deadline missed")
}

// flushCompletions queues the writes of the completions whose delay has passed.
func (l *Leader) flushCompletions(now time.Time) {
	for _, j := range l.pendingCompletions.PopDue(now) {
		for _, completions := range j.PopPendingCompletions(l.valueLimit()) {
			l.writes.Background.Put(completions.Key, completions.Encode(), func() { j.MarkCompletionsDurable(completions) })
		}
	}
}
