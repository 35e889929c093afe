package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// A failed task alone does not show whether its job or its machine is at fault. A job that has
// failed on several machines and completed a task on none counts as faulty itself, and its failures
// do not count against the machines. Once one of its tasks completes, its failures count against
// the machines on which they occurred. A machine on which several jobs in a row have failed is
// quarantined.

// recordTaskFailure records that a task of the job has failed on the machine.
func (l *Leader) recordTaskFailure(j *jobs.Job, m *machines.Machine) {
	j.RecordFailureOn(m.ID)
	m.AvoidJob(j.ID)
	if !j.FailsEverywhere() {
		l.countFailedJob(m, j)
		return
	}
	// The job itself is at fault: its failures no longer count against machines.
	for id := range j.FailedOn() {
		if other := l.machines.Get(id); other != nil {
			other.UncountFailedJob(j.ID)
		}
	}
}

// recordTaskSuccess records that a task of the job has completed on the machine.
func (l *Leader) recordTaskSuccess(j *jobs.Job, m *machines.Machine) {
	m.RecordTaskSuccess()
	// The job is not at fault: its failures count against the other machines.
	for id := range j.FailedOn() {
		if other := l.machines.Get(id); other != nil && other != m {
			l.countFailedJob(other, j)
		}
	}
	j.RecordSuccess()
}

// countFailedJob counts a failed job against a machine. The machine is quarantined if this makes
// too many such jobs.
func (l *Leader) countFailedJob(m *machines.Machine, j *jobs.Job) {
	if quarantined := m.CountFailedJob(j.ID); quarantined {
		l.log.Info().Str("machine", m.ID).Msg("machine quarantined")
	}
}
