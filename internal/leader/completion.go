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
	l.unqueuedCompletions.Remove(j)
	l.jobs.MarkNotRunnable(j)
	l.drainer.RecordJobEnd(j)
	if state == jobs.Cancelled {
		l.graph.QueueCriticalPathUpdates(j)
	}
	queue.Put(records.FinalStateKey(j.ID), f.Encode(), func() {
		l.jobs.SetFinalState(j.ID, f)
		l.admission.addUnfinishedTasks(j.Team, -j.Tasks)
		j.MarkEndDurable()
		l.completedStarts.removeDurable(j)
		l.graph.QueueDependents(j.ID, f)
		j.NotifyWaiters(true) // the end is durable
		l.removeIfUnreferenced(j)
	})
}

// removeIfUnreferenced removes an ended job and deletes its records. It does so only if the job's
// final state is durable and none of its tasks can still be on a machine. As long as a task can be
// on a machine, its resources count as allocated, and these counts need the job's team, zone and
// size.
func (l *Leader) removeIfUnreferenced(j *jobs.Job) {
	if !j.EndDurable() || j.AllocatedTasks() > 0 || l.jobs.Get(j.ID) != j {
		return
	}
	l.jobs.Remove(j)
	l.unqueuedCompletions.Remove(j)
	l.writes.Background.Delete(records.JobKey(j.ID))
	for _, key := range j.RecordKeys() {
		l.writes.Background.Delete(key)
	}
}

// recordCompletion records that a task has completed. If it was the job's last task, the job ends,
// and the write of its final state is queued at once. Otherwise the write of the completion is queued
// after a delay, so that one write covers several completions.
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
	j.MarkCompletionPending(index, l.maxValueBytes())
	l.unqueuedCompletions.Add(now, j)
}

// logIfDeadlineMissed logs the start times and the estimates of a job whose last task has completed
// after the job's deadline. The logged times are seconds since the submission.
func (l *Leader) logIfDeadlineMissed(now time.Time, j *jobs.Job) {
	if j.DeadlineS == nil || now.Sub(j.SubmittedAt()).Seconds() <= *j.DeadlineS {
		return
	}
	firstStart, lastStart := j.PlacementTimes()
	l.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.SubmittedAt()).Seconds()).
		Float64("first_start_s", firstStart.Sub(j.SubmittedAt()).Seconds()).
		Float64("last_start_s", lastStart.Sub(j.SubmittedAt()).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_estimate_s", l.runTimeRatios.ExpectedRunTimeS(j)).
		Int("interrupted", j.TasksWithProgress()).Int("failures", j.Failures()).Msg("deadline missed")
}

// flushCompletions queues the writes of the completions whose delay has passed.
func (l *Leader) flushCompletions(now time.Time) {
	for _, j := range l.unqueuedCompletions.PopDue(now) {
		for _, completions := range j.PopPendingCompletions(l.maxValueBytes()) {
			l.writes.Background.Put(completions.Key, completions.Encode(), func() {
				j.MarkCompletionsDurable(completions)
				l.completedStarts.removeDurable(j)
			})
		}
	}
}
