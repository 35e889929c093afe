package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
)

// Whose fault a failure is shows only by where else the job fails or ends. A job that
// has failed on several machines, and ended on none, is taken for one submitted with a
// mistake: no machine is quarantined for it. Once a task of it ends somewhere, the
// machines where it failed are to blame. One on which several jobs failed in a row is
// faulty.

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
			o.ForgiveFailedJob(j.ID)
		}
	}
}

// recordTaskSuccess notes that a task of the job has ended on the machine.
func (l *Leader) recordTaskSuccess(j *jobs.Job, m *machines.Machine) {
	m.RecordTaskSuccess()
	for id := range j.FailedOn() {
		if o := l.machines.Get(id); o != nil && o != m {
			l.countFailedJob(o, j)
		}
	}
	j.RecordSuccess()
}

// countFailedJob counts a job that has failed on the machine, and quarantines it if there are too many.
func (l *Leader) countFailedJob(m *machines.Machine, j *jobs.Job) {
	if quarantined := m.CountFailedJob(j.ID); quarantined {
		l.log.Info().Str("machine", m.ID).Msg("machine quarantined")
	}
}
