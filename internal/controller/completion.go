package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/ranges"
	"switchshore.example/switchshore/internal/tuning"
)

// end decides how a job ends and writes its final state; only then is it told
// to anyone, and followed by what it means for the jobs that need this one.
func (c *Controller) end(now time.Time, j *job, state jobState, queue *writeQueue) {
	j.state, j.endedAt = state, now
	j.ready = nil
	delete(c.unsavedCompletions, j)
	delete(c.live, j)
	c.countOver(j)
	f := final{finalDone, int32(j.done.Len())}
	if state == jobCancelled {
		f.how = finalCancelled
		for _, need := range j.Needs {
			c.scheduleCriticalPath(c.jobs[need])
		}
	}
	queue.put(keyFinal(j.ID), f.value(), func() {
		c.finals[j.ID] = f
		c.countUnfinished(j.Team, -j.Tasks)
		j.ended = true
		c.notifyDependents(j.ID, f)
		j.tellWaiting(true)
		c.tidy(j)
	})
}

// tidy drops the record of an ended job once none of its tasks may be on a
// machine: until then its team, zone and size are needed for the counts.
func (c *Controller) tidy(j *job) {
	if !j.ended || j.held > 0 || c.jobs[j.ID] != j {
		return
	}
	delete(c.jobs, j.ID)
	delete(c.unsavedCompletions, j)
	c.backgroundWrites.del(keyJob(j.ID))
	for _, key := range slices.Sorted(maps.Keys(j.keys)) {
		c.backgroundWrites.del(key)
	}
}

// taskDone notes a completion; it is written soon and told only afterwards.
func (c *Controller) taskDone(now time.Time, j *job, index int32) {
	if !j.done.Add(int(index)) {
		return
	}
	c.changed = true
	c.countDone(j, index)
	if j.state != jobActive {
		return
	}
	if j.done.Full() {
		c.logIfLate(now, j)
		c.end(now, j, jobDone, &c.interactiveWrites)
		return
	}
	j.chunks[int(index)/c.doneChunk()] = true
	if _, ok := c.unsavedCompletions[j]; !ok {
		c.unsavedCompletions[j] = now
	}
}

// logIfLate tells what a job that is done after its deadline has spent its time on.
func (c *Controller) logIfLate(now time.Time, j *job) {
	if j.DeadlineS == nil || now.Sub(j.submitted).Seconds() <= *j.DeadlineS {
		return
	}
	c.log.Debug().Str("job", j.ID).Str("class", j.Class).Str("team", j.Team).Int("tasks", j.Tasks).
		Float64("deadline_s", *j.DeadlineS).Float64("done_s", now.Sub(j.submitted).Seconds()).
		Float64("first_start_s", j.firstStartAt.Sub(j.submitted).Seconds()).
		Float64("last_start_s", j.lastStartAt.Sub(j.submitted).Seconds()).
		Float64("estimate_s", j.EstimateS).Float64("corrected_s", c.runTimes.estimate(j)).
		Int("interrupted", len(j.progress)).Int("failures", j.failures).Msg("deadline missed")
}

// flushDone queues the writes of completions that have waited long enough.
func (c *Controller) flushDone(now time.Time) {
	var due []*job
	for j, since := range c.unsavedCompletions {
		if now.Sub(since) >= tuning.DoneFlush {
			due = append(due, j)
		}
	}
	sortByID(due)
	for _, j := range due {
		delete(c.unsavedCompletions, j)
		ks := make([]int, 0, len(j.chunks))
		for k := range j.chunks {
			ks = append(ks, k)
		}
		sort.Ints(ks)
		for _, k := range ks {
			key, text := c.doneRecord(j, k)
			value, _ := json.Marshal(text)
			j.keys[key] = true
			c.backgroundWrites.put(key, value, func() { c.durable(j, text) })
		}
		clear(j.chunks)
	}
}

// durable marks attempts whose completion is stored: they may be forgotten.
func (c *Controller) durable(j *job, covered string) {
	_ = ranges.Each(covered, j.Tasks, func(i int) {
		if j.durable == nil {
			j.durable = ranges.New(j.Tasks)
		}
		j.durable.Add(i)
	})
}

// isDurable reports whether the completion of a task is stored.
func (j *job) isDurable(index int32) bool {
	return j.ended || j.durable != nil && j.durable.Has(int(index))
}
