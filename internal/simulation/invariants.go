package simulation

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// InvariantChecker checks the protocol's invariants after every event, from the responses to users
// and the state of the agents.
type InvariantChecker struct {
	Teams          []config.Team
	CancelDeadline time.Duration
	// OnJobCompleted, if set, is called when the last task of a job completes.
	OnJobCompleted func(id string)

	jobs        map[string]*observedJob
	taskMachine map[string]string // machine by executing task
	startCount  int
	// storedCompletions holds the completed tasks in each stored record of completions, by key.
	storedCompletions map[string]map[int]bool
	// waiting holds the jobs that wait although they could start.
	waiting       map[string]waitRecord
	lastWaitCheck time.Time
}

// observedJob is the state of a submitted job as observed by users and on agents.
type observedJob struct {
	job               *wire.Job
	accepted          bool
	cancelRequested   bool
	cancelConfirmedAt time.Time // zero if not confirmed
	reportedDone      bool
	completedTasks    map[string]bool
	completed         bool // all tasks have completed
	lastResponseAt    time.Time
	lastSuccessAt     time.Time
}

// isCancelled reports whether the user was told that the job is cancelled.
func (j *observedJob) isCancelled() bool { return !j.cancelConfirmedAt.IsZero() }

// allTasksCompleted reports whether every task of the job has completed.
func (j *observedJob) allTasksCompleted() bool { return len(j.completedTasks) == j.job.Tasks }

// NewInvariantChecker returns a checker without jobs.
func NewInvariantChecker(teams []config.Team, cancelDeadline time.Duration) *InvariantChecker {
	return &InvariantChecker{
		Teams: teams, CancelDeadline: cancelDeadline,
		jobs: map[string]*observedJob{}, taskMachine: map[string]string{}, waiting: map[string]waitRecord{},
		storedCompletions: map[string]map[int]bool{},
	}
}

// jobOf returns the job of a task, or nil if it was not submitted.
func (c *InvariantChecker) jobOf(task string) *observedJob {
	id, _, _ := wire.SplitTask(task)
	return c.jobs[id]
}

// RecordSubmission records that a user submits a job.
func (c *InvariantChecker) RecordSubmission(job *wire.Job) {
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &observedJob{job: job, completedTasks: map[string]bool{}}
	}
}

// RecordCancellationRequest records that a user requests a job's cancellation.
func (c *InvariantChecker) RecordCancellationRequest(id string) { c.jobs[id].cancelRequested = true }

// HasCancellationRequest reports whether a job's user has requested its cancellation.
func (c *InvariantChecker) HasCancellationRequest(id string) bool { return c.jobs[id].cancelRequested }

// AllAccepted reports whether the users of all the jobs were told that they are accepted.
func (c *InvariantChecker) AllAccepted(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return c.jobs[id] == nil || !c.jobs[id].accepted })
}

// IsReportedDone reports whether a job's user was told that it is done.
func (c *InvariantChecker) IsReportedDone(id string) bool { return c.jobs[id].reportedDone }

// CancelledCount returns the number of jobs whose users were told that they are cancelled.
func (c *InvariantChecker) CancelledCount() int {
	count := 0
	for _, j := range c.jobs {
		if j.isCancelled() {
			count++
		}
	}
	return count
}

// UnfinishedJobs returns the sorted ids of the accepted jobs that were neither cancelled nor
// reported done.
func (c *InvariantChecker) UnfinishedJobs() []string {
	var ids []string
	for id, j := range c.jobs {
		if j.accepted && !j.cancelRequested && !j.reportedDone && !j.isCancelled() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// IsTaskEnded reports whether a task must not run any more: it has completed, its cancellation was
// requested, or its job was reported done.
func (c *InvariantChecker) IsTaskEnded(task string) bool {
	j := c.jobOf(task)
	return j == nil || j.cancelRequested || j.reportedDone || j.completedTasks[task]
}

// MachinesOfJob returns the sorted names of the machines that execute tasks of a job.
func (c *InvariantChecker) MachinesOfJob(id string) []string {
	var machines []string
	for task, machine := range c.taskMachine {
		if job, _, _ := wire.SplitTask(task); job == id && !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// HasTasksOn reports whether a machine executes a task.
func (c *InvariantChecker) HasTasksOn(machine string) bool {
	for _, m := range c.taskMachine {
		if m == machine {
			return true
		}
	}
	return false
}

// StartCount returns the number of observed starts of tasks.
func (c *InvariantChecker) StartCount() int { return c.startCount }
