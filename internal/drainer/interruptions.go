package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// RecordInterruption counts an attempt that is about to be removed, if it may have run.
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

// RecordRunning counts a task that was interrupted as running again, unless it is the very
// attempt that a drain is about to stop.
func (d *Drainer) RecordRunning(a *machines.Attempt) {
	if d.ledger == nil || a.IsEvicting() || d.ledger.IsCharged(a.Number()) && a.Machine.CordonedFor(machines.CordonDrained) {
		return
	}
	d.ledger.RecordAvailable(a.Job.ID, a.Index)
}

// RecordDone counts a task that was interrupted as done.
func (d *Drainer) RecordDone(j *jobs.Job, index int32) {
	if d.ledger != nil {
		d.ledger.RecordAvailable(j.ID, index)
	}
}

// RecordJobEnd counts no task of a job any more.
func (d *Drainer) RecordJobEnd(j *jobs.Job) {
	if d.ledger != nil {
		d.ledger.RecordJobEnd(j.ID)
	}
}
