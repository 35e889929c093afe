package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// failures holds the jobs whose tasks have failed on a machine.
type failures struct {
	excludedJobs      map[string]time.Time // IDs of the jobs that are not placed on the machine, and until when
	countedFailedJobs map[string]bool      // IDs of jobs whose failures count against the machine
	quarantinedAt     time.Time            // when the machine was last quarantined
}

// ExcludeJob records that a task of the job has failed on the machine. No further tasks of the job
// are placed there for tuning.JobExclusionTime.
func (f *failures) ExcludeJob(now time.Time, id string) {
	f.excludedJobs[id] = now.Add(tuning.JobExclusionTime)
}

// EndExclusions ends the exclusions of jobs whose time has passed, and the quarantine of a machine that
// still runs tasks after tuning.QuarantineTime. Without an end, a job could wait forever beside a
// machine with free resources if the cloud has no other one.
func (m *Machine) EndExclusions(now time.Time) {
	for id, until := range m.excludedJobs {
		if !now.Before(until) {
			delete(m.excludedJobs, id)
		}
	}
	if m.isFaulty() && now.Sub(m.quarantinedAt) >= tuning.QuarantineTime {
		clear(m.countedFailedJobs)
	}
}

// CountFailedJob counts a failed job against the machine. It returns true if the machine is
// quarantined as a result, which means that it is cordoned as faulty.
func (f *failures) CountFailedJob(now time.Time, id string) (quarantined bool) {
	wasFaulty := f.isFaulty()
	f.countedFailedJobs[id] = true
	quarantined = f.isFaulty() && !wasFaulty
	if quarantined {
		f.quarantinedAt = now
	}
	return quarantined
}

// UncountFailedJob removes a job from those that count against the machine. It is called for a job
// that fails on other machines as well, which shows that the job itself causes the failures.
func (f *failures) UncountFailedJob(id string) { delete(f.countedFailedJobs, id) }

// RecordTaskSuccess records that a task has completed on the machine. This shows that the machine
// wasn't the cause of earlier failures, so these no longer count against it. A machine that is
// already quarantined remains quarantined.
func (f *failures) RecordTaskSuccess() {
	if !f.isFaulty() {
		clear(f.countedFailedJobs)
	}
}

// isFaulty reports whether enough failed jobs count against the machine for a quarantine.
func (f *failures) isFaulty() bool { return len(f.countedFailedJobs) >= tuning.FaultyMachineJobs }
