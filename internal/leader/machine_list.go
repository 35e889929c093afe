package leader

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// machineLists records which of the cloud's machine lists have been applied in this term.
type machineLists struct {
	appliedCount uint64 // number of lists applied
	// hasCurrent is true once a list that shows the state after the beginning of this term has been
	// applied. From then on, if a stored record mentions a machine that is not in Leader.machines,
	// this machine no longer exists.
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
	if nonexistent := l.recordMissingMachines(requestedAt, listed); len(nonexistent) > 0 {
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

// longestListLag returns the maximum age of the state in a machine list at the time of the request
// for the list: twice the cloud's list lag, increased by the clock drift.
func (l *Leader) longestListLag() time.Duration {
	return seconds.Duration(l.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// recordMissingMachines records for each known machine that is not in the list that it is missing. It
// returns the machines that, as the list proves, no longer exist.
func (l *Leader) recordMissingMachines(requestedAt time.Time, listed map[string]bool) []string {
	var nonexistent []string
	longestLag := l.longestListLag()
	for _, m := range l.machines.All() {
		if !listed[m.ID] && m.DetectDeletion(requestedAt, longestLag) {
			nonexistent = append(nonexistent, m.ID)
		}
	}
	return nonexistent
}

// removeMachines removes machines that no longer exist and releases all attempts on them.
func (l *Leader) removeMachines(now time.Time, ids []string) {
	for _, id := range ids {
		l.machines.MarkReleased(id)
		m := l.machines.Get(id)
		if m == nil {
			continue
		}
		l.releaseAllAttempts(now, m)
		l.machines.Remove(m)
	}
	l.log.Debug().Strs("machines", ids).Msg("machines removed")
	l.schedulingPassRequested = true
}

// HasLateHeartbeats reports whether the heartbeat of any machine with attempts is late. The next
// machine list is then urgent: it may show that the machine no longer exists, so that its tasks can
// be placed again.
func (l *Leader) HasLateHeartbeats(now time.Time) bool {
	for _, m := range l.machines.All() {
		if m.IsReconciled() && len(m.Attempts()) > 0 && m.SinceHeartbeat(now) > seconds.Duration(l.params.Workers.HeartbeatIntervalS*tuning.LateHeartbeatIntervals) {
			return true
		}
	}
	return false
}
