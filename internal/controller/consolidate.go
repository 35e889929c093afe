package controller

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
)

// consolidate empties machines whose tasks fit elsewhere and can take their
// progress along, so that the machines can be returned: in a lull each would
// otherwise stay for its longest task, mostly empty. Their tasks save, stop and
// are placed again by the rule.
func (c *Controller) consolidate(now time.Time) {
	if now.Sub(c.lastConsolidation) < tuning.MoveEvery {
		return
	}
	c.lastConsolidation = now
	movable, others := c.byMovability(now)
	if len(movable) < 2 {
		return
	}
	// The dearest and emptiest go first, into the fullest of the others.
	slices.SortStableFunc(movable, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(c.price(a), c.price(b)), -cmp.Compare(a.free.CPUs/a.total.CPUs, b.free.CPUs/b.total.CPUs))
	})
	room := map[*machine]sched.Resources{}
	targets := slices.Concat(movable, others)
	for _, m := range targets {
		room[m] = m.free
	}
	c.keepRoomForReady(targets, room)
	moves := 0
	for i, m := range movable {
		if moves >= max(1, len(c.machinesByName)/tuning.MoveParts) {
			break
		}
		if room[m] != m.free {
			continue // it has got or will get work
		}
		if moveAll(m, slices.Concat(others, movable[i+1:]), room) {
			moves++
			c.empty(m)
		}
	}
	if moves > 0 {
		c.log.Debug().Int("machines", moves).Msg("consolidating")
	}
}

// byMovability divides the machines that take work into those that may be emptied and
// the others.
func (c *Controller) byMovability(now time.Time) (movable, others []*machine) {
	for _, m := range c.machinesByName {
		switch {
		case !c.acceptsWork(now, m):
		case c.movable(now, m):
			movable = append(movable, m)
		default:
			others = append(others, m)
		}
	}
	return movable, others
}

// keepRoomForReady takes the room of the work that waits: it goes before tasks that run
// already.
func (c *Controller) keepRoomForReady(targets []*machine, room map[*machine]sched.Resources) {
	for _, j := range c.activeJobs() {
		rest := targets // room only shrinks here: what has none for one has none for the next
		for range j.ready {
			i := roomFor(j, rest, room)
			if i < 0 {
				break
			}
			rest = rest[i:]
			room[rest[0]] = room[rest[0]].Add(j.need, -1)
		}
	}
}

// moveAll takes room for all tasks of a machine on others, the fullest first, or none.
func moveAll(m *machine, targets []*machine, room map[*machine]sched.Resources) bool {
	slices.SortStableFunc(targets, func(a, b *machine) int { return cmp.Compare(room[a].CPUs, room[b].CPUs) })
	to := make([]*machine, 0, len(m.attempts))
	for _, a := range m.attempts {
		i := roomFor(a.job, targets, room)
		if i < 0 {
			for k, t := range to {
				room[t] = room[t].Add(m.attempts[k].job.need, 1)
			}
			return false
		}
		t := targets[i]
		room[t] = room[t].Add(a.job.need, -1)
		to = append(to, t)
	}
	return true
}

// empty lets the tasks of a machine save and stop; it takes no more work.
func (c *Controller) empty(m *machine) {
	m.cordon(consolidated)
	for _, a := range m.attempts {
		a.stop, a.grace = true, a.job.SaveS
	}
	c.scheduleCall(m)
}

// movable reports whether all tasks of the machine can take their progress
// along, and whether moving them is worth it: the machine is at most half used
// and would stay for long, and none of the tasks has just begun.
func (c *Controller) movable(now time.Time, m *machine) bool {
	if len(m.attempts) == 0 || m.free.CPUs < m.total.CPUs/2 || now.Sub(m.rentedAt) < tuning.MinimumBill {
		return false
	}
	lasts := 0.0
	for _, a := range m.attempts {
		if a.state != running || a.stop || a.job.CheckpointS <= 0 || now.Sub(a.runningAt) < tuning.MoveAfter {
			return false
		}
		// A task over its estimate goes on for about as long again as it is old,
		// as far as anyone can tell; a quarter is taken.
		lasts = max(lasts, c.remaining(now, a), now.Sub(a.runningAt).Seconds()/4)
	}
	return lasts >= tuning.MoveWorth.Seconds()
}

// roomFor finds the first machine that may take a task of the job and has
// room for it, or returns -1.
func roomFor(j *job, targets []*machine, room map[*machine]sched.Resources) int {
	probe := j.constraints()
	return slices.IndexFunc(targets, func(m *machine) bool {
		return room[m].Fits(j.need) && !m.avoid[j.ID] && probe.Allowed(m.placement())
	})
}
