package simulation

import (
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// maxWait is for how long a job may wait while it could start, once all
// faults are over.
const maxWait = 90 * time.Second

// CheckNoStarvation finds a job of which a task has waited for long, without the start of any
// other of the job, while a machine that fits had room and its team was under its limit.
// It is to be asked only once all faults are over, and looks once a second.
func (c *InvariantChecker) CheckNoStarvation(now time.Time, workers []*Agent) error {
	if now.Sub(c.lastWaitCheck) < time.Second {
		return nil
	}
	c.lastWaitCheck = now
	o := c.occupancy(workers)
	for id, t := range c.jobs {
		if !c.hasWaitingTask(t, o.listed[id]) || !c.withinTeamLimit(t.job, o.used) || !slices.ContainsFunc(workers, func(w *Agent) bool { return o.admits(now, w, t.job) }) {
			delete(c.waiting, id)
			continue
		}
		started := len(o.listed[id])
		since, ok := c.waiting[id]
		if !ok || started > since.listedTasks {
			c.waiting[id] = waitStart{now, started}
			continue
		}
		c.waiting[id] = waitStart{since.since, started}
		if waited := now.Sub(since.since); waited > maxWait {
			return fmt.Errorf("left_waiting: %s for %v, though a machine has room", id, waited)
		}
	}
	return nil
}

// waitStart is since when a job has waited, and how many of its tasks were on
// machines when that was looked at last.
type waitStart struct {
	since       time.Time
	listedTasks int
}

// hasWaitingTask reports whether a task of a job is to be started: one that has neither completed
// nor is listed by a machine. What completed on a machine that was lost may have to run
// again, so as long as nothing is listed, what its user was told counts.
func (c *InvariantChecker) hasWaitingTask(t *observedJob, listed map[string]bool) bool {
	if !t.accepted || t.cancelRequested || t.reportedDone || !c.allReportedDone(t.job.DependsOn) {
		return false
	}
	if len(listed) == 0 {
		return true
	}
	there := len(t.finishedTasks)
	for task := range listed {
		if !t.finishedTasks[task] {
			there++
		}
	}
	return there < t.job.Tasks
}

// occupancy is what machines list that has not exited, tasks that fetch their image
// included.
type occupancy struct {
	listed map[string]map[string]bool // tasks, by job
	zones  map[string]map[string]int  // number of tasks, by job and zone
	used   map[string]float64         // CPUs, by team
	free   map[*Agent]placement.Resources
}

func (c *InvariantChecker) occupancy(workers []*Agent) occupancy {
	o := occupancy{map[string]map[string]bool{}, map[string]map[string]int{}, map[string]float64{}, map[*Agent]placement.Resources{}}
	for _, w := range workers {
		room := placement.Resources{CPUs: w.Type.CPUs, GPUs: w.Type.GPUs, MemoryGB: w.Type.MemoryGB}
		for _, t := range w.Tasks {
			if t.State == wire.TaskExited {
				continue
			}
			id, _, _ := wire.SplitTask(t.Name)
			j := c.jobs[id].job
			if o.listed[id] == nil {
				o.listed[id], o.zones[id] = map[string]bool{}, map[string]int{}
			}
			o.listed[id][t.Name] = true
			o.zones[id][w.Machine.Zone]++
			o.used[j.Team] += j.CPUs
			room = room.Add(taskResources(j), -1)
		}
		o.free[w] = room
	}
	return o
}

func taskResources(j *wire.Job) placement.Resources {
	return placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// admits reports whether one more task of a job could start on a machine now.
func (o occupancy) admits(now time.Time, w *Agent, j *wire.Job) bool {
	zone, zones := w.Machine.Zone, o.zones[j.ID]
	switch {
	case w.Faulty, w.ReclaimNotice != nil, now.After(w.LeaseEnd):
		return false
	case w.Machine.Spot && !j.Spot, j.Zone != "" && j.Zone != zone:
		return false
	case len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, w.Machine.Type):
		return false
	case j.OneZone && len(zones) > 0 && zones[zone] == 0:
		return false
	case j.SpreadZones && zones[zone] >= (j.Tasks+1)/2:
		return false
	}
	return o.free[w].Fits(taskResources(j))
}

// allReportedDone reports whether the users of all the jobs were told that they are done.
func (c *InvariantChecker) allReportedDone(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !c.ReportedDone(id) })
}

// withinTeamLimit reports whether one more task of a job fits into its team's limit.
func (c *InvariantChecker) withinTeamLimit(j *wire.Job, used map[string]float64) bool {
	return slices.ContainsFunc(c.Teams, func(t config.Team) bool {
		return t.Name == j.Team && (t.CPUsMax == 0 || used[t.Name]+j.CPUs <= t.CPUsMax)
	})
}
