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
// leases, and a scheduling pass. holdsLeaderLease is false while the leader can't reach the key-value
// store. No pass runs then.
func (l *Leader) Tick(now time.Time, holdsLeaderLease bool) {
	l.processDependencyChanges(now)
	l.flushCompletions(now)
	if now.Sub(l.passTimes.lastExpiryCheck) >= tuning.TickInterval {
		l.passTimes.lastExpiryCheck = now
		l.expireLeases(now)
		l.failures.endExclusions(now)
	}
	if holdsLeaderLease && l.passIsDue(now) {
		l.runPass(now)
	}
}

// maxPassInterval is the time after which a pass runs even if nothing has changed.
const maxPassInterval = time.Second

// passIsDue reports whether a scheduling pass is due.
func (l *Leader) passIsDue(now time.Time) bool {
	return !now.Before(l.passTimes.earliestNextPass) && (l.schedulingPassRequested || now.Sub(l.passTimes.lastPass) >= maxPassInterval)
}

// runPass runs a scheduling pass: it places ready tasks, preempts tasks and consolidates machines.
// The delay before the next pass grows with the number of scored pairs of job and machine, so that
// passes use only a limited share of the CPU time.
func (l *Leader) runPass(now time.Time) {
	l.schedulingPassRequested = false
	l.passTimes.lastPass = now
	scoredBefore := l.scoredPairs
	l.placeReadyTasks(now)
	l.passTimes.earliestNextPass = now.Add(tuning.PlacementInterval + time.Duration(l.scoredPairs-scoredBefore)*tuning.PlacementDelayPerScoredPair)
	l.consolidate(now)
}

// placeReadyTasks places ready tasks on machines and queues the records of their starts. It then
// preempts running tasks in favour of ready tasks that could not be placed. If the placement stopped
// early because it reached its limits, placeReadyTasks requests another pass instead.
func (l *Leader) placeReadyTasks(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	candidates := l.schedulableMachines(now, topPriorityRank(ready))
	if len(candidates) == 0 {
		return
	}
	// A job is aged if its last placement of a task is at least tuning.AgingThreshold ago (see
	// withAgedEntries). This is determined before the tasks are assigned, because each assignment resets
	// the job's PlacementWait.
	agedJobs := map[*jobs.Job]bool{}
	for _, j := range byID {
		agedJobs[j] = j.PlacementWait(now) >= tuning.AgingThreshold
	}
	assignments, stats := placement.Run(l.secondsInTerm(now), l.withAgedEntries(now, ready, byID), candidates, l.ledger.PlacementTeams(), tuning.PlacementMaxStarts)
	l.scoredPairs += stats.ScoredPairs
	for _, s := range assignments {
		j := byID[s.JobID]
		l.assignTask(now, j, l.machines.Get(s.MachineID), agedJobs[j])
	}
	if stats.Truncated {
		l.schedulingPassRequested = true
		return
	}
	l.preempt(now, ready, byID)
}

// topPriorityRank returns the rank of the highest priority among the jobs. A lower rank is a higher
// priority.
func topPriorityRank(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// schedulableMachines returns snapshots of the schedulable machines for the placement. topRank is
// the rank of the highest priority among the ready jobs. If a machine is reserved for a priority,
// the reservation applies only while a job of that priority or a higher one is ready.
func (l *Leader) schedulableMachines(now time.Time, topRank int) []*placement.Machine {
	var candidates []*placement.Machine
	for _, m := range l.machines.All() {
		if !l.isSchedulable(now, m) {
			continue
		}
		candidate := l.snapshot(now, m)
		rank, reserved := m.Reservation(now)
		candidate.HasReservation, candidate.ReservedRank = reserved && topRank <= rank, rank
		candidates = append(candidates, candidate)
	}
	return candidates
}

// assignTask assigns the next ready task of a job to a machine, counts its resources as allocated and
// queues the start record. The start may be sent only when the record is durable, because a successor
// learns from the record that the task may be on the machine.
func (l *Leader) assignTask(now time.Time, j *jobs.Job, m *machines.Machine, jobIsAged bool) {
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

// abandonStart releases an attempt whose start record the key-value store has refused. Its start was
// never sent, so the task can be placed again.
func (l *Leader) abandonStart(a *machines.Attempt) { l.releaseAttempt(a.CreatedAt(), a) }

// secondsInTerm returns the time since the term began, in seconds. The placement algorithm uses
// this time scale.
func (l *Leader) secondsInTerm(now time.Time) float64 { return now.Sub(l.timing.TermStart).Seconds() }
