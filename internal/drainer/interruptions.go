package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// RecordInterruption records that the task of an attempt is interrupted. It is called before the
// attempt is removed. It ignores a failed attempt, a task that is done or has another attempt, and an
// attempt that has certainly not run. The interruption uses up the team's budget unless a drain has
// charged it already or the attempt may not have started.
func (d *Drainer) RecordInterruption(now time.Time, a *machines.Attempt) {
	j := a.Job
	if d.ledger == nil || !j.NeedsTask(int(a.Index)) || j.AllocationsOf(a.Index) > 1 || a.HasFailed() {
		return
	}
	switch {
	case d.ledger.IsCharged(a.Number()), a.State() == machines.PossiblyStarted:
		d.ledger.RecordUnavailable(j.Team, j.ID, a.Index)
	case a.State().HasImage():
		d.ledger.RecordInterruption(j.Team, j.ID, a.Index, now, a.LostProgressS(now))
	}
}

// RecordTaskRunning records that an interrupted task runs again, as the given attempt. It ignores an
// attempt that a drain is about to stop.
func (d *Drainer) RecordTaskRunning(a *machines.Attempt) {
	if d.ledger == nil || a.IsEvicting() || d.ledger.IsCharged(a.Number()) && a.Machine.IsCordonedFor(machines.CordonDrained) {
		return
	}
	d.ledger.RecordAvailable(a.Job.ID, a.Index)
}

// RecordTaskDone records that a task is done, so it no longer counts as unavailable.
func (d *Drainer) RecordTaskDone(j *jobs.Job, index int32) {
	if d.ledger != nil {
		d.ledger.RecordAvailable(j.ID, index)
	}
}

// RecordJobEnd records that a job has ended, so its tasks no longer count as unavailable.
func (d *Drainer) RecordJobEnd(j *jobs.Job) {
	if d.ledger != nil {
		d.ledger.RecordJobEnd(j.ID)
	}
}
