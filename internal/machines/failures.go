package machines

import "switchshore.example/switchshore/internal/tuning"

// failures holds the jobs whose tasks have failed on a machine.
type failures struct {
	excludedJobs      map[string]bool // IDs of all jobs with a failed task
	countedFailedJobs map[string]bool // IDs of jobs whose failures count against the machine
}

// ExcludeJob records that a task of the job has failed on the machine. No further tasks of the job
// are placed there.
func (f *failures) ExcludeJob(id string) { f.excludedJobs[id] = true }

// ExcludesJob reports whether a task of the job has failed on the machine.
func (f *failures) ExcludesJob(id string) bool { return f.excludedJobs[id] }

// ExcludedJobs returns the IDs of the jobs with a failed task on the machine. The caller must not
// modify the map.
func (f *failures) ExcludedJobs() map[string]bool { return f.excludedJobs }

// CountFailedJob counts a failed job against the machine. It returns true if the machine is
// quarantined as a result, which means that it is cordoned as faulty.
func (f *failures) CountFailedJob(id string) (quarantined bool) {
	wasFaulty := f.isFaulty()
	f.countedFailedJobs[id] = true
	return f.isFaulty() && !wasFaulty
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
