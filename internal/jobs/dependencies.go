package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Whether a job is blocked or has to be cancelled follows only from the final states of its
// dependencies. A successor therefore derives the same, and a leader that fails after it stored
// a final state, but before it updated the dependents, leaves nothing inconsistent. A job can
// depend only on jobs that were accepted before it, so the graph has no cycles.

// CriticalPath is the tightest deadline that a job has to meet for itself or for its direct and
// indirect dependents: the deadline of the last job on the path, less the estimated time of the
// jobs after this one.
type CriticalPath struct {
	Last           *Job // the job with the deadline; nil if there is none
	Due            time.Time
	DownstreamTime time.Duration // estimated time of the later jobs on the path, including Last
}

// dependencyState is what a job derives from its dependencies and its dependents.
type dependencyState struct {
	unfinishedDependencies int // dependencies that have not ended
	// dependencyCancelled: a dependency was cancelled, so this job will be cancelled too.
	dependencyCancelled bool
	// priorityRank is the job's own priority, or that of a dependent if it is higher.
	priorityRank int
	criticalPath CriticalPath
	cyclic       bool // its path can't be derived: corrupt records contain a cycle
	pathQueued   bool // in outdatedPaths of the graph
}

// PriorityRank returns the job's own priority, or that of a dependent if it is higher.
func (s *dependencyState) PriorityRank() int { return s.priorityRank }

// CriticalPath returns the tightest deadline that the job has to meet.
func (s *dependencyState) CriticalPath() CriticalPath { return s.criticalPath }

// IsBlocked reports whether the job has unfinished dependencies.
func (s *dependencyState) IsBlocked() bool { return s.unfinishedDependencies > 0 }

// DependencyCancelled reports whether a dependency of the job was cancelled.
func (s *dependencyState) DependencyCancelled() bool { return s.dependencyCancelled }

// MarkDependencyCancelled records that a dependency of the job was cancelled.
func (s *dependencyState) MarkDependencyCancelled() { s.dependencyCancelled = true }

// standalonePath returns the priority and the critical path of a job as if it had no
// dependents.
func (j *Job) standalonePath() (int, CriticalPath) {
	p := CriticalPath{}
	if j.DeadlineS != nil {
		p = CriticalPath{Last: j, Due: j.submittedAt.Add(seconds.Duration(*j.DeadlineS))}
	}
	return wire.PriorityRank(j.Priority), p
}

// DependencyGraph holds the dependencies between jobs and queues the jobs that are affected by
// the end of another. Callers process a bounded number of them at a time, as there may be
// thousands.
type DependencyGraph struct {
	registry *Registry
	// stageTime estimates the time from the end of a job's last dependency to its own end.
	stageTime func(*Job) time.Duration
	// dependents are the jobs that depend on an unfinished job, by the ID of that job.
	dependents    map[string][]*Job
	unblocked     []*Job // a dependency of theirs is done
	toCancel      []*Job // a dependency of theirs was cancelled
	outdatedPaths []*Job // their critical paths may have changed
}

// NewDependencyGraph returns a graph without edges. stageTime estimates the time from the end
// of a job's last dependency to its own end.
func NewDependencyGraph(registry *Registry, stageTime func(*Job) time.Duration) *DependencyGraph {
	return &DependencyGraph{registry: registry, stageTime: stageTime, dependents: map[string][]*Job{}}
}

// QueuedSteps returns the number of queued jobs, each of which takes one step to process.
func (g *DependencyGraph) QueuedSteps() int {
	return len(g.unblocked) + len(g.toCancel) + len(g.outdatedPaths)
}

// Link adds a job to the dependents of its unfinished dependencies, and marks it if a
// dependency was cancelled.
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

// JobEnded queues the dependents of a job that has ended: they have to be cancelled if it was
// cancelled, and are otherwise unblocked.
func (g *DependencyGraph) JobEnded(id string, f records.FinalState) {
	list := g.dependents[id]
	delete(g.dependents, id)
	if f.Outcome == records.OutcomeCancelled {
		g.toCancel = append(g.toCancel, list...)
	} else {
		g.unblocked = append(g.unblocked, list...)
	}
}

// QueueCancellation queues a job that has to be cancelled because a dependency was.
func (g *DependencyGraph) QueueCancellation(j *Job) { g.toCancel = append(g.toCancel, j) }

// NextCancellation removes and returns the next job to be cancelled, or nil.
func (g *DependencyGraph) NextCancellation() *Job { return popFirst(&g.toCancel) }

// HasCancellations reports whether jobs are queued to be cancelled.
func (g *DependencyGraph) HasCancellations() bool { return len(g.toCancel) > 0 }

// PopJobWithDoneDependency removes and returns the next job that had a dependency done, or nil. The job
// may have other unfinished dependencies.
func (g *DependencyGraph) PopJobWithDoneDependency() *Job {
	j := popFirst(&g.unblocked)
	if j != nil {
		j.unfinishedDependencies--
	}
	return j
}

// PopJobWithOutdatedPath removes and returns the next job whose critical path has to be updated, or
// nil.
func (g *DependencyGraph) PopJobWithOutdatedPath() *Job {
	j := popFirst(&g.outdatedPaths)
	if j != nil {
		j.pathQueued = false
	}
	return j
}

// popFirst removes and returns the first job of a queue, or returns nil if it is empty.
func popFirst(queue *[]*Job) *Job {
	if len(*queue) == 0 {
		return nil
	}
	j := (*queue)[0]
	*queue = (*queue)[1:]
	return j
}

// QueuePathUpdates queues the dependencies of j, as their critical paths may have changed.
func (g *DependencyGraph) QueuePathUpdates(j *Job) {
	for _, id := range j.DependsOn {
		d := g.registry.Get(id)
		if d != nil && !d.pathQueued && !d.endDurable {
			d.pathQueued = true
			g.outdatedPaths = append(g.outdatedPaths, d)
		}
	}
}

// UpdateCriticalPath derives the priority and the critical path of a job from its dependents,
// and reports whether either has changed.
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

// MissingDependency is a dependency of a job that is neither a known job nor an ended one.
type MissingDependency struct {
	Job        *Job
	Dependency string
}

// LinkAll links all loaded jobs and derives their critical paths, dependents first, so that
// each path is derived once. It returns the dependencies without a record, and the jobs that
// are in a dependency cycle or on which such a job depends: their records are corrupt. These
// jobs stay blocked and can be cancelled.
func (g *DependencyGraph) LinkAll(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	for _, j := range all {
		if !j.endDurable {
			g.Link(j)
		}
	}
	return g.updateAllPaths(all)
}

// updateAllPaths derives the critical paths of all jobs, each after those of its dependents.
func (g *DependencyGraph) updateAllPaths(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	var resolvable []*Job
	unresolvedDependents := map[*Job]int{} // number of dependents whose path is not derived yet
	for _, j := range all {
		if unresolvedDependents[j] = len(g.dependents[j.ID]); unresolvedDependents[j] == 0 {
			resolvable = append(resolvable, j)
		}
	}
	for len(resolvable) > 0 {
		j := resolvable[len(resolvable)-1]
		resolvable = resolvable[:len(resolvable)-1]
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
				resolvable = append(resolvable, d)
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
