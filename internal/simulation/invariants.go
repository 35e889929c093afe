package simulation

import (
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// InvariantChecker checks the protocol's rules after every step.
type InvariantChecker struct {
	Teams          []config.Team
	CancelDeadline time.Duration

	jobs        map[string]*observedJob
	taskMachine map[string]string // task -> machine, while it is on it
	startCount  int
	// OnJobCompleted, if set, is told of every job whose last task has just completed.
	OnJobCompleted func(id string)
	// waiting is since when jobs wait although they could start, lookedAt when
	// that was looked at last.
	waiting       map[string]waitStart
	lastWaitCheck time.Time
}

type observedJob struct {
	job               *wire.Job
	accepted          bool
	cancelRequested   bool
	cancelConfirmedAt time.Time // when its user was told
	reportedDone      bool      // its user was told
	finishedTasks     map[string]bool
	completed         bool // all tasks have completed
	lastResponseAt    time.Time
	lastSuccessAt     time.Time // when a question about it was last answered
}

// dependencyCancelled reports whether the user's cancellation of a job before this one,
// through any number of steps, was asked for, and since when its user has been
// told of one, zero if of none.
func (c *InvariantChecker) dependencyCancelled(t *observedJob) (asked bool, told time.Time) {
	for _, id := range t.job.DependsOn {
		need := c.jobs[id]
		if need == nil {
			continue
		}
		a, at := c.dependencyCancelled(need)
		asked = asked || a || need.cancelRequested && !need.reportedDone
		if need.cancelRequested && !need.cancelConfirmedAt.IsZero() && (at.IsZero() || need.cancelConfirmedAt.Before(at)) {
			at = need.cancelConfirmedAt
		}
		if !at.IsZero() && (told.IsZero() || at.Before(told)) {
			told = at
		}
	}
	return asked, told
}

// maxUnanswered is for how long no question about a job may go unanswered once
// all faults are over.
const maxUnanswered = 75 * time.Second

// CheckJobsAnswered finds an accepted job about which no question has been answered
// for long, however others fare; settled is when all faults were over.
func (c *InvariantChecker) CheckJobsAnswered(now, settled time.Time) error {
	if now.Sub(settled) < maxUnanswered {
		return nil
	}
	for id, t := range c.jobs {
		if t.accepted && !t.cancelRequested && now.Sub(t.lastSuccessAt) > maxUnanswered {
			return fmt.Errorf("forgotten: no question about %s answered for %v", id, now.Sub(t.lastSuccessAt))
		}
	}
	return nil
}

// NewInvariantChecker returns a checker.
func NewInvariantChecker(teams []config.Team, cancel time.Duration) *InvariantChecker {
	return &InvariantChecker{Teams: teams, CancelDeadline: cancel, jobs: map[string]*observedJob{}, taskMachine: map[string]string{}, waiting: map[string]waitStart{}}
}

// JobSubmitted notes that a user submits a job.
func (c *InvariantChecker) JobSubmitted(j *wire.Job) {
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &observedJob{job: j, finishedTasks: map[string]bool{}}
	}
}

// CancellationRequested notes that a user asks for a job's cancellation.
func (c *InvariantChecker) CancellationRequested(id string) { c.jobs[id].cancelRequested = true }

