package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// A failed task alone does not show whether its job or its machine is at fault. A job that has
// failed on several machines and completed a task on none is presumed faulty and does not count
// against any machine. Once one of its tasks completes, it counts against the machines on which
// it failed. A machine on which several jobs in a row have failed is quarantined.

// recordTaskFailure records that a task of the job has failed on the machine.
func (l *Leader) recordTaskFailure(j *jobs.Job, m *machines.Machine) {
	j.RecordFailureOn(m.ID)
	m.AvoidJob(j.ID)
	if !j.FailsEverywhere() {
		l.countFailedJob(m, j)
		return
	}
	for id := range j.FailedOn() {
		if o := l.machines.Get(id); o != nil {
			o.UncountFailedJob(j.ID)
		}
	}
}

// recordTaskSuccess records that a task of the job has completed on the machine.
func (l *Leader) recordTaskSuccess(j *jobs.Job, m *machines.Machine) {
	m.RecordTaskSuccess()
	for id := range j.FailedOn() {
		if o := l.machines.Get(id); o != nil && o != m {
			l.countFailedJob(o, j)
		}
	}
	j.RecordSuccess()
}

// countFailedJob counts the job as failed on the machine, which is quarantined once there are
// too many.
func (l *Leader) countFailedJob(m *machines.Machine, j *jobs.Job) {
	if quarantined := m.CountFailedJob(j.ID); quarantined {
		l.log.Info().Str("machine", m.ID).Msg("machine quarantined")
	}
}
