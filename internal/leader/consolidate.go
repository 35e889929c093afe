package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
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
	slices.SortStableFunc(movable, func(a, b *machines.Machine) int {
		return cmp.Or(-cmp.Compare(l.price(a), l.price(b)), -cmp.Compare(a.Free.CPUs/a.Total.CPUs, b.Free.CPUs/b.Total.CPUs))
	})
	room := map[*machines.Machine]placement.Resources{}
	targets := slices.Concat(movable, others)
	for _, m := range targets {
		room[m] = m.Free
	}
	l.keepRoomForReady(targets, room)
	moves := 0
	for i, m := range movable {
		if moves >= max(1, l.machines.Len()/tuning.ConsolidateDivisor) {
			break
		}
		if room[m] != m.Free {
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
func (l *Leader) byMovability(now time.Time) (movable, others []*machines.Machine) {
	for _, m := range l.machines.All() {
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
func (l *Leader) keepRoomForReady(targets []*machines.Machine, room map[*machines.Machine]placement.Resources) {
	for _, j := range l.activeJobs() {
		rest := targets // room only shrinks here: what has none for one has none for the next
		for range j.Ready {
			i := roomFor(j, rest, room)
			if i < 0 {
				break
			}
			rest = rest[i:]
			room[rest[0]] = room[rest[0]].Add(j.Request, -1)
		}
	}
}

// moveAll takes room for all tasks of a machine on others, the fullest first, or none.
func moveAll(m *machines.Machine, targets []*machines.Machine, room map[*machines.Machine]placement.Resources) bool {
	slices.SortStableFunc(targets, func(a, b *machines.Machine) int { return cmp.Compare(room[a].CPUs, room[b].CPUs) })
	to := make([]*machines.Machine, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		i := roomFor(a.Job, targets, room)
		if i < 0 {
			for k, t := range to {
				room[t] = room[t].Add(m.Attempts[k].Job.Request, 1)
			}
			return false
		}
		t := targets[i]
		room[t] = room[t].Add(a.Job.Request, -1)
		to = append(to, t)
	}
	return true
}

// empty lets the tasks of a machine save and stop; it takes no more work.
func (l *Leader) empty(m *machines.Machine) {
	m.Cordon(machines.CordonConsolidated)
	for _, a := range m.Attempts {
		a.Stopping, a.GracePeriodS = true, a.Job.CheckpointSaveS
	}
	l.scheduleCall(m)
}

// movable reports whether all tasks of the machine can take their progress
// along, and whether moving them is worth it: the machine is at most half used
// and would stay for long, and none of the tasks has just begun.
func (l *Leader) movable(now time.Time, m *machines.Machine) bool {
	if len(m.Attempts) == 0 || m.Free.CPUs < m.Total.CPUs/2 || now.Sub(m.ProvisionedAt) < tuning.MinimumBillingTime {
		return false
	}
	lasts := 0.0
	for _, a := range m.Attempts {
		if a.State != machines.Running || a.Stopping || a.Job.CheckpointIntervalS <= 0 || now.Sub(a.RunningAt) < tuning.ConsolidateMinRunTime {
			return false
		}
		// A task over its estimate goes on for about as long again as it is old,
		// as far as anyone can tell; a quarter is taken.
		lasts = max(lasts, l.remaining(now, a), now.Sub(a.RunningAt).Seconds()/4)
	}
	return lasts >= tuning.ConsolidateMinLifetime.Seconds()
}

// roomFor finds the first machine that may take a task of the job and has
// room for it, or returns -1.
func roomFor(j *jobs.Job, targets []*machines.Machine, room map[*machines.Machine]placement.Resources) int {
	probe := j.Constraints()
	return slices.IndexFunc(targets, func(m *machines.Machine) bool {
		return room[m].Fits(j.Request) && !m.AvoidedJobs[j.ID] && probe.Allowed(m.PlacementView())
	})
}
