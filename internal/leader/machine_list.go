package leader

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// machineLists tracks the cloud's machine lists.
type machineLists struct {
	appliedCount uint64
	// hasCurrent is true once a list that shows the state after the beginning of this term has been
	// applied. From then on, an unknown machine that a record names no longer exists.
	hasCurrent bool
}

// ApplyMachineList applies a complete list of the cloud's machines that was requested at
// requestedAt.
func (l *Leader) ApplyMachineList(requestedAt, now time.Time, list []wire.ListedMachine) {
	l.machineLists.appliedCount++
	l.machineLists.hasCurrent = l.machineLists.hasCurrent || requestedAt.Sub(l.timing.TermStart) > l.longestListLag()
	listed := make(map[string]bool, len(list))
	for i := range list {
		row := &list[i]
		listed[row.Name] = true
		if !l.machines.WasReleased(row.Name) {
			l.applyListedMachine(requestedAt, now, row)
		}
	}
	if nonexistent := l.nonexistentMachines(requestedAt, listed); len(nonexistent) > 0 {
		l.removeMachines(now, nonexistent)
	}
}

// applyListedMachine applies one row of a machine list.
func (l *Leader) applyListedMachine(requestedAt, now time.Time, row *wire.ListedMachine) {
	m := l.machines.Get(row.Name)
	if m == nil {
		m = l.addMachine(requestedAt, row.Name, row.Type, row.Zone, row.Addr, row.Spot)
	}
	m.ApplyCloudListing(requestedAt, now, row)
}

// longestListLag returns how old the state in a machine list may be when the list is requested:
// twice the list lag of the cloud, with clock drift.
func (l *Leader) longestListLag() time.Duration {
	return seconds.Duration(l.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// nonexistentMachines counts a missing entry for each machine that a list lacks, and returns the
// machines that certainly no longer exist.
func (l *Leader) nonexistentMachines(requestedAt time.Time, listed map[string]bool) []string {
	var nonexistent []string
	longestLag := l.longestListLag()
	for _, m := range l.machines.All() {
		if !listed[m.ID] && m.CountMissingFromCloudList(requestedAt, longestLag) {
			nonexistent = append(nonexistent, m.ID)
		}
	}
	return nonexistent
}

// removeMachines removes machines that no longer exist and releases all attempts on them.
func (l *Leader) removeMachines(now time.Time, names []string) {
	for _, id := range names {
		l.machines.MarkReleased(id)
		m := l.machines.Get(id)
		if m == nil {
			continue
		}
		l.releaseAllAttempts(now, m)
		l.machines.Remove(m)
	}
	l.log.Debug().Strs("machines", names).Msg("machines removed")
	l.schedulingPassRequested = true
}

// HasLateHeartbeats reports whether the heartbeat of a machine with attempts is late. The next
// machine list is then urgent, because it may show that the machine no longer exists.
func (l *Leader) HasLateHeartbeats(now time.Time) bool {
	for _, m := range l.machines.All() {
		if m.IsReconciled() && len(m.Attempts()) > 0 && m.SinceHeartbeat(now) > seconds.Duration(l.params.Workers.HeartbeatIntervalS*tuning.LateHeartbeatIntervals) {
			return true
		}
	}
	return false
}
