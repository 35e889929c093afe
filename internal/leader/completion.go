package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
)

// end decides how a job ends and queues the write of its final state; only once that is durable
// users get a response, and it takes effect on the jobs that depend on this one.
func (l *Leader) end(now time.Time, j *jobs.Job, state jobs.State, queue *records.Queue) {
	f := j.End(now, state)
	l.unsavedCompletions.Remove(j)
	l.jobs.MarkEnded(j)
	l.drainer.RecordJobEnd(j)
	if state == jobs.Cancelled {
		l.graph.QueuePathUpdates(j)
	}
	queue.Put(records.FinalStateKey(j.ID), f.Encode(), func() {
		l.jobs.SetFinalState(j.ID, f)
		l.admission.countUnfinished(j.Team, -j.Tasks)
		j.MarkEndDurable()
		l.graph.JobEnded(j.ID, f)
		j.NotifyWaiters(true)
		l.removeIfFinished(j)
	})
}

// removeIfFinished deletes the records of an ended job once none of its tasks may be on a
// machine: until then its team, zone and size are needed for the counts.
func (l *Leader) removeIfFinished(j *jobs.Job) {
	if !j.EndDurable() || j.AllocatedTasks() > 0 || l.jobs.Get(j.ID) != j {
		return
	}
	l.jobs.Remove(j)
	l.unsavedCompletions.Remove(j)
	l.writes.Background.Delete(records.JobKey(j.ID))
	for _, key := range j.RecordKeys() {
		l.writes.Background.Delete(key)
	}
}

// taskDone notes a completion, which is written after a delay.
func (l *Leader) taskDone(now time.Time, j *jobs.Job, index int32) {
	if !j.Complete(index) {
		return
	}
	l.changed = true
	l.drainer.RecordDone(j, index)
	if !j.IsActive() {
		return
	}
	if j.AllCompleted() {
		l.logIfLate(now, j)
		l.end(now, j, jobs.Done, &l.writes.Interactive)
		return
	}
	j.MarkCompletionUnsaved(index, l.valueLimit())
	l.unsavedCompletions.Add(now, j)
}

// logIfLate logs where the time of a job that is done after its deadline went.
func (l *Leader) logIfLate(now time.Time, j *jobs.Job) {
	if j.DeadlineS == nil || now.Sub(j.SubmittedAt()).Seconds() <= *j.DeadlineS {
		return
	}
	first, last := j.StartTimes()
	l.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.SubmittedAt()).Seconds()).
		Float64("first_start_s", first.Sub(j.SubmittedAt()).Seconds()).
		Float64("last_start_s", last.Sub(j.SubmittedAt()).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_s", l.runTimes.Estimate(j)).
		Int("interrupted", j.InterruptedTasks()).Int("failures", j.Failures()).Msg("deadline missed")
}

// flushDone queues the writes of completions that have waited long enough.
func (l *Leader) flushDone(now time.Time) {
	for _, j := range l.unsavedCompletions.PopDue(now) {
		for _, completions := range j.PopUnsavedCompletions(l.valueLimit()) {
			l.writes.Background.Put(completions.Key, completions.Encode(), func() { j.MarkStored(completions) })
		}
	}
}
