package machines

import "switchshore.example/switchshore/internal/tuning"

// failures holds the jobs whose tasks have failed on a machine.
type failures struct {
	avoidedJobs       map[string]bool // IDs of all jobs with a failed task
	countedFailedJobs map[string]bool // IDs of jobs whose failures count against the machine
}

// AvoidJob records that a task of the job has failed on the machine. No further tasks of the job
// are placed there.
func (f *failures) AvoidJob(id string) { f.avoidedJobs[id] = true }

// AvoidsJob reports whether a task of the job has failed on the machine.
func (f *failures) AvoidsJob(id string) bool { return f.avoidedJobs[id] }

// AvoidedJobs returns the IDs of the jobs with a failed task on the machine. The caller must not
// modify the map.
func (f *failures) AvoidedJobs() map[string]bool { return f.avoidedJobs }

// CountFailedJob counts a failed job against the machine. It returns true if the machine is
// quarantined as a result, which means that it is cordoned as faulty.
func (f *failures) CountFailedJob(id string) (quarantined bool) {
	wasFaulty := f.isFaulty()
	f.countedFailedJobs[id] = true
	return f.isFaulty() && !wasFaulty
}

// UncountFailedJob removes a job from those that count against the machine. It is called for a job
// that fails on other machines as well.
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
