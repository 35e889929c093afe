package simulation

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// InvariantChecker checks the protocol's invariants after every event, from what users and agents
// observe.
type InvariantChecker struct {
	Teams          []config.Team
	CancelDeadline time.Duration
	// OnJobCompleted, if set, is called with every job whose last task has just completed.
	OnJobCompleted func(id string)

	jobs        map[string]*observedJob
	taskMachine map[string]string // machine by task that is on it
	startCount  int
	// waiting are the jobs that wait although they could start.
	waiting       map[string]waitRecord
	lastWaitCheck time.Time
}

// observedJob is what the users and agents know about a submitted job.
type observedJob struct {
	job               *wire.Job
	accepted          bool
	cancelRequested   bool
	cancelConfirmedAt time.Time // zero if it is not
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

// NewInvariantChecker returns a checker that knows no jobs.
func NewInvariantChecker(teams []config.Team, cancelDeadline time.Duration) *InvariantChecker {
	return &InvariantChecker{
		Teams: teams, CancelDeadline: cancelDeadline,
		jobs: map[string]*observedJob{}, taskMachine: map[string]string{}, waiting: map[string]waitRecord{},
	}
}

// jobOf is the job of a task, nil if nobody submitted it.
func (c *InvariantChecker) jobOf(task string) *observedJob {
	id, _, _ := wire.SplitTask(task)
	return c.jobs[id]
}

// RecordSubmission notes that a user submits a job.
func (c *InvariantChecker) RecordSubmission(job *wire.Job) {
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &observedJob{job: job, completedTasks: map[string]bool{}}
	}
}

// RecordCancellationRequest notes that a user requests a job's cancellation.
func (c *InvariantChecker) RecordCancellationRequest(id string) { c.jobs[id].cancelRequested = true }

// HasCancellationRequest reports whether a job's user has requested its cancellation.
func (c *InvariantChecker) HasCancellationRequest(id string) bool { return c.jobs[id].cancelRequested }

// AllAccepted reports whether the users of all the jobs were told of their acceptance.
func (c *InvariantChecker) AllAccepted(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return c.jobs[id] == nil || !c.jobs[id].accepted })
}

// IsReportedDone reports whether a job's user was told that it is done.
func (c *InvariantChecker) IsReportedDone(id string) bool { return c.jobs[id].reportedDone }

// CancelledCount is the number of jobs whose users were told that they are cancelled.
func (c *InvariantChecker) CancelledCount() int {
	count := 0
	for _, j := range c.jobs {
		if j.isCancelled() {
			count++
		}
	}
	return count
}

// UnfinishedJobs are the accepted jobs that were neither cancelled nor reported done, in order.
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

// IsTaskEnded reports whether a task is not to run any more: it has completed, or its job was
// cancelled or is done.
func (c *InvariantChecker) IsTaskEnded(task string) bool {
	j := c.jobOf(task)
	return j == nil || j.cancelRequested || j.reportedDone || j.completedTasks[task]
}

// MachinesOfJob are the machines that tasks of a job are on, in order.
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

// HasTasksOn reports whether a task is on a machine.
func (c *InvariantChecker) HasTasksOn(machine string) bool {
	for _, m := range c.taskMachine {
		if m == machine {
			return true
		}
	}
	return false
}

// StartCount is the number of starts observed.
func (c *InvariantChecker) StartCount() int { return c.startCount }
