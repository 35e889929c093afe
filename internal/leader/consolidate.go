package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// consolidate empties machines whose tasks fit elsewhere and can take their
// progress along, so that the machines can be returned: in a lull each would
// otherwise stay for its longest task, mostly empty. Their tasks save, stop and
// are placed again by the rule.
func (l *Leader) consolidate(now time.Time) {
	if now.Sub(l.lastConsolidation) < tuning.ConsolidateInterval {
		return
	}
	l.lastConsolidation = now
	movable, others := l.byMovability(now)
	if len(movable) < 2 {
		return
	}
	// The dearest and emptiest go first, into the fullest of the others.
	slices.SortStableFunc(movable, func(a, b *machine) int {
		return cmp.Or(-cmp.Compare(l.price(a), l.price(b)), -cmp.Compare(a.free.CPUs/a.total.CPUs, b.free.CPUs/b.total.CPUs))
	})
	room := map[*machine]placement.Resources{}
	targets := slices.Concat(movable, others)
	for _, m := range targets {
		room[m] = m.free
	}
	l.keepRoomForReady(targets, room)
	moves := 0
	for i, m := range movable {
		if moves >= max(1, len(l.machinesByName)/tuning.ConsolidateParts) {
			break
		}
		if room[m] != m.free {
			continue // it has got or will get work
		}
		if moveAll(m, slices.Concat(others, movable[i+1:]), room) {
			moves++
			l.empty(m)
		}
	}
	if moves > 0 {
		l.log.Debug().Int("machines", moves).Msg("consolidating machines")
	}
}

// byMovability divides the machines that take work into those that may be emptied and
// the others.
func (l *Leader) byMovability(now time.Time) (movable, others []*machine) {
	for _, m := range l.machinesByName {
		switch {
		case !l.acceptsWork(now, m):
		case l.movable(now, m):
			movable = append(movable, m)
		default:
			others = append(others, m)
		}
	}
	return movable, others
}

// keepRoomForReady takes the room of the work that waits: it goes before tasks that run
// already.
func (l *Leader) keepRoomForReady(targets []*machine, room map[*machine]placement.Resources) {
	for _, j := range l.activeJobs() {
		rest := targets // room only shrinks here: what has none for one has none for the next
		for range j.ready {
			i := roomFor(j, rest, room)
			if i < 0 {
				break
			}
			rest = rest[i:]
			room[rest[0]] = room[rest[0]].Add(j.request, -1)
		}
	}
}

// moveAll takes room for all tasks of a machine on others, the fullest first, or none.
func moveAll(m *machine, targets []*machine, room map[*machine]placement.Resources) bool {
	slices.SortStableFunc(targets, func(a, b *machine) int { return cmp.Compare(room[a].CPUs, room[b].CPUs) })
	to := make([]*machine, 0, len(m.attempts))
	for _, a := range m.attempts {
		i := roomFor(a.job, targets, room)
		if i < 0 {
			for k, t := range to {
				room[t] = room[t].Add(m.attempts[k].job.request, 1)
			}
			return false
		}
		t := targets[i]
		room[t] = room[t].Add(a.job.request, -1)
		to = append(to, t)
	}
	return true
}

// empty lets the tasks of a machine save and stop; it takes no more work.
func (l *Leader) empty(m *machine) {
	m.cordon(cordonConsolidated)
	for _, a := range m.attempts {
		a.stopping, a.gracePeriodS = true, a.job.CheckpointSaveS
	}
	l.scheduleCall(m)
}

// movable reports whether all tasks of the machine can take their progress
// along, and whether moving them is worth it: the machine is at most half used
// and would stay for long, and none of the tasks has just begun.
func (l *Leader) movable(now time.Time, m *machine) bool {
	if len(m.attempts) == 0 || m.free.CPUs < m.total.CPUs/2 || now.Sub(m.provisionedAt) < tuning.MinimumBillingTime {
		return false
	}
	lasts := 0.0
	for _, a := range m.attempts {
		if a.state != stateRunning || a.stopping || a.job.CheckpointIntervalS <= 0 || now.Sub(a.runningAt) < tuning.ConsolidateMinRunTime {
			return false
		}
		// A task over its estimate goes on for about as long again as it is old,
		// as far as anyone can tell; a quarter is taken.
		lasts = max(lasts, l.remaining(now, a), now.Sub(a.runningAt).Seconds()/4)
	}
	return lasts >= tuning.ConsolidateMinStay.Seconds()
}

// roomFor finds the first machine that may take a task of the job and has
// room for it, or returns -1.
func roomFor(j *job, targets []*machine, room map[*machine]placement.Resources) int {
	probe := j.constraints()
	return slices.IndexFunc(targets, func(m *machine) bool {
		return room[m].Fits(j.request) && !m.avoidedJobs[j.ID] && probe.Allowed(m.placement())
	})
}
