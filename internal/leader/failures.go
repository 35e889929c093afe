package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// Whether the job or the machine is at fault shows only by where else the job fails or
// completes. A job that has failed on several machines, and completed a task on none, seems to
// have been submitted with a mistake: no machine is quarantined for it. Once a task of it
// completes somewhere, the machines where it failed are at fault. One on which several jobs
// have failed in a row is faulty.

// recordTaskFailure notes that a task of the job has failed on the machine.
func (l *Leader) recordTaskFailure(j *jobs.Job, m *machines.Machine) {
	j.RecordFailureOn(m.ID)
	m.AvoidJob(j.ID)
	if !j.FailsEverywhere() {
		l.countFailedJob(m, j)
		return
	}
	for id := range j.FailedOn() {
		if o := l.machines.Get(id); o != nil {
			o.RemoveFailedJob(j.ID)
		}
	}
}

// recordTaskSuccess notes that a task of the job has completed on the machine.
func (l *Leader) recordTaskSuccess(j *jobs.Job, m *machines.Machine) {
	m.RecordTaskSuccess()
	for id := range j.FailedOn() {
		if o := l.machines.Get(id); o != nil && o != m {
			l.countFailedJob(o, j)
		}
	}
	j.RecordSuccess()
}

// countFailedJob counts a job that has failed on the machine, which is quarantined once there
// are too many.
func (l *Leader) countFailedJob(m *machines.Machine, j *jobs.Job) {
	if quarantined := m.AddFailedJob(j.ID); quarantined {
		l.log.Info().Str("machine", m.ID).Msg("machine quarantined")
	}
}