// ResponseReceived checks what a user is told of a job by an answer that left its node at
// the given time, in the order in which the user has the answers of all nodes; one
// that left before the user had the last one crossed it, and says nothing.
func (c *InvariantChecker) ResponseReceived(now, given time.Time, id string, status int, state string, submission bool) error {
	t := c.jobs[id]
	if t != nil {
		if given.Before(t.lastResponseAt) {
			return nil
		}
		defer func() { t.lastResponseAt = now }()
	}
	if t == nil {
		if status/100 == 2 {
			return fmt.Errorf("invented: %s answered %d", id, status)
		}
		return nil
	}
	if t.accepted && (status == 404 || submission && (status == 400 || status == 422)) {
		return fmt.Errorf("forgotten: %s answered %d", id, status)
	}
	if status/100 != 2 {
		return nil
	}
	t.lastSuccessAt = now
	t.accepted = true
	asked, told := c.dependencyCancelled(t)
	switch {
	case t.reportedDone && state != wire.JobDone, !t.cancelConfirmedAt.IsZero() && state != wire.JobCancelled:
		return fmt.Errorf("went_back: %s is called %s", id, state)
	case state == wire.JobCancelled && !t.cancelRequested && !asked:
		return fmt.Errorf("went_back: %s is called cancelled, and its user did not cancel it", id)
	case (state == wire.JobQueued || state == wire.JobRunning) && !told.IsZero() && now.Sub(told) > c.CancelDeadline:
		return fmt.Errorf("orphaned: %s is called %s %v after a job before it was cancelled", id, state, now.Sub(told))
	case state == wire.JobCancelled && t.cancelConfirmedAt.IsZero():
		t.cancelConfirmedAt = now
	case state == wire.JobDone:
		if len(t.finishedTasks) != t.job.Tasks {
			return fmt.Errorf("not_done: %s is called done with %d of %d tasks", id, len(t.finishedTasks), t.job.Tasks)
		}
		t.reportedDone = true
	}
	return nil
}

// CheckTasks compares the tasks on all machines with the step before.
func (c *InvariantChecker) CheckTasks(now time.Time, workers []*Agent) error {
	on, err := c.executingTasks(now, workers)
	if err != nil {
		return err
	}
	used := map[string]float64{}
	zones := map[string]map[string]int{}
	byID := map[string]*Agent{}
	for _, w := range workers {
		byID[w.ID] = w
	}
	for task, machine := range on {
		id, _, _ := wire.SplitTask(task)
		t := c.jobs[id]
		used[t.job.Team] += t.job.CPUs
		if zones[id] == nil {
			zones[id] = map[string]int{}
		}
		zones[id][byID[machine].Machine.Zone]++
		if !t.cancelConfirmedAt.IsZero() && now.Sub(t.cancelConfirmedAt) > c.CancelDeadline {
			return fmt.Errorf("ran_cancelled: %s on %s", task, machine)
		}
	}
	for _, team := range c.Teams {
		if team.CPUsMax > 0 && used[team.Name] > team.CPUsMax+1e-6 {
			return fmt.Errorf("quota: %s uses %v of %v", team.Name, used[team.Name], team.CPUsMax)
		}
	}
	for task, machine := range on {
		if c.taskMachine[task] == machine {
			continue
		}
		c.startCount++
		id, _, _ := wire.SplitTask(task)
		if err := c.checkStart(task, c.jobs[id].job, byID[machine], zones[id]); err != nil {
			return err
		}
	}
	c.taskMachine = on
	return nil
}

// executingTasks are the tasks that are on machines, by name, with the machine of each. It notes
// those that have completed.
func (c *InvariantChecker) executingTasks(now time.Time, workers []*Agent) (map[string]string, error) {
	on := map[string]string{}
	for _, w := range workers {
		if now.After(w.LeaseEnd) {
			// A hanging machine whose lease has run out kills all it holds
			// before it does anything else.
			continue
		}
		for _, t := range w.sortedTasks() {
			if t.State == wire.TaskExited && t.ExitReason == wire.ExitDone {
				c.taskCompleted(t.Name)
			}
			if !t.IsExecuting() {
				continue
			}
			if other, twice := on[t.Name]; twice {
				return nil, fmt.Errorf("ran_twice: %s on %s and %s", t.Name, other, w.ID)
			}
			on[t.Name] = w.ID
		}
	}
	return on, nil
}

func (c *InvariantChecker) taskCompleted(task string) {
	id, _, _ := wire.SplitTask(task)
	t := c.jobs[id]
	t.finishedTasks[task] = true
	if len(t.finishedTasks) < t.job.Tasks || t.completed {
		return
	}
	t.completed = true
	if c.OnJobCompleted != nil {
		c.OnJobCompleted(id)
	}
}

