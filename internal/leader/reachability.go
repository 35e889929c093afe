package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// updateReachability looks at which machines known to be up can be heard. It notes the zones
// that seem to be cut off: most of their machines are missed, while those
// elsewhere are heard; what is rented there could not report. It returns whether
// many others are missed, too: then it must be this node that has lost them, or
// has not got round to their reports yet after a succession.
func (l *Leader) updateReachability(now time.Time) (lost bool) {
	zones := map[string]*heartbeatCount{}
	all := &heartbeatCount{}
	for _, m := range l.machines.All() {
		if !m.Joined {
			continue
		}
		if zones[m.Zone] == nil {
			zones[m.Zone] = &heartbeatCount{}
		}
		missed := m.IsUnreachable(now, &l.timing)
		zones[m.Zone].count(missed)
		all.count(missed)
	}
	rest := *all
	for zone, z := range zones {
		others := heartbeatCount{all.known - z.known, all.missing - z.missing}
		switch {
		case z.missing >= tuning.PartitionedMachines && z.share() <= tuning.PartitionedShare && others.share() >= tuning.ReachableShare:
			// Those missed may be released before long.
			l.partitionedZones[zone] = now.Add(l.timing.LeaseExpiry)
			rest.known -= z.known
			rest.missing -= z.missing
		case z.known > z.missing:
			delete(l.partitionedZones, zone)
		}
	}
	return rest.known > 0 && rest.share() < tuning.ReachableShare
}

// heartbeatCount counts machines known to be up and those of them that are missed.
type heartbeatCount struct{ known, missing int }

func (h *heartbeatCount) count(missed bool) {
	h.known++
	if missed {
		h.missing++
	}
}

// share is the part that is heard, 0 of none.
func (h *heartbeatCount) share() float64 {
	return float64(h.known-h.missing) / float64(max(h.known, 1))
}

// holdsUrgentWork reports whether a machine that is missed may hold work that would be
// late once its lease has run out, but not if it could start elsewhere now: the
// release proves it gone. Silence mostly outlasts the lease, and then the work
// on the machine is lost in any case. A successor would wait longest, as its
// predecessor may be cut off together with the machine and go on answering it.
func (l *Leader) holdsUrgentWork(now time.Time, m *machines.Machine) bool {
	if m.Releasing || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	ends := m.LeaseEnd(&l.timing)
	return slices.ContainsFunc(m.Attempts, func(a *machines.Attempt) bool {
		slack, ok := l.runTimes.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < ends.Sub(now).Seconds() && a.IsWanted()
	})
}
