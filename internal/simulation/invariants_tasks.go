package simulation

import (
	"slices"
	"time"

	"switchshore.example/switchshore/wire"
)

// CheckCommands checks that a leader's commands do not start a task of a job whose user was told
// that it is cancelled.
func (c *InvariantChecker) CheckCommands(now time.Time, commands []wire.Command) error {
	for _, command := range commands {
		j := c.jobOf(command.Task)
		if command.Op == wire.OpStart && j != nil && j.isCancelled() {
			return violated(NoStartWhenCancelled, "start of %s commanded %v after the cancellation was confirmed", command.Task, now.Sub(j.cancelConfirmedAt))
		}
	}
	return nil
}

// CheckTasks checks the tasks on all machines, and in addition those that have started since the
// last call.
func (c *InvariantChecker) CheckTasks(now time.Time, agents []*Agent) error {
	executing, err := c.executingTasks(now, agents)
	if err != nil {
		return err
	}
	machines := map[string]*Agent{}
	for _, a := range agents {
		machines[a.ID] = a
	}
	zones, err := c.checkExecuting(now, executing, machines)
	if err != nil {
		return err
	}
	for task, machine := range executing {
		if c.taskMachine[task] == machine {
			continue
		}
		c.startCount++
		job := c.jobOf(task).job
		if err := c.checkStart(task, job, machines[machine], zones[job.ID]); err != nil {
			return err
		}
	}
	c.taskMachine = executing
	return nil
}

// executingTasks returns the machines of the executing tasks, by task, and records the tasks that
// have completed.
func (c *InvariantChecker) executingTasks(now time.Time, agents []*Agent) (map[string]string, error) {
	executing := map[string]string{}
	for _, a := range agents {
		if now.After(a.LeaseEnd) {
			// An agent whose lease expired while it hung kills all its tasks before it does
			// anything else.
			continue
		}
		for _, t := range a.sortedTasks() {
			if t.State == wire.TaskExited && t.ExitReason == wire.ExitDone {
				c.recordCompletion(t.Name)
			}
			if !t.IsExecuting() {
				continue
			}
			if other, twice := executing[t.Name]; twice {
				return nil, violated(RunsOnce, "%s on %s and %s", t.Name, other, a.ID)
			}
			executing[t.Name] = a.ID
		}
	}
	return executing, nil
}

func (c *InvariantChecker) recordCompletion(task string) {
	j := c.jobOf(task)
	j.completedTasks[task] = true
	if len(j.completedTasks) < j.job.Tasks || j.completed {
		return
	}
	j.completed = true
	if c.OnJobCompleted != nil {
		c.OnJobCompleted(j.job.ID)
	}
}

// checkExecuting checks cancellations and the teams' limits, and returns the number of executing
// tasks by job and zone.
func (c *InvariantChecker) checkExecuting(now time.Time, executing map[string]string, machines map[string]*Agent) (map[string]map[string]int, error) {
	usedCPUs := map[string]float64{} // by team
	zones := map[string]map[string]int{}
	for task, machine := range executing {
		j := c.jobOf(task)
		usedCPUs[j.job.Team] += j.job.CPUs
		if zones[j.job.ID] == nil {
			zones[j.job.ID] = map[string]int{}
		}
		zones[j.job.ID][machines[machine].Machine.Zone]++
		if j.isCancelled() && now.Sub(j.cancelConfirmedAt) > c.CancelDeadline {
			return nil, violated(StoppedWhenCancelled, "%s on %s", task, machine)
		}
	}
	for _, team := range c.Teams {
		if used := usedCPUs[team.Name]; team.CPUsMax > 0 && used > team.CPUsMax+roundingTolerance {
			return nil, violated(WithinQuota, "%s uses %v of %v", team.Name, used, team.CPUsMax)
		}
	}
	return zones, nil
}

// checkStart checks that a task was allowed to start on a machine at this time; zones counts the
// executing tasks of the job by zone, including this one.
func (c *InvariantChecker) checkStart(task string, job *wire.Job, a *Agent, zones map[string]int) error {
	switch {
	case !allowsMachine(job, a):
		return violated(PlacedAsRequired, "%s on %s", task, a.ID)
	case !c.allCompleted(job.DependsOn):
		return violated(DependenciesFirst, "%s on %s before %v are done", task, a.ID, job.DependsOn)
	case job.OneZone && len(zones) > 1:
		return violated(PlacedAsRequired, "%s, a job for one zone, in %v", task, zones)
	case job.SpreadZones && zones[a.Machine.Zone] > maxPerZone(job):
		return violated(PlacedAsRequired, "%s, a job to be spread, in %v", task, zones)
	}
	return nil
}

// allowsMachine reports whether a job may run on a machine of this type and zone, spot or not.
func allowsMachine(job *wire.Job, a *Agent) bool {
	switch {
	case a.Machine.Spot && !job.Spot:
		return false
	case job.Zone != "" && job.Zone != a.Machine.Zone:
		return false
	}
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, a.Machine.Type)
}

// maxPerZone returns the maximum number of tasks in one zone for a job that is spread over zones.
func maxPerZone(job *wire.Job) int { return (job.Tasks + 1) / 2 }

// allCompleted reports whether all tasks of the jobs have completed.
func (c *InvariantChecker) allCompleted(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return c.jobs[id] == nil || !c.jobs[id].allTasksCompleted() })
}
