package machines

import "switchshore.example/switchshore/internal/tuning"

// failures is what is known of the jobs whose tasks have failed on a machine.
type failures struct {
	avoidedJobs map[string]bool // a task has failed here at any time
	failedJobs  map[string]bool // in a row, and not by a fault of the job
}

// AvoidJob notes that a task of the job has failed here.
func (f *failures) AvoidJob(id string) { f.avoidedJobs[id] = true }

// Avoids reports whether a task of the job has failed here.
func (f *failures) Avoids(id string) bool { return f.avoidedJobs[id] }

// AvoidedJobs are the jobs of which a task has failed here. The map is the machine's own: it
// must not be modified.
func (f *failures) AvoidedJobs() map[string]bool { return f.avoidedJobs }

// AddFailedJob counts a job whose failure seems to be the fault of the machine, and reports
// whether the machine is quarantined by it.
func (f *failures) AddFailedJob(id string) (quarantined bool) {
	was := f.isFaulty()
	f.failedJobs[id] = true
	return f.isFaulty() && !was
}

// RemoveFailedJob no longer counts a job that fails everywhere.
func (f *failures) RemoveFailedJob(id string) { delete(f.failedJobs, id) }

// RecordTaskSuccess notes that a task has completed: unless the machine is quarantined already,
// what has failed before was not its fault.
func (f *failures) RecordTaskSuccess() {
	if !f.isFaulty() {
		clear(f.failedJobs)
	}
}

// isFaulty reports whether tasks of several jobs have failed here in a row.
func (f *failures) isFaulty() bool { return len(f.failedJobs) >= tuning.QuarantineJobs }
