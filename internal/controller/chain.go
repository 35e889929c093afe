package controller

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Chained jobs. What a job that needs others waits for follows from the final
// states of those, and from nothing else: a successor finds the same, and a
// leader that dies between a final state and what it means for other jobs
// leaves nothing half done. Only jobs that were accepted before can be named,
// so no job can need itself, directly or through others.

// path is what the jobs that need a job, through any number of steps, expect of
// it: the deadline of the last one of the tightest path, less the estimated time
// of what lies between.
type path struct {
	last *job // whose deadline it is; nil if there is none
	due  time.Time
	left time.Duration // what lies between
}

// unknownNeed tells a status and a reason if a job names one that was not
// accepted, or of which that is not decided.
func (c *Controller) unknownNeed(spec *wire.Job) (int, string) {
	for _, id := range spec.Needs {
		if _, ended := c.finals[id]; ended {
			continue
		}
		switch j := c.jobs[id]; {
		case j == nil:
			return 422, fmt.Sprintf("awaits %.*s, which was never accepted", wire.MaxIDLength, id)
		case !j.stored:
			return 503, "awaits " + id + ", which is being accepted"
		}
	}
	return 0, ""
}

// link counts what a job waits for, and notes it with the jobs it needs.
func (c *Controller) link(j *job) {
	for _, id := range j.Needs {
		f, ended := c.finals[id]
		switch {
		case !ended:
			j.open++
			c.dependents[id] = append(c.dependents[id], j)
		case f.how == finalCancelled:
			j.doomed = true
		}
	}
}

// settle lets a final state take effect on the jobs that need the one that is
// over: step by step, as there may be thousands.
func (c *Controller) settle(id string, f final) {
	list := c.dependents[id]
	delete(c.dependents, id)
	if f.how == finalCancelled {
		c.doomed = append(c.doomed, list...)
	} else {
		c.freed = append(c.freed, list...)
	}
}

// follow takes some of the steps that final states ask for.
func (c *Controller) follow(now time.Time) {
	steps := tuning.ChainSteps
	for ; steps > 0 && len(c.doomed) > 0; steps-- {
		j := c.doomed[0]
		c.doomed = c.doomed[1:]
		c.doom(now, j)
	}
	for ; steps > 0 && len(c.freed) > 0; steps-- {
		j := c.freed[0]
		c.freed = c.freed[1:]
		if j.open--; j.open == 0 {
			j.since, j.startAt = now, now
			c.begin(now, j)
		}
	}
	for ; steps > 0 && len(c.reweighed) > 0; steps-- {
		j := c.reweighed[0]
		c.reweighed = c.reweighed[1:]
		j.inLine = false
		if c.weigh(j) {
			for _, id := range j.Needs {
				c.reweighSoon(c.jobs[id])
			}
		}
	}
}

// doom cancels a job that needs one that was cancelled; those that need it
// follow at once, as the first cancellation is durable.
func (c *Controller) doom(now time.Time, j *job) {
	if j.state == jobCancelled || j.state == jobDone {
		return
	}
	j.doomed = true
	queue := &c.chain
	if !j.stored {
		queue = &c.urgent // behind the acceptance; its user hears of both at once
	}
	c.end(now, j, jobCancelled, queue)
	c.settle(j.ID, final{how: finalCancelled})
}

// begin lets a job that is stored take its turn, unless it waits for others.
func (c *Controller) begin(now time.Time, j *job) {
	switch {
	case j.state != jobActive:
	case j.doomed:
		c.doomed = append(c.doomed, j)
	case j.open == 0:
		c.live[j] = struct{}{}
		j.fillReady()
		c.flowIn(now, j)
		c.changed = true
	}
}

// own is a job's priority and path as if no other job needed it.
func (j *job) own() (int, path) {
	p := path{}
	if j.DeadlineS != nil {
		p = path{last: j, due: j.submitted.Add(seconds(*j.DeadlineS))}
	}
	return wire.Level(j.Priority), p
}

// weigh derives what is expected of a job from the jobs that need it, and
// reports whether that has changed.
func (c *Controller) weigh(j *job) bool {
	if j.tangled {
		return false
	}
	level, p := j.own()
	for _, d := range c.dependents[j.ID] {
		if d.state == jobCancelled {
			continue
		}
		level = min(level, d.level)
		if d.path.last == nil {
			continue
		}
		takes := c.stage(d)
		if due := d.path.due.Add(-takes); p.last == nil || due.Before(p.due) {
			p = path{d.path.last, due, d.path.left + takes}
		}
	}
	changed := level != j.level || p != j.path
	j.level, j.path = level, p
	c.changed = c.changed || changed
	return changed
}

// reweighSoon notes that what others expect of a job may have changed.
func (c *Controller) reweighSoon(j *job) {
	if j != nil && !j.inLine && !j.ended {
		j.inLine = true
		c.reweighed = append(c.reweighed, j)
	}
}

// stage is the time that a job takes once the jobs that it needs are done, by
// its estimate.
func (c *Controller) stage(j *job) time.Duration {
	rate := 0.0
	for _, t := range c.offers {
		rate = max(rate, t.FetchGBPerS)
	}
	takes := c.estimate(j)
	if rate > 0 {
		takes += sched.FetchTime(j.ImageGB, rate)
	}
	return seconds(takes) + tuning.StageDelay
}

// linkAll derives, from the records that were loaded, what every job waits for
// and what is expected of it: last stages first, so that each is weighed once.
func (c *Controller) linkAll(jobs []*job) {
	for _, j := range jobs {
		if !j.ended {
			c.link(j)
		}
	}
	var last []*job
	after := map[*job]int{}
	for _, j := range jobs {
		if after[j] = len(c.dependents[j.ID]); after[j] == 0 {
			last = append(last, j)
		}
	}
	for len(last) > 0 {
		j := last[len(last)-1]
		last = last[:len(last)-1]
		delete(after, j)
		c.weigh(j)
		for _, id := range j.Needs {
			need := c.jobs[id]
			switch {
			case j.ended:
			case need == nil:
				if _, ended := c.finals[id]; !ended {
					c.log.Error().Str("key", keyJob(j.ID)).Str("awaits", id).Msg("damaged record: waits for a job without a record")
				}
			case !need.ended:
				if after[need]--; after[need] == 0 {
					last = append(last, need)
				}
			}
		}
	}
	// What is left needs itself, or is needed by one that does: records that
	// can't be right. Those jobs wait, and can be cancelled.
	for j := range after {
		j.tangled = true
		c.log.Error().Str("key", keyJob(j.ID)).Msg("damaged records: a circle of jobs that wait for each other, or needed by one")
	}
}
