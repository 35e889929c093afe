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

// Tick does what time and changes have made due: leases that have expired,
// completions to write and, with authority, a scheduling pass.
func (l *Leader) Tick(now time.Time, authority bool) {
	l.processDependencyChanges(now)
	l.flushDone(now)
	if now.Sub(l.passes.lastExpiry) >= tuning.TickInterval {
		l.passes.lastExpiry = now
		l.expireLeases(now)
	}
	if authority && l.passIsDue(now) {
		l.runPass(now)
	}
}

// maxPassInterval is the time after which a pass runs although nothing has changed.
const maxPassInterval = time.Second

// passIsDue reports whether a scheduling pass is to run now.
func (l *Leader) passIsDue(now time.Time) bool {
	return !now.Before(l.passes.next) && (l.changed || now.Sub(l.passes.last) >= maxPassInterval)
}

// runPass runs a scheduling pass; the more it has to score, the later the next one comes.
func (l *Leader) runPass(now time.Time) {
	l.changed = false
	l.passes.last = now
	before := l.scores
	l.place(now)
	l.passes.next = now.Add(tuning.PassInterval + time.Duration(l.scores-before)*tuning.PassDelayPerScoredPair)
	l.consolidate(now)
}

// place places ready tasks by the placement rule, and records their starts.
func (l *Leader) place(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	open := l.openMachines(now, highestPriority(ready))
	if len(open) == 0 {
		return
	}
	agedJobs := map[*jobs.Job]bool{}
	for _, j := range byID {
		agedJobs[j] = j.SincePlacement(now) >= tuning.AgingThreshold
	}
	starts, work := placement.Run(l.clock(now), l.withAged(now, ready, byID), open, l.ledger.PlacementTeams(), tuning.PassMaxStarts)
	l.scores += work.ScoredPairs
	for _, s := range starts {
		j := byID[s.Job]
		l.start(now, j, l.machines.Get(s.Machine), agedJobs[j])
	}
	if work.Truncated {
		l.changed = true
		return
	}
	l.preempt(now, ready, byID)
}

// highestPriority is the highest priority of the jobs.
func highestPriority(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// openMachines are the machines that take work, as the pass sees them. A reservation
// lasts only as long as there is work that it may be for.
func (l *Leader) openMachines(now time.Time, highest int) []*placement.Machine {
	var open []*placement.Machine
	for _, m := range l.machines.All() {
		if !l.acceptsWork(now, m) {
			continue
		}
		view := l.snapshot(now, m)
		rank, reserved := m.Reservation(now)
		view.HasReservation, view.ReservedRank = reserved && highest <= rank, rank
		open = append(open, view)
	}
	return open
}

// start puts the next ready task of a job on a machine. The start may be sent only once
// the record of it is durable: a successor must know which machine may have the task.
func (l *Leader) start(now time.Time, j *jobs.Job, m *machines.Machine, afterLongWait bool) {
	index := j.PopReadyTask(now)
	a := machines.NewPendingAttempt(m, j, index, now, l.nextAttempt(), afterLongWait)
	l.ledger.Allocate(a)
	l.starts.Add(a)
}

// sendStart lets a start be sent whose record is durable.
func (l *Leader) sendStart(a *machines.Attempt) {
	a.MarkRecorded()
	l.calls.schedule(a.Machine)
}

// abandonStart lets a task be placed anew whose start can't be recorded: it has not been sent.
func (l *Leader) abandonStart(a *machines.Attempt) { l.release(a.CreatedAt(), a) }

// clock is the time of the placement rule, in seconds.
func (l *Leader) clock(now time.Time) float64 { return now.Sub(l.timing.TermStart).Seconds() }
