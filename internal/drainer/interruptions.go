package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// RecordInterruption counts the task of an attempt that is about to be removed as interrupted, if
// the attempt may have run and has not failed, and the task has no other attempt. An attempt that
// a drain has charged, or that may not have started, adds no usage to the team's window.
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

// RecordTaskRunning counts an interrupted task as running again, unless the attempt is one that a
// drain is about to stop.
func (d *Drainer) RecordTaskRunning(a *machines.Attempt) {
	if d.ledger == nil || a.IsEvicting() || d.ledger.IsCharged(a.Number()) && a.Machine.CordonedFor(machines.CordonDrained) {
		return
	}
	d.ledger.RecordAvailable(a.Job.ID, a.Index)
}

// RecordTaskDone counts an interrupted task as done: it is no longer unavailable.
func (d *Drainer) RecordTaskDone(j *jobs.Job, index int32) {
	if d.ledger != nil {
		d.ledger.RecordAvailable(j.ID, index)
	}
}

// RecordJobEnd removes the tasks of an ended job from the unavailable ones.
func (d *Drainer) RecordJobEnd(j *jobs.Job) {
	if d.ledger != nil {
		d.ledger.RecordJobEnd(j.ID)
	}
}
