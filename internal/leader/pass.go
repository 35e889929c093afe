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

// Tick does the work that is due: dependency changes, writes of completions, checks for expired
// leases, and a scheduling pass. authority is false while the leader can't reach the key-value
// store; no pass runs then.
func (l *Leader) Tick(now time.Time, authority bool) {
	l.processDependencyChanges(now)
	l.flushCompletions(now)
	if now.Sub(l.passTimes.lastExpiryCheck) >= tuning.TickInterval {
		l.passTimes.lastExpiryCheck = now
		l.expireLeases(now)
	}
	if authority && l.passIsDue(now) {
		l.runPass(now)
	}
}

// maxPassInterval is the time after which a pass runs even if nothing has changed.
const maxPassInterval = time.Second

// passIsDue reports whether a scheduling pass is due.
func (l *Leader) passIsDue(now time.Time) bool {
	return !now.Before(l.passTimes.earliestNextPass) && (l.schedulingPassRequested || now.Sub(l.passTimes.lastPass) >= maxPassInterval)
}

// runPass runs a scheduling pass. The delay before the next pass grows with the number of pairs
// scored, so that passes use only a limited share of the CPU time.
func (l *Leader) runPass(now time.Time) {
	l.schedulingPassRequested = false
	l.passTimes.lastPass = now
	scoredBefore := l.scoredPairs
	l.placeReadyTasks(now)
	l.passTimes.earliestNextPass = now.Add(tuning.PassInterval + time.Duration(l.scoredPairs-scoredBefore)*tuning.PassDelayPerScoredPair)
	l.consolidate(now)
}

// placeReadyTasks places ready tasks on machines and queues the records of their starts. It then
// preempts tasks in favour of those that could not be placed. If the placement reached its limits,
// it requests another pass instead.
func (l *Leader) placeReadyTasks(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	candidates := l.schedulableMachines(now, highestPriorityRank(ready))
	if len(candidates) == 0 {
		return
	}
	// This is determined before the starts, which reset the time since the last placement.
	agedJobs := map[*jobs.Job]bool{}
	for _, j := range byID {
		agedJobs[j] = j.PlacementWait(now) >= tuning.AgingThreshold
	}
	assignments, stats := placement.Run(l.placementTimeS(now), l.withAgedEntries(now, ready, byID), candidates, l.ledger.PlacementTeams(), tuning.PassMaxStarts)
	l.scoredPairs += stats.ScoredPairs
	for _, s := range assignments {
		j := byID[s.JobID]
		l.startTask(now, j, l.machines.Get(s.MachineID), agedJobs[j])
	}
	if stats.Truncated {
		l.schedulingPassRequested = true
		return
	}
	l.preempt(now, ready, byID)
}

// highestPriorityRank returns the rank of the highest priority among the jobs, which is the lowest
// number.
func highestPriorityRank(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// schedulableMachines returns snapshots of the schedulable machines for the placement. The
// reservation of a machine for a priority applies only while a job of that priority or a higher one
// is ready.
func (l *Leader) schedulableMachines(now time.Time, highestRank int) []*placement.Machine {
	var candidates []*placement.Machine
	for _, m := range l.machines.All() {
		if !l.isSchedulable(now, m) {
			continue
		}
		candidate := l.snapshot(now, m)
		rank, reserved := m.Reservation(now)
		candidate.HasReservation, candidate.ReservedRank = reserved && highestRank <= rank, rank
		candidates = append(candidates, candidate)
	}
	return candidates
}

// startTask assigns the next ready task of a job to a machine and queues the start record. The
// start may be sent only when the record is durable, because a successor must find out from it
// which machine may have the task.
func (l *Leader) startTask(now time.Time, j *jobs.Job, m *machines.Machine, jobIsAged bool) {
	index := j.PopReadyTask(now)
	a := machines.NewPendingAttempt(m, j, index, now, l.nextAttemptNumber(), jobIsAged)
	l.ledger.Allocate(a)
	l.startLog.Add(a)
}

// allowStart allows a start to be sent. It is called when the start record is durable.
func (l *Leader) allowStart(a *machines.Attempt) {
	a.MarkStartRecorded()
	l.directCalls.enqueue(a.Machine)
}

// abandonStart releases an attempt whose start record the key-value store has refused. The start
// has not been sent, so the task can be placed again.
func (l *Leader) abandonStart(a *machines.Attempt) { l.releaseAttempt(a.CreatedAt(), a) }

// placementTimeS returns a time as the placement algorithm uses it: in seconds since the term
// began.
func (l *Leader) placementTimeS(now time.Time) float64 { return now.Sub(l.timing.TermStart).Seconds() }
