package leader

import (
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// end decides how a job ends and writes its final state; only then is it told
// to anyone, and followed by what it means for the jobs that need this one.
func (l *Leader) end(now time.Time, j *job, state jobState, queue *records.Queue) {
	j.state, j.endedAt = state, now
	j.ready = nil
	delete(l.unsavedCompletions, j)
	delete(l.live, j)
	l.countOver(j)
	f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: int32(j.done.Len())}
	if state == jobCancelled {
		f.Outcome = records.OutcomeCancelled
		for _, need := range j.DependsOn {
			l.scheduleCriticalPath(l.jobs[need])
		}
	}
	queue.Put(records.FinalStateKey(j.ID), f.Encode(), func() {
		l.finals[j.ID] = f
		l.countUnfinished(j.Team, -j.Tasks)
		j.endDurable = true
		l.notifyDependents(j.ID, f)
		j.notifyWaiters(true)
		l.removeIfFinished(j)
	})
}

// removeIfFinished drops the record of an ended job once none of its tasks may be on a
// machine: until then its team, zone and size are needed for the counts.
func (l *Leader) removeIfFinished(j *job) {
	if !j.endDurable || j.allocatedTasks > 0 || l.jobs[j.ID] != j {
		return
	}
	delete(l.jobs, j.ID)
	delete(l.unsavedCompletions, j)
	l.writes.Background.Delete(records.JobKey(j.ID))
	for _, key := range slices.Sorted(maps.Keys(j.keys)) {
		l.writes.Background.Delete(key)
	}
}

// taskDone notes a completion; it is written soon and told only afterwards.
func (l *Leader) taskDone(now time.Time, j *job, index int32) {
	if !j.done.Add(int(index)) {
		return
	}
	l.changed = true
	l.countDone(j, index)
	if j.state != jobActive {
		return
	}
	if j.done.Full() {
		l.logIfLate(now, j)
		l.end(now, j, jobDone, &l.writes.Interactive)
		return
	}
	j.chunks[int(index)/records.CompletionChunk(l.valueLimit())] = true
	if _, ok := l.unsavedCompletions[j]; !ok {
		l.unsavedCompletions[j] = now
	}
}

// logIfLate tells what a job that is done after its deadline has spent its time on.
func (l *Leader) logIfLate(now time.Time, j *job) {
	if j.DeadlineS == nil || now.Sub(j.submitted).Seconds() <= *j.DeadlineS {
		return
	}
	l.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.submitted).Seconds()).
		Float64("first_start_s", j.firstStartAt.Sub(j.submitted).Seconds()).
		Float64("last_start_s", j.lastStartAt.Sub(j.submitted).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_s", l.runTimes.estimate(j)).
		Int("interrupted", len(j.progress)).Int("failures", j.failures).Msg("deadline missed")
}

// flushDone queues the writes of completions that have waited long enough.
func (l *Leader) flushDone(now time.Time) {
	var due []*job
	for j, since := range l.unsavedCompletions {
		if now.Sub(since) >= tuning.CompletionFlushDelay {
			due = append(due, j)
		}
	}
	sortByID(due)
	for _, j := range due {
		delete(l.unsavedCompletions, j)
		ks := make([]int, 0, len(j.chunks))
		for k := range j.chunks {
			ks = append(ks, k)
		}
		sort.Ints(ks)
		for _, k := range ks {
			rec := records.NewCompletions(j.ID, j.done, k, l.valueLimit())
			j.keys[rec.Key] = true
			l.writes.Background.Put(rec.Key, rec.Encode(), func() { l.markDurable(j, rec.Tasks) })
		}
		clear(j.chunks)
	}
}

// markDurable marks attempts whose completion is stored: they may be forgotten.
func (l *Leader) markDurable(j *job, covered string) {
	_ = intervals.Each(covered, j.Tasks, func(i int) {
		if j.durable == nil {
			j.durable = intervals.New(j.Tasks)
		}
		j.durable.Add(i)
	})
}

// isDurable reports whether the completion of a task is stored.
func (j *job) isDurable(index int32) bool {
	return j.endDurable || j.durable != nil && j.durable.Has(int(index))
}
