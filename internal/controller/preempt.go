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

// lost is the progress in seconds that stopping an attempt which saves
// checkpoints throws away: all since the last one.
func lost(now time.Time, a *attempt) float64 {
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
	var waiting []*sched.Ready
	lowest := 0
	for _, r := range ready {
		j := byID[r.Job]
		if len(j.ready) > 0 && j.failures == 0 {
			waiting = append(waiting, r)
		}
	}
	if len(waiting) == 0 {
		return
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].Level < waiting[k].Level })
	for j := range c.live {
		if j.running > 0 && j.CheckpointS > 0 {
			lowest = max(lowest, j.level)
		}
	}
	if waiting[0].Level >= lowest {
		return
	}
	// Room that is coming: what stopping tasks leave, and soon-ending ones.
	coming := map[*machine]sched.Resources{}
	leaving := map[string]float64{} // CPUs of stopping tasks, by team
	candidates := map[*machine][]victim{}
	machines := c.order
	for _, m := range machines {
		if !c.open(now, m) {
			continue
		}
		coming[m] = m.free
		for _, a := range m.attempts {
			switch {
			case a.stop, a.state == saving, c.endsSoon(now, a):
				coming[m] = coming[m].Add(a.job.need, 1)
				leaving[a.job.Team] += a.job.CPUs
			case a.aged && now.Sub(a.orderedAt) < tuning.AgedRun:
				// Stopped at once, pass after pass, its job would never have begun.
			case a.state == running && a.job.CheckpointS > 0:
				if l := lost(now, a); l <= tuning.PreemptLoss.Seconds() {
					if len(a.job.ready) == 0 {
						// Others of its job don't wait: the job would end later.
						l += tuning.PreemptDelay.Seconds()
					}
					candidates[m] = append(candidates[m], victim{a, l})
				}
			}
		}
		sort.SliceStable(candidates[m], func(i, k int) bool { return candidates[m][i].lostS < candidates[m][k].lostS })
	}
	stops, looks := 0, 0
	stop := func(v victim) {
		v.stop, v.grace = true, 0
		coming[v.machine] = coming[v.machine].Add(v.job.need, 1)
		leaving[v.job.Team] += v.job.CPUs
		stops++
		c.callSoon(v.machine)
	}
	spare := func(v victim) {
		v.stop = false
		coming[v.machine] = coming[v.machine].Add(v.job.need, -1)
		leaving[v.job.Team] -= v.job.CPUs
		stops--
	}
	for _, r := range waiting {
		j := byID[r.Job]
		t := c.teams[j.Team]
		if t == nil || r.Level >= lowest {
			continue
		}
		for range j.ready {
			if looks++; stops >= tuning.PreemptStops || looks > tuning.PreemptLooks {
				break
			}
			var own victim
			limited := t.CPUsMax-t.used.CPUs+leaving[j.Team] < j.CPUs
			if limited {
				// The team is at its limit: only its own tasks can make way.
				var ok bool
				if own, ok = ownVictim(r, machines, candidates); !ok {
					break
				}
				stop(own)
			}
			best, victims := c.cheapestRoom(r, machines, coming, candidates)
			if best == nil {
				// No machine would have it even then: stopping for nothing, pass
				// after pass, would keep the team's other work from ever ending.
				if limited {
					spare(own)
				}
				break
			}
			for _, v := range victims {
				stop(v)
			}
			if len(victims) > 0 {
				best.reserve(now, r.Level)
			}
			coming[best] = coming[best].Add(j.need, -1)
			leaving[j.Team] -= j.CPUs
		}
	}
	if stops > 0 {
		c.log.Debug().Int("tasks", stops).Msg("preempted")
	}
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
func ownVictim(r *sched.Ready, machines []*machine, candidates map[*machine][]victim) (victim, bool) {
	var best victim
	found := false
	for _, m := range machines {
		for _, v := range candidates[m] {
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
	return sched.FetchTime(r.ImageGB, c.types[m.typ].FetchGBPerS)
}

// cheapestRoom finds the machine that can make room for one task at the least
// loss, and whom to stop there; no one, if room is coming anyway.
func (c *Controller) cheapestRoom(r *sched.Ready, machines []*machine, coming map[*machine]sched.Resources, candidates map[*machine][]victim) (*machine, []victim) {
	var best *machine
	var victims []victim
	least := math.Inf(1)
	for _, m := range machines {
		room, ok := coming[m]
		if !ok || m.avoid[r.Job] || !r.Allowed(m.place()) {
			continue
		}
		if room.Fits(r.Need) {
			return m, nil
		}
		// A start on a machine without the image is late all the same.
		var chosen []victim
		sum := c.fetchTime(m, r) * r.Need.CPUs * tuning.PreemptFetchWeight
		for _, v := range candidates[m] {
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
