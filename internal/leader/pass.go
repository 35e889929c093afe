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

// Tick carries out the work that is due: dependency changes, writes of completions, checks for
// expired leases and, with authority, a scheduling pass.
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
	return !now.Before(l.passTimes.earliestNext) && (l.passRequested || now.Sub(l.passTimes.last) >= maxPassInterval)
}

// runPass runs a scheduling pass. The delay before the next pass grows with the number of pairs
// scored.
func (l *Leader) runPass(now time.Time) {
	l.passRequested = false
	l.passTimes.last = now
	before := l.scoredPairs
	l.placeReadyTasks(now)
	l.passTimes.earliestNext = now.Add(tuning.PlacementInterval + time.Duration(l.scoredPairs-before)*tuning.PlacementDelayPerScoredPair)
	l.consolidate(now)
}

// placeReadyTasks places ready tasks on machines and queues the records of their starts. It then
// preempts tasks, unless the placement was truncated.
func (l *Leader) placeReadyTasks(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	candidates := l.schedulableMachines(now, highestPriorityRank(ready))
	if len(candidates) == 0 {
		return
	}
	agedJobs := map[*jobs.Job]bool{}
	for _, j := range byID {
		agedJobs[j] = j.PlacementWait(now) >= tuning.AgingThreshold
	}
	starts, work := placement.Run(l.placementTimeS(now), l.withAgedFirst(now, ready, byID), candidates, l.ledger.PlacementTeams(), tuning.PlacementMaxStarts)
	l.scoredPairs += work.ScoredPairs
	for _, s := range starts {
		j := byID[s.Job]
		l.startTask(now, j, l.machines.Get(s.Machine), agedJobs[j])
	}
	if work.Truncated {
		l.passRequested = true
		return
	}
	l.preempt(now, ready, byID)
}

// highestPriorityRank returns the rank of the highest priority among the jobs.
func highestPriorityRank(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// schedulableMachines returns the schedulable machines as the pass sees them. A reservation
// applies only while there is ready work of its rank or above.
func (l *Leader) schedulableMachines(now time.Time, highestRank int) []*placement.Machine {
	var candidates []*placement.Machine
	for _, m := range l.machines.All() {
		if !l.isSchedulable(now, m) {
			continue
		}
		view := l.snapshot(now, m)
		rank, reserved := m.Reservation(now)
		view.HasReservation, view.ReservedRank = reserved && highestRank <= rank, rank
		candidates = append(candidates, view)
	}
	return candidates
}

// startTask assigns the next ready task of a job to a machine. The start may be sent only once
// its record is durable, because a successor must know which machine may have the task.
func (l *Leader) startTask(now time.Time, j *jobs.Job, m *machines.Machine, aged bool) {
	index := j.PopReadyTask(now)
	a := machines.NewPendingAttempt(m, j, index, now, l.nextAttemptNumber(), aged)
	l.ledger.Allocate(a)
	l.startLog.Add(a)
}

// allowStart lets a start be sent once its record is durable.
func (l *Leader) allowStart(a *machines.Attempt) {
	a.MarkRecorded()
	l.directCalls.schedule(a.Machine)
}

// abandonStart releases an attempt whose start can't be recorded and has not been sent, so that
// its task is placed again.
func (l *Leader) abandonStart(a *machines.Attempt) { l.releaseAttempt(a.CreatedAt(), a) }

// placementTimeS returns the time for the placement algorithm, in seconds since the term began.
func (l *Leader) placementTimeS(now time.Time) float64 { return now.Sub(l.timing.TermStart).Seconds() }
