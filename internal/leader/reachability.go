package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// updateReachability counts the machines known to be up whose heartbeats are missing. It notes
// the zones that seem to be partitioned: most of their machines are unreachable, while those
// elsewhere are not; what is provisioned there could not report. It returns whether
// many others are unreachable, too: then this node must have lost them, or
// has not yet applied their heartbeats after a failover.
func (l *Leader) updateReachability(now time.Time) (lost bool) {
	zones := map[string]*heartbeatCount{}
	all := &heartbeatCount{}
	for _, m := range l.machines.All() {
		if !m.HasJoined() {
			continue
		}
		if zones[m.Zone] == nil {
			zones[m.Zone] = &heartbeatCount{}
		}
		missing := m.IsUnreachable(now, &l.timing)
		zones[m.Zone].count(missing)
		all.count(missing)
	}
	rest := *all
	for zone, z := range zones {
		others := heartbeatCount{known: all.known - z.known, missing: all.missing - z.missing}
		switch {
		case z.missing >= tuning.PartitionedMachines && z.share() <= tuning.PartitionedShare && others.share() >= tuning.ReachableShare:
			// Its unreachable machines may be released before long.
			l.partitionedZones[zone] = now.Add(l.timing.LeaseExpiry)
			rest.known -= z.known
			rest.missing -= z.missing
		case z.known > z.missing:
			delete(l.partitionedZones, zone)
		}
	}
	return rest.known > 0 && rest.share() < tuning.ReachableShare
}

// heartbeatCount counts machines known to be up and those of them that are unreachable.
type heartbeatCount struct{ known, missing int }

func (h *heartbeatCount) count(missing bool) {
	h.known++
	if missing {
		h.missing++
	}
}

// share is the part that is reachable, 0 of none.
func (h *heartbeatCount) share() float64 {
	return float64(h.known-h.missing) / float64(max(h.known, 1))
}

// hasUrgentWork reports whether an unreachable machine may have work that would be
// late once its lease has expired, but not if it could start elsewhere now: the
// release proves that the work has ended. Most gaps in heartbeats outlast the lease, and then
// the work on the machine is lost in any case. A new leader would wait longest, as its
// predecessor may be cut off together with the machine and go on answering it.
func (l *Leader) hasUrgentWork(now time.Time, m *machines.Machine) bool {
	if m.IsReleasing() || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	ends := m.LeaseEnd(&l.timing)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		slack, ok := l.runTimes.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < ends.Sub(now).Seconds() && a.IsWanted()
	})
}
