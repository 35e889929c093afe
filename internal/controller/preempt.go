package controller

import (
	"math"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
)

// victim is a running task that could make room.
type victim struct {
	*attempt
	lostS float64 // progress lost, and what its job loses by the wait
}

// unsavedProgress is the progress in seconds that stopping an attempt which saves
// checkpoints throws away: all since the last one.
func unsavedProgress(now time.Time, a *attempt) float64 {
	return math.Mod(now.Sub(a.runningAt).Seconds(), a.job.CheckpointS)
}

// endsSoon reports whether an attempt is about to end by its estimate. One
// that is over its estimate may go on for long: waiting for it is no plan.
func (c *Controller) endsSoon(now time.Time, a *attempt) bool {
	left := c.remaining(now, a)
	return a.state == running && left > 0 && left < tuning.PreemptPatience.Seconds()
}

// preempt makes room for tasks that found none: it stops tasks of a lower
// priority that lose little by it.
func (c *Controller) preempt(now time.Time, ready []*sched.Ready, byID map[string]*job) {
	waiting := waitingByLevel(ready, byID)
	lowest := c.lowestStoppable()
	if len(waiting) == 0 || waiting[0].Level >= lowest {
		return
	}
	p := c.newPreemption(now)
	for _, r := range waiting {
		if r.Level >= lowest {
			break
		}
		p.makeRoom(r, byID[r.Job])
	}
	if p.stops > 0 {
		c.log.Debug().Int("tasks", p.stops).Msg("preempted")
	}
}

// waitingByLevel are the jobs with tasks that found no room, highest priority first.
func waitingByLevel(ready []*sched.Ready, byID map[string]*job) []*sched.Ready {
	var waiting []*sched.Ready
	for _, r := range ready {
		if j := byID[r.Job]; len(j.ready) > 0 && j.failures == 0 {
			waiting = append(waiting, r)
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].Level < waiting[k].Level })
	return waiting
}

// lowestStoppable is the lowest priority of the running jobs that save checkpoints.
func (c *Controller) lowestStoppable() int {
	lowest := 0
	for j := range c.live {
		if j.running > 0 && j.CheckpointS > 0 {
			lowest = max(lowest, j.level)
		}
	}
	return lowest
}

// preemption is one look for room that stopping tasks could make.
type preemption struct {
	*Controller
	now time.Time
	// coming is the room of each machine once stopping and soon-ending tasks have left.
	coming map[*machine]sched.Resources
	// leaving are the CPUs of these tasks, by team.
	leaving map[string]float64
	// candidates are the tasks that may be stopped, those that lose least first.
	candidates map[*machine][]victim
	stops      int
	looks      int
}

func (c *Controller) newPreemption(now time.Time) *preemption {
	p := &preemption{
		Controller: c, now: now,
		coming: map[*machine]sched.Resources{}, leaving: map[string]float64{}, candidates: map[*machine][]victim{},
	}
	for _, m := range c.machinesByName {
		if c.acceptsWork(now, m) {
			p.addMachine(m)
		}
	}
	return p
}

func (p *preemption) addMachine(m *machine) {
	p.coming[m] = m.free
	for _, a := range m.attempts {
		switch {
		case a.stop, a.state == saving, p.endsSoon(p.now, a):
			p.leave(a, 1)
		case a.afterLongWait && p.now.Sub(a.orderedAt) < tuning.AgedRun:
			// Stopped at once, pass after pass, its job would never have begun.
		case a.state == running && a.job.CheckpointS > 0:
			p.addCandidate(a)
		}
	}
	list := p.candidates[m]
	sort.SliceStable(list, func(i, k int) bool { return list[i].lostS < list[k].lostS })
}

func (p *preemption) addCandidate(a *attempt) {
	loss := unsavedProgress(p.now, a)
	if loss > tuning.PreemptLoss.Seconds() {
		return
	}
	if len(a.job.ready) == 0 {
		// Others of its job don't wait: the job would end later.
		loss += tuning.PreemptDelay.Seconds()
	}
	p.candidates[a.machine] = append(p.candidates[a.machine], victim{a, loss})
}

// leave counts an attempt as about to leave its machine, or, with -1, no more.
func (p *preemption) leave(a *attempt, sign float64) {
	p.coming[a.machine] = p.coming[a.machine].Add(a.job.need, sign)
	p.leaving[a.job.Team] += a.job.CPUs * sign
}

