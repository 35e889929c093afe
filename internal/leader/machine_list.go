package leader

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// machineLists tracks the cloud's lists of machines that have been applied.
type machineLists struct {
	applied uint64
	// current is true once a list describes a time after this term began. From then on a machine
	// that a record names and that is not known no longer exists.
	current bool
}

// ApplyMachineList applies a complete machine list, requested at the given time.
func (l *Leader) ApplyMachineList(requestedAt, now time.Time, list []wire.ListedMachine) {
	l.machineLists.applied++
	l.machineLists.current = l.machineLists.current || requestedAt.Sub(l.timing.TermStart) > l.longestListLag()
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

// longestListLag returns the maximum age of a machine list relative to the request for it: twice
// the list lag of the cloud, with clock drift.
func (l *Leader) longestListLag() time.Duration {
	return seconds.Duration(l.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// nonexistentMachines records which machines a list lacks and returns those that provably no
// longer exist. A list is at most twice its lag old.
func (l *Leader) nonexistentMachines(requestedAt time.Time, listed map[string]bool) []string {
	var nonexistent []string
	lag := l.longestListLag()
	for _, m := range l.machines.All() {
		if !listed[m.ID] && m.CountMissingFromCloudList(requestedAt, lag) {
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
	l.passRequested = true
}

// HeartbeatsLate reports whether the heartbeats of machines with attempts are late. The next
// machine list may then show that the machines no longer exist.
func (l *Leader) HeartbeatsLate(now time.Time) bool {
	for _, m := range l.machines.All() {
		if m.IsReconciled() && len(m.Attempts()) > 0 && m.SinceHeartbeat(now) > seconds.Duration(l.params.Workers.HeartbeatIntervalS*tuning.LateHeartbeatIntervals) {
			return true
		}
	}
	return false
}
