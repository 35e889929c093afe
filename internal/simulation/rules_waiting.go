package simulation

import (
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// longestWait is for how long a job may wait while it could start, once all
// faults are over.
const longestWait = 90 * time.Second

// LeftWaiting finds a job of which a task has waited for long, without the start of any
// other of the job, while a machine that fits had room and its team was under its limit.
// It is to be asked only once all faults are over, and looks once a second.
func (r *Rules) LeftWaiting(now time.Time, workers []*Worker) error {
	if now.Sub(r.lookedAt) < time.Second {
		return nil
	}
	r.lookedAt = now
	o := r.occupancy(workers)
	for id, t := range r.jobs {
		if !r.waits(t, o.listed[id]) || !r.underLimit(t.job, o.used) || !slices.ContainsFunc(workers, func(w *Worker) bool { return o.admits(now, w, t.job) }) {
			delete(r.waiting, id)
			continue
		}
		started := len(o.listed[id])
		since, ok := r.waiting[id]
		if !ok || started > since.listed {
			r.waiting[id] = waitingSince{now, started}
			continue
		}
		r.waiting[id] = waitingSince{since.at, started}
		if waited := now.Sub(since.at); waited > longestWait {
			return fmt.Errorf("left_waiting: %s for %v, though a machine has room", id, waited)
		}
	}
	return nil
}

// waitingSince is since when a job has waited, and how many of its tasks were on
// machines when that was looked at last.
type waitingSince struct {
	at     time.Time
	listed int
}

// waits reports whether a task of a job is to be started: one that has neither completed
// nor is listed by a machine. What completed on a machine that was lost may have to run
// again, so as long as nothing is listed, what its user was told counts.
func (r *Rules) waits(t *jobRecord, listed map[string]bool) bool {
	if !t.accepted || t.askedCancel || t.done || !r.toldDone(t.job.DependsOn) {
		return false
	}
	if len(listed) == 0 {
		return true
	}
	there := len(t.finished)
	for task := range listed {
		if !t.finished[task] {
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
	free   map[*Worker]placement.Resources
}

func (r *Rules) occupancy(workers []*Worker) occupancy {
	o := occupancy{map[string]map[string]bool{}, map[string]map[string]int{}, map[string]float64{}, map[*Worker]placement.Resources{}}
	for _, w := range workers {
		room := placement.Resources{CPUs: w.Type.CPUs, GPUs: w.Type.GPUs, MemoryGB: w.Type.MemoryGB}
		for _, t := range w.Tasks {
			if t.State == wire.TaskExited {
				continue
			}
			id, _, _ := wire.SplitTask(t.Name)
			j := r.jobs[id].job
			if o.listed[id] == nil {
				o.listed[id], o.zones[id] = map[string]bool{}, map[string]int{}
			}
			o.listed[id][t.Name] = true
			o.zones[id][w.Offer.Zone]++
			o.used[j.Team] += j.CPUs
			room = room.Add(taskNeed(j), -1)
		}
		o.free[w] = room
	}
	return o
}

func taskNeed(j *wire.Job) placement.Resources {
	return placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// admits reports whether one more task of a job could start on a machine now.
func (o occupancy) admits(now time.Time, w *Worker, j *wire.Job) bool {
	zone, zones := w.Offer.Zone, o.zones[j.ID]
	switch {
	case w.Faulty, w.Notice != nil, now.After(w.LeaseEnd):
		return false
	case w.Offer.Spot && !j.Spot, j.Zone != "" && j.Zone != zone:
		return false
	case len(j.Types) > 0 && !slices.Contains(j.Types, w.Offer.Type):
		return false
	case j.OneZone && len(zones) > 0 && zones[zone] == 0:
		return false
	case j.Spread && zones[zone] >= (j.Tasks+1)/2:
		return false
	}
	return o.free[w].Fits(taskNeed(j))
}

// toldDone reports whether the users of all the jobs were told that they are done.
func (r *Rules) toldDone(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !r.KnownDone(id) })
}

// underLimit reports whether one more task of a job fits into its team's limit.
func (r *Rules) underLimit(j *wire.Job, used map[string]float64) bool {
	return slices.ContainsFunc(r.Teams, func(t config.Team) bool {
		return t.Name == j.Team && (t.CPUsMax == 0 || used[t.Name]+j.CPUs <= t.CPUsMax)
	})
}