// checkStart checks the place and the time of a start; zones counts the tasks of the job
// that are on machines, this one included.
func (c *InvariantChecker) checkStart(task string, j *wire.Job, w *Agent, zones map[string]int) error {
	switch {
	case w.Machine.Spot && !j.Spot, j.Zone != "" && j.Zone != w.Machine.Zone,
		len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, w.Machine.Type):
		return fmt.Errorf("wrong_place: %s on %s", task, w.ID)
	case !c.allFinished(j.DependsOn):
		return fmt.Errorf("too_early: %s on %s before %v are done", task, w.ID, j.DependsOn)
	case j.OneZone && len(zones) > 1:
		return fmt.Errorf("wrong_place: %s, a job for one zone, in %v", task, zones)
	case j.SpreadZones && zones[w.Machine.Zone] > (j.Tasks+1)/2:
		return fmt.Errorf("wrong_place: %s, a job to be spread, in %v", task, zones)
	}
	return nil
}

// allFinished reports whether all tasks of the jobs have completed.
func (c *InvariantChecker) allFinished(ids []string) bool {
	for _, id := range ids {
		if t := c.jobs[id]; t == nil || len(t.finishedTasks) != t.job.Tasks {
			return false
		}
	}
	return true
}

// Accepted reports whether the users of all the jobs were told of their
// acceptance.
func (c *InvariantChecker) Accepted(ids []string) bool {
	for _, id := range ids {
		if t := c.jobs[id]; t == nil || !t.accepted {
			return false
		}
	}
	return true
}

// Unfinished lists accepted jobs that were neither cancelled nor completed.
func (c *InvariantChecker) Unfinished() []string {
	var out []string
	for id, t := range c.jobs {
		if t.accepted && !t.cancelRequested && !t.reportedDone && t.cancelConfirmedAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// CheckCommands checks the commands that a controller gives now: no start of a job whose
// user was told that it is cancelled.
func (c *InvariantChecker) CheckCommands(now time.Time, commands []wire.Command) error {
	for _, command := range commands {
		id, _, _ := wire.SplitTask(command.Task)
		if t := c.jobs[id]; command.Op == wire.OpStart && t != nil && !t.cancelConfirmedAt.IsZero() {
			return fmt.Errorf("started_cancelled: a start of %s is ordered %v after the confirmation", command.Task, now.Sub(t.cancelConfirmedAt))
		}
	}
	return nil
}

// MachinesRunning lists the machines that tasks of a job are on.
func (c *InvariantChecker) MachinesRunning(id string) []string {
	var out []string
	for task, machine := range c.taskMachine {
		if job, _, _ := wire.SplitTask(task); job == id && !slices.Contains(out, machine) {
			out = append(out, machine)
		}
	}
	slices.Sort(out)
	return out
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

// CancelledCount is the number of jobs whose users were told that they are cancelled.
func (c *InvariantChecker) CancelledCount() int {
	n := 0
	for _, t := range c.jobs {
		if !t.cancelConfirmedAt.IsZero() {
			n++
		}
	}
	return n
}

// HasCancellationRequest reports whether a job's user has asked for its cancellation.
func (c *InvariantChecker) HasCancellationRequest(id string) bool { return c.jobs[id].cancelRequested }

// TaskSettled reports whether a task is not to run any more: it has completed, or its job was called
// off or is done.
func (c *InvariantChecker) TaskSettled(task string) bool {
	id, _, _ := wire.SplitTask(task)
	t := c.jobs[id]
	return t == nil || t.cancelRequested || t.reportedDone || t.finishedTasks[task]
}

// ReportedDone reports whether a job's user was told that it is done.
func (c *InvariantChecker) ReportedDone(id string) bool { return c.jobs[id].reportedDone }

// StartCount is the number of starts seen.
func (c *InvariantChecker) StartCount() int { return c.startCount }
