package leader

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// machineLists counts the cloud's lists of machines.
type machineLists struct {
	applied uint64
	// complete: a list describes a time after this term began, so that a machine
	// named by a record and not known no longer exists.
	complete bool
}

// ApplyMachineList applies a complete machine list, asked for at the given time.
func (l *Leader) ApplyMachineList(asked, now time.Time, list []wire.ListedMachine) {
	l.lists.applied++
	l.lists.complete = l.lists.complete || asked.Sub(l.timing.TermStart) > l.longestListLag()
	listed := make(map[string]bool, len(list))
	for i := range list {
		row := &list[i]
		listed[row.Name] = true
		if !l.machines.WasReleased(row.Name) {
			l.applyListed(asked, now, row)
		}
	}
	if gone := l.missingLongEnough(asked, listed); len(gone) > 0 {
		l.remove(now, gone)
	}
}

// applyListed applies one row of a machine list.
func (l *Leader) applyListed(asked, now time.Time, row *wire.ListedMachine) {
	m := l.machines.Get(row.Name)
	if m == nil {
		m = l.addMachine(asked, row.Name, row.Type, row.Zone, row.Addr, row.Spot)
	}
	m.ApplyListed(asked, now, row)
}

// longestListLag is by how much a machine list may be older than the request for it.
func (l *Leader) longestListLag() time.Duration {
	return seconds.Duration(l.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// missingLongEnough counts the machines that a list lacks, and names those that provably no
// longer exist. A list is at most twice its lag old.
func (l *Leader) missingLongEnough(asked time.Time, listed map[string]bool) []string {
	var gone []string
	lag := l.longestListLag()
	for _, m := range l.machines.All() {
		if !listed[m.ID] && m.CountMissed(asked, lag) {
			gone = append(gone, m.ID)
		}
	}
	return gone
}

// remove forgets machines that no longer exist, with all on them.
func (l *Leader) remove(now time.Time, names []string) {
	for _, id := range names {
		l.machines.MarkReleased(id)
		m := l.machines.Get(id)
		if m == nil {
			continue
		}
		l.releaseAll(now, m)
		l.machines.Remove(m)
	}
	l.log.Debug().Strs("machines", names).Msg("machines removed")
	l.changed = true
}

// HeartbeatsLate reports whether the heartbeats of machines with attempts are late: the
// next list may show that they no longer exist.
func (l *Leader) HeartbeatsLate(now time.Time) bool {
	for _, m := range l.machines.All() {
		if m.IsReconciled() && len(m.Attempts()) > 0 && m.SinceHeartbeat(now) > seconds.Duration(l.params.Workers.HeartbeatIntervalS*tuning.LateHeartbeatIntervals) {
			return true
		}
	}
	return false
}
