package simulation

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

const (
	// maxWait is the maximum time for which a job may wait while it could start, after the end of
	// all faults.
	maxWait           = 90 * time.Second
	waitCheckInterval = time.Second
)

// waitRecord holds since when a job has waited, and how many of its tasks machines listed at the
// last check.
type waitRecord struct {
	since       time.Time
	listedTasks int
}

// CheckNoStarvation returns a violation if a task of a job has waited for more than maxWait,
// without the start of any other task of the job, while a suitable machine had capacity and the
// team was below its limit. It checks at most once a second, and must be called only after the end
// of all faults.
func (c *InvariantChecker) CheckNoStarvation(now time.Time, agents []*Agent) error {
	if now.Sub(c.lastWaitCheck) < waitCheckInterval {
		return nil
	}
	c.lastWaitCheck = now
	o := c.newOccupancy(agents)
	for id, j := range c.jobs {
		if !c.canStart(now, agents, o, j) {
			delete(c.waiting, id)
			continue
		}
		listed := len(o.listed[id])
		start, waited := c.waiting[id]
		if !waited || listed > start.listedTasks {
			c.waiting[id] = waitRecord{now, listed}
			continue
		}
		c.waiting[id] = waitRecord{start.since, listed}
		if wait := now.Sub(start.since); wait > maxWait {
			return violated(NoStarvation, "%s for %v although a machine has capacity", id, wait)
		}
	}
	return nil
}

// canStart reports whether a task of a job waits and can start now.
func (c *InvariantChecker) canStart(now time.Time, agents []*Agent, o occupancy, j *observedJob) bool {
	if !c.hasWaitingTask(j, o.listed[j.job.ID]) || !c.withinTeamLimit(j.job, o.usedCPUs) {
		return false
	}
	return slices.ContainsFunc(agents, func(a *Agent) bool { return o.fits(now, a, j.job) })
}

// hasWaitingTask reports whether a job has a task that has neither completed nor is listed by a
// machine. Tasks that completed on a lost machine may have to run again, so a job without listed
// tasks has a waiting task unless its user was told that it is done.
func (c *InvariantChecker) hasWaitingTask(j *observedJob, listed map[string]bool) bool {
	if !j.accepted || j.cancelRequested || j.reportedDone || !c.allReportedDone(j.job.DependsOn) {
		return false
	}
	if len(listed) == 0 {
		return true
	}
	startedOrCompleted := len(j.completedTasks)
	for task := range listed {
		if !j.completedTasks[task] {
			startedOrCompleted++
		}
	}
	return startedOrCompleted < j.job.Tasks
}

// allReportedDone reports whether the users of all the jobs were told that they are done.
func (c *InvariantChecker) allReportedDone(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !c.IsReportedDone(id) })
}

// withinTeamLimit reports whether one more task of a job fits into its team's limit.
func (c *InvariantChecker) withinTeamLimit(job *wire.Job, usedCPUs map[string]float64) bool {
	return slices.ContainsFunc(c.Teams, func(t config.Team) bool {
		return t.Name == job.Team && (t.CPUsMax == 0 || usedCPUs[t.Name]+job.CPUs <= t.CPUsMax)
	})
}

// occupancy sums up the tasks that machines list and that have not exited, including those that
// fetch their image.
type occupancy struct {
	listed   map[string]map[string]bool // tasks, by job
	zones    map[string]map[string]int  // number of tasks, by job and zone
	usedCPUs map[string]float64         // by team
	free     map[*Agent]placement.Resources
}

// newOccupancy returns the occupancy of all machines.
func (c *InvariantChecker) newOccupancy(agents []*Agent) occupancy {
	o := occupancy{
		listed: map[string]map[string]bool{}, zones: map[string]map[string]int{},
		usedCPUs: map[string]float64{}, free: map[*Agent]placement.Resources{},
	}
	for _, a := range agents {
		o.free[a] = placement.Resources{CPUs: a.Type.CPUs, GPUs: a.Type.GPUs, MemoryGB: a.Type.MemoryGB}
		for _, t := range a.Tasks {
			if t.State != wire.TaskExited {
				o.add(a, t.Name, c.jobOf(t.Name).job)
			}
		}
	}
	return o
}

// add counts a task on a machine.
func (o occupancy) add(a *Agent, task string, job *wire.Job) {
	if o.listed[job.ID] == nil {
		o.listed[job.ID], o.zones[job.ID] = map[string]bool{}, map[string]int{}
	}
	o.listed[job.ID][task] = true
	o.zones[job.ID][a.Machine.Zone]++
	o.usedCPUs[job.Team] += job.CPUs
	o.free[a] = o.free[a].Add(taskResources(job), -1)
}

// taskResources returns the resources that one task of a job uses.
func taskResources(job *wire.Job) placement.Resources {
	return placement.Resources{CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}
}

// fits reports whether one more task of a job can start on a machine now.
func (o occupancy) fits(now time.Time, a *Agent, job *wire.Job) bool {
	zone, zones := a.Machine.Zone, o.zones[job.ID]
	switch {
	case a.Faulty, a.ReclaimNotice != nil, now.After(a.LeaseEnd):
		return false
	case !allowsMachine(job, a):
		return false
	case job.OneZone && len(zones) > 0 && zones[zone] == 0:
		return false
	case job.SpreadZones && zones[zone] >= maxPerZone(job):
		return false
	}
	return o.free[a].Fits(taskResources(job))
}
