package leader

import (
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// end decides how a job ends and writes its final state; only then is it told
// to anyone, and followed by what it means for the jobs that need this one.
func (l *Leader) end(now time.Time, j *jobs.Job, state jobs.State, queue *records.Queue) {
	j.State, j.EndedAt = state, now
	j.Ready = nil
	delete(l.unsavedCompletions, j)
	delete(l.live, j)
	l.drainer.CountEnded(j)
	f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: int32(j.Completed.Len())}
	if state == jobs.Cancelled {
		f.Outcome = records.OutcomeCancelled
		for _, need := range j.DependsOn {
			l.scheduleCriticalPath(l.jobs[need])
		}
	}
	queue.Put(records.FinalStateKey(j.ID), f.Encode(), func() {
		l.finals[j.ID] = f
		l.countUnfinished(j.Team, -j.Tasks)
		j.EndDurable = true
		l.graph.NotifyDependents(j.ID, f)
		j.NotifyWaiters(true)
		l.removeIfFinished(j)
	})
}

// removeIfFinished drops the record of an ended job once none of its tasks may be on a
// machine: until then its team, zone and size are needed for the counts.
func (l *Leader) removeIfFinished(j *jobs.Job) {
	if !j.EndDurable || j.AllocatedTasks > 0 || l.jobs[j.ID] != j {
		return
	}
	delete(l.jobs, j.ID)
	delete(l.unsavedCompletions, j)
	l.writes.Background.Delete(records.JobKey(j.ID))
	for _, key := range slices.Sorted(maps.Keys(j.RecordKeys)) {
		l.writes.Background.Delete(key)
	}
}

// taskDone notes a completion; it is written soon and told only afterwards.
func (l *Leader) taskDone(now time.Time, j *jobs.Job, index int32) {
	if !j.Completed.Add(int(index)) {
		return
	}
	l.changed = true
	l.drainer.CountDone(j, index)
	if j.State != jobs.Active {
		return
	}
	if j.Completed.Full() {
		l.logIfLate(now, j)
		l.end(now, j, jobs.Done, &l.writes.Interactive)
		return
	}
	j.UnsavedChunks[int(index)/records.CompletionChunk(l.valueLimit())] = true
	if _, ok := l.unsavedCompletions[j]; !ok {
		l.unsavedCompletions[j] = now
	}
}

// logIfLate tells what a job that is done after its deadline has spent its time on.
func (l *Leader) logIfLate(now time.Time, j *jobs.Job) {
	if j.DeadlineS == nil || now.Sub(j.Submitted).Seconds() <= *j.DeadlineS {
		return
	}
	l.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.Submitted).Seconds()).
		Float64("first_start_s", j.FirstStartAt.Sub(j.Submitted).Seconds()).
		Float64("last_start_s", j.LastStartAt.Sub(j.Submitted).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_s", l.runTimes.Estimate(j)).
		Int("interrupted", len(j.Progress)).Int("failures", j.Failures).Msg("deadline missed")
}

// flushDone queues the writes of completions that have waited long enough.
func (l *Leader) flushDone(now time.Time) {
	var due []*jobs.Job
	for j, since := range l.unsavedCompletions {
		if now.Sub(since) >= tuning.CompletionFlushDelay {
			due = append(due, j)
		}
	}
	jobs.SortByID(due)
	for _, j := range due {
		delete(l.unsavedCompletions, j)
		ks := make([]int, 0, len(j.UnsavedChunks))
		for k := range j.UnsavedChunks {
			ks = append(ks, k)
		}
		sort.Ints(ks)
		for _, k := range ks {
			rec := records.NewCompletions(j.ID, j.Completed, k, l.valueLimit())
			j.RecordKeys[rec.Key] = true
			l.writes.Background.Put(rec.Key, rec.Encode(), func() { l.markDurable(j, rec.Tasks) })
		}
		clear(j.UnsavedChunks)
	}
}

// markDurable marks attempts whose completion is stored: they may be forgotten.
func (l *Leader) markDurable(j *jobs.Job, covered string) {
	_ = intervals.Each(covered, j.Tasks, func(i int) {
		if j.StoredCompletions == nil {
			j.StoredCompletions = intervals.New(j.Tasks)
		}
		j.StoredCompletions.Add(i)
	})
}
