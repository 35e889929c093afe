package machines

import "switchshore.example/switchshore/internal/tuning"

// failures holds the jobs whose tasks have failed on a machine.
type failures struct {
	avoidedJobs       map[string]bool // IDs of all jobs with a failed task
	countedFailedJobs map[string]bool // IDs of jobs that failed in a row, probably because of the machine
}

// AvoidJob records that a task of the job has failed on the machine.
func (f *failures) AvoidJob(id string) { f.avoidedJobs[id] = true }

// AvoidsJob reports whether a task of the job has failed on the machine.
func (f *failures) AvoidsJob(id string) bool { return f.avoidedJobs[id] }

// AvoidedJobs returns the IDs of the jobs with a failed task on the machine. The caller must not
// modify the map.
func (f *failures) AvoidedJobs() map[string]bool { return f.avoidedJobs }

// CountFailedJob adds a job whose failure the machine has probably caused, and reports whether the
// machine becomes quarantined by it.
func (f *failures) CountFailedJob(id string) (quarantined bool) {
	wasFaulty := f.isFaulty()
	f.countedFailedJobs[id] = true
	return f.isFaulty() && !wasFaulty
}

// UncountFailedJob removes a job that fails on other machines as well.
func (f *failures) UncountFailedJob(id string) { delete(f.countedFailedJobs, id) }

// RecordTaskSuccess records that a task has completed, which shows that the machine wasn't the
// cause of earlier failures. A machine that is quarantined already stays so.
func (f *failures) RecordTaskSuccess() {
	if !f.isFaulty() {
		clear(f.countedFailedJobs)
	}
}

// isFaulty reports whether tasks of so many jobs have failed in a row that the machine counts as
// faulty.
func (f *failures) isFaulty() bool { return len(f.countedFailedJobs) >= tuning.FaultyMachineJobs }
