package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Dependent jobs. What a job that depends on others waits for follows from the final
// states of those, and from nothing else: a successor finds the same, and a
// leader that dies between a final state and what it means for other jobs
// leaves nothing half done. Only jobs that were accepted before can be named,
// so no job can depend on itself, directly or through others.

// CriticalPath is what the jobs that depend on a job, through any number of steps, expect of
// it: the deadline of the last one of the tightest path, less the estimated time
// of what lies between.
type CriticalPath struct {
	Last           *Job // whose deadline it is; nil if there is none
	Due            time.Time
	DownstreamTime time.Duration // what lies between
}

// dependencyState is what follows for a job from those it depends on, and those that depend
// on it.
type dependencyState struct {
	unfinishedDependencies int // jobs that it depends on and that have not ended
	// dependencyCancelled: a job that it depends on was cancelled, and so will it be.
	dependencyCancelled bool
	// priorityRank is its priority, or that of a job that depends on it, if higher.
	priorityRank int
	criticalPath CriticalPath
	cyclic       bool // its path can't be derived: damaged records lead in a circle
	pathQueued   bool // among those whose path is to be derived again
}

// PriorityRank is the job's priority, or that of a job that depends on it, if higher.
func (s *dependencyState) PriorityRank() int { return s.priorityRank }

// CriticalPath is what the jobs that depend on the job expect of it.
func (s *dependencyState) CriticalPath() CriticalPath { return s.criticalPath }

// IsBlocked reports whether the job waits for others to be done.
func (s *dependencyState) IsBlocked() bool { return s.unfinishedDependencies > 0 }

// DependencyCancelled reports whether a job that it depends on was cancelled.
func (s *dependencyState) DependencyCancelled() bool { return s.dependencyCancelled }

// MarkDependencyCancelled notes that a job that it depends on was cancelled.
func (s *dependencyState) MarkDependencyCancelled() { s.dependencyCancelled = true }

// standalonePath is a job's priority and path as if no other job depended on it.
func (j *Job) standalonePath() (int, CriticalPath) {
	p := CriticalPath{}
	if j.DeadlineS != nil {
		p = CriticalPath{Last: j, Due: j.submittedAt.Add(seconds.Duration(*j.DeadlineS))}
	}
	return wire.PriorityRank(j.Priority), p
}

// DependencyGraph knows which jobs wait for which, and what follows from the jobs that
// have ended. Its queues are worked off step by step, as there may be thousands.
type DependencyGraph struct {
	registry *Registry
	// stageTime is the time that a job takes once the jobs that it depends on are done.
	stageTime func(*Job) time.Duration
	// dependents are the jobs that depend on one that has not ended, by its ID.
	dependents    map[string][]*Job
	unblocked     []*Job // a job that they depend on is done
	toCancel      []*Job // a job that they depend on was cancelled
	outdatedPaths []*Job // what others expect of them may have changed
}

// NewDependencyGraph returns a graph without edges. stageTime is the time that a job takes once
// the jobs that it depends on are done.
func NewDependencyGraph(registry *Registry, stageTime func(*Job) time.Duration) *DependencyGraph {
	return &DependencyGraph{registry: registry, stageTime: stageTime, dependents: map[string][]*Job{}}
}

// QueuedSteps is the number of steps still to be taken after the ends of jobs.
func (g *DependencyGraph) QueuedSteps() int {
	return len(g.unblocked) + len(g.toCancel) + len(g.outdatedPaths)
}

// Link counts what a job waits for, and notes it with the jobs it depends on.
func (g *DependencyGraph) Link(j *Job) {
	for _, id := range j.DependsOn {
		f, ended := g.registry.FinalState(id)
		switch {
		case !ended:
			j.unfinishedDependencies++
			g.dependents[id] = append(g.dependents[id], j)
		case f.Outcome == records.OutcomeCancelled:
			j.dependencyCancelled = true
		}
	}
}

// JobEnded lets a final state take effect on the jobs that depend on the one that has ended.
func (g *DependencyGraph) JobEnded(id string, f records.FinalState) {
	list := g.dependents[id]
	delete(g.dependents, id)
	if f.Outcome == records.OutcomeCancelled {
		g.toCancel = append(g.toCancel, list...)
	} else {
		g.unblocked = append(g.unblocked, list...)
	}
}

// QueueCancellation queues a job that depends on one that was cancelled.
func (g *DependencyGraph) QueueCancellation(j *Job) { g.toCancel = append(g.toCancel, j) }

