package leader

import (
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// A failed task alone does not show whether its job or its machine is at fault. A job that has
// failed on several machines and completed a task on none counts as faulty itself, and its failures
// do not count against the machines. Once one of its tasks completes, its failures count against
// the machines on which they occurred. A machine on which several jobs in a row have failed is
// quarantined.

// failureTracker counts the failures of tasks against their machines or their jobs.
type failureTracker struct {
	log      zerolog.Logger
	machines *machines.Registry
}

// recordTaskFailure records that a task of the job has failed on the machine.
func (f *failureTracker) recordTaskFailure(now time.Time, j *jobs.Job, m *machines.Machine) {
	j.AddFailedOn(m.ID)
	m.ExcludeJob(now, j.ID)
	if !j.IsFaulty() {
		f.countFailedJob(now, m, j)
		return
	}
	// The job itself is at fault: its failures no longer count against machines.
	for id := range j.FailedOn() {
		if other := f.machines.Get(id); other != nil {
			other.UncountFailedJob(j.ID)
		}
	}
}

// recordTaskSuccess records that a task of the job has completed on the machine.
func (f *failureTracker) recordTaskSuccess(now time.Time, j *jobs.Job, m *machines.Machine) {
	m.RecordTaskSuccess()
	// The job is not at fault, so its failures count against the machines on which they occurred.
	// They don't count against m, which has just completed a task.
	for id := range j.FailedOn() {
		if other := f.machines.Get(id); other != nil && other != m {
			f.countFailedJob(now, other, j)
		}
	}
	j.RecordSuccess()
}

// countFailedJob counts a failed job against a machine. The machine is quarantined if too many jobs
// in a row have now failed on it.
func (f *failureTracker) countFailedJob(now time.Time, m *machines.Machine, j *jobs.Job) {
	if quarantined := m.CountFailedJob(now, j.ID); quarantined {
		f.log.Info().Str("machine", m.ID).Msg("machine quarantined")
	}
}

// endExclusions ends the exclusions of jobs from machines, and the quarantines, whose time has passed.
func (f *failureTracker) endExclusions(now time.Time) {
	for _, m := range f.machines.All() {
		m.EndExclusions(now)
	}
}