func (p *preemption) stop(v victim) {
	v.stop, v.grace = true, 0
	p.leave(v.attempt, 1)
	p.stops++
	p.scheduleCall(v.machine)
}

func (p *preemption) undoStops(victims []victim) {
	for _, v := range victims {
		v.stop = false
		p.leave(v.attempt, -1)
		p.stops--
	}
}

// makeRoom stops tasks for as many waiting tasks of the job as it finds room for.
func (p *preemption) makeRoom(r *sched.Ready, j *job) {
	t := p.teams[j.Team]
	if t == nil {
		return
	}
	for range j.ready {
		p.looks++
		if p.stops >= tuning.PreemptStops || p.looks > tuning.PreemptLooks || !p.makeRoomForOne(r, j, t) {
			return
		}
	}
}

// makeRoomForOne is false if there is no room to be made for a task of the job.
func (p *preemption) makeRoomForOne(r *sched.Ready, j *job, t *team) bool {
	own, ok := p.makeRoomWithinLimit(r, j, t)
	if !ok {
		return false
	}
	best, victims := p.cheapestRoom(r)
	if best == nil {
		// No machine would have it even then: stopping for nothing, pass
		// after pass, would keep the team's other work from ever ending.
		p.undoStops(own)
		return false
	}
	for _, v := range victims {
		p.stop(v)
	}
	if len(victims) > 0 {
		best.reserve(p.now, r.Level)
	}
	p.coming[best] = p.coming[best].Add(j.need, -1)
	p.leaving[j.Team] -= j.CPUs
	return true
}

// makeRoomWithinLimit stops tasks of the job's own team, as only they can make way where
// the team is at its limit, until another task of the job fits: all that it takes or none.
// One that is too small, stopped pass after pass, would never end, and the larger one
// would not begin either.
func (p *preemption) makeRoomWithinLimit(r *sched.Ready, j *job, t *team) ([]victim, bool) {
	var own []victim
	for t.CPUsMax-t.used.CPUs+p.leaving[j.Team] < j.CPUs {
		v, ok := p.ownVictim(r)
		if !ok {
			p.undoStops(own)
			return nil, false
		}
		p.stop(v)
		own = append(own, v)
	}
	return own, true
}

// reserve keeps the room that comes free on a machine, for a moment, from work of a lower
// priority. The stopped tasks leave one by one: the first room would otherwise go to what
// was stopped, which then had to be stopped again, and the task that it all was for would
// not start either.
func (m *machine) reserve(now time.Time, level int) {
	if !now.Before(m.reservedUntil) || level < m.reservedLevel {
		m.reservedLevel = level
	}
	m.reservedUntil = now.Add(tuning.PreemptReserve)
}

// ownVictim finds the task of the job's own team that loses least.
func (p *preemption) ownVictim(r *sched.Ready) (victim, bool) {
	var best victim
	found := false
	for _, m := range p.machinesByName {
		for _, v := range p.candidates[m] {
			if v.job.Team == r.Team && v.job.level > r.Level && !v.stop && (!found || v.lostS < best.lostS) {
				best, found = v, true
			}
		}
	}
	return best, found
}

// fetchTime is T(f) of the job's image on the machine.
func (c *Controller) fetchTime(m *machine, r *sched.Ready) float64 {
	if _, cached := m.images[r.Image]; cached {
		return 0
	}
	return sched.FetchTime(r.ImageGB, c.types[m.machineType].FetchGBPerS)
}

// cheapestRoom finds the machine that can make room for one task at the least
// loss, and whom to stop there; no one, if room is coming anyway.
func (p *preemption) cheapestRoom(r *sched.Ready) (*machine, []victim) {
	var best *machine
	var victims []victim
	least := math.Inf(1)
	for _, m := range p.machinesByName {
		room, ok := p.coming[m]
		if !ok || m.avoid[r.Job] || !r.Allowed(m.placement()) {
			continue
		}
		if room.Fits(r.Need) {
			return m, nil
		}
		// A start on a machine without the image is late all the same.
		var chosen []victim
		sum := p.fetchTime(m, r) * r.Need.CPUs * tuning.PreemptFetchWeight
		for _, v := range p.candidates[m] {
			if v.stop || v.job.level <= r.Level {
				continue
			}
			chosen = append(chosen, v)
			sum += v.lostS * v.job.CPUs
			if room = room.Add(v.job.need, 1); room.Fits(r.Need) {
				if sum < least {
					best, victims, least = m, chosen, sum
				}
				break
			}
		}
	}
	return best, victims
}