// NextCancellation takes a job that depends on one that was cancelled, or returns nil.
func (g *DependencyGraph) NextCancellation() *Job { return popFirst(&g.toCancel) }

// HasCancellations reports whether jobs are to be cancelled.
func (g *DependencyGraph) HasCancellations() bool { return len(g.toCancel) > 0 }

// NextUnblocked takes a job of whose dependencies one is done, or returns nil. The job may
// still wait for others.
func (g *DependencyGraph) NextUnblocked() *Job {
	j := popFirst(&g.unblocked)
	if j != nil {
		j.unfinishedDependencies--
	}
	return j
}

// NextOutdatedPath takes a job whose path is to be derived again, or returns nil.
func (g *DependencyGraph) NextOutdatedPath() *Job {
	j := popFirst(&g.outdatedPaths)
	if j != nil {
		j.pathQueued = false
	}
	return j
}

// popFirst takes the first job of a queue, or returns nil.
func popFirst(queue *[]*Job) *Job {
	if len(*queue) == 0 {
		return nil
	}
	j := (*queue)[0]
	*queue = (*queue)[1:]
	return j
}

// QueuePathUpdates notes that what is expected of the jobs that j depends on may
// have changed.
func (g *DependencyGraph) QueuePathUpdates(j *Job) {
	for _, id := range j.DependsOn {
		d := g.registry.Get(id)
		if d != nil && !d.pathQueued && !d.endDurable {
			d.pathQueued = true
			g.outdatedPaths = append(g.outdatedPaths, d)
		}
	}
}

// UpdateCriticalPath derives what is expected of a job from the jobs that depend on it, and
// reports whether that has changed.
func (g *DependencyGraph) UpdateCriticalPath(j *Job) bool {
	if j.cyclic {
		return false
	}
	rank, p := j.standalonePath()
	for _, d := range g.dependents[j.ID] {
		if d.state == Cancelled {
			continue
		}
		rank = min(rank, d.priorityRank)
		if d.criticalPath.Last == nil {
			continue
		}
		duration := g.stageTime(d)
		if due := d.criticalPath.Due.Add(-duration); p.Last == nil || due.Before(p.Due) {
			p = CriticalPath{Last: d.criticalPath.Last, Due: due, DownstreamTime: d.criticalPath.DownstreamTime + duration}
		}
	}
	changed := rank != j.priorityRank || p != j.criticalPath
	j.priorityRank, j.criticalPath = rank, p
	return changed
}

// MissingDependency is a job that another one names and of which there is no record.
type MissingDependency struct {
	Job        *Job
	Dependency string
}

// LinkAll derives, from the records that were loaded, what every job waits for and what is
// expected of it: last stages first, so that each path is derived once. It returns what the
// records lack, and the jobs that depend on themselves or that such a job depends on: those
// records can't be right. The jobs wait, and can be cancelled.
func (g *DependencyGraph) LinkAll(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	for _, j := range all {
		if !j.endDurable {
			g.Link(j)
		}
	}
	return g.updateAllPaths(all)
}

// updateAllPaths derives the paths of all jobs, each after those of its dependents.
func (g *DependencyGraph) updateAllPaths(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	var resolved []*Job
	unresolvedDependents := map[*Job]int{} // dependents whose path is not known yet
	for _, j := range all {
		if unresolvedDependents[j] = len(g.dependents[j.ID]); unresolvedDependents[j] == 0 {
			resolved = append(resolved, j)
		}
	}
	for len(resolved) > 0 {
		j := resolved[len(resolved)-1]
		resolved = resolved[:len(resolved)-1]
		delete(unresolvedDependents, j)
		g.UpdateCriticalPath(j)
		if j.endDurable {
			continue
		}
		for _, id := range j.DependsOn {
			d := g.registry.Get(id)
			if d == nil {
				if _, ended := g.registry.FinalState(id); !ended {
					missing = append(missing, MissingDependency{Job: j, Dependency: id})
				}
				continue
			}
			if d.endDurable {
				continue
			}
			if unresolvedDependents[d]--; unresolvedDependents[d] == 0 {
				resolved = append(resolved, d)
			}
		}
	}
	for j := range unresolvedDependents {
		j.cyclic = true
		cyclic = append(cyclic, j)
	}
	SortByID(cyclic)
	return missing, cyclic
}
