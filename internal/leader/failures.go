package leader

import (
	"switchshore.example/switchshore/internal/tuning"
)

// Whose fault a failure is shows only by where else the job fails or ends. A job that
// has failed on several machines, and ended on none, is taken for one submitted with a
// mistake: no machine is quarantined for it. Once a task of it ends somewhere, the
// machines where it failed are to blame. One on which several jobs failed in a row is
// faulty.

// recordTaskFailure notes that a task of the job has failed on the machine.
func (l *Leader) recordTaskFailure(j *job, m *machine) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.id] = true
	m.avoidedJobs[j.ID] = true
	if !j.failsEverywhere() {
		m.countFailedJob(l, j)
		return
	}
	for id := range j.failedOn {
		if o := l.machines[id]; o != nil {
			delete(o.failedJobs, j.ID)
			o.setCordon(cordonFaulty, len(o.failedJobs) >= tuning.QuarantineJobs)
		}
	}
}

// recordTaskSuccess notes that a task of the job has ended on the machine.
func (l *Leader) recordTaskSuccess(j *job, m *machine) {
	if !m.cordonedFor(cordonFaulty) {
		clear(m.failedJobs)
	}
	for id := range j.failedOn {
		if o := l.machines[id]; o != nil && o != m {
			o.countFailedJob(l, j)
		}
	}
	clear(j.failedOn)
}

func (m *machine) countFailedJob(c *Leader, j *job) {
	m.failedJobs[j.ID] = true
	if len(m.failedJobs) >= tuning.QuarantineJobs && !m.cordonedFor(cordonFaulty) {
		c.log.Info().Str("machine", m.id).Msg("machine quarantined")
		m.cordon(cordonFaulty)
	}
}

// failsEverywhere reports whether the job seems to fail everywhere.
func (j *job) failsEverywhere() bool {
	return len(j.failedOn) >= tuning.FailsEverywhereMachines && j.done.Len() == 0
}
