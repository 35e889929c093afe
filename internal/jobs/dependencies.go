package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Whether a job is blocked or has to be cancelled follows from the stored final states of its
// dependencies alone, so a successor reaches the same result. A leader that fails after storing a
// final state, but before updating the dependents, therefore leaves no inconsistent state. A job
// can depend only on jobs that were accepted before it, so the graph has no cycles, unless
// records are corrupt.

// CriticalPath is the path from a job through its dependents to the job whose deadline requires the
// first job to end earliest. The path may consist of one job.
type CriticalPath struct {
	Last *Job // the job with the deadline; nil if no job on any path has one
	// Due is when the first job has to end: the deadline of Last less DownstreamTime.
	Due            time.Time
	DownstreamTime time.Duration // estimated time for the jobs after the first, including Last
}

// dependencyState is the part of a job's state that follows from its dependencies and its
// dependents.
type dependencyState struct {
	// unfinishedDependencies is the number of dependencies that have not ended, or whose end the
	// graph has not processed yet.
	unfinishedDependencies int
	// dependencyCancelled: a dependency was cancelled, so this job has to be cancelled too.
	dependencyCancelled bool
	// priorityRank is the rank of the highest priority among the job and its direct and indirect
	// dependents; rank 0 is the highest.
	priorityRank     int
	criticalPath     CriticalPath
	cyclic           bool // in a dependency cycle or a dependency of such a job, see LinkAll
	pathUpdateQueued bool // in withOutdatedPath of the graph
}

// PriorityRank returns the rank of the highest priority among the job and its direct and indirect
// dependents; rank 0 is the highest.
func (s *dependencyState) PriorityRank() int { return s.priorityRank }

// CriticalPath returns the critical path of the job.
func (s *dependencyState) CriticalPath() CriticalPath { return s.criticalPath }

// IsBlocked reports whether the job has unfinished dependencies, so that its tasks must not start.
func (s *dependencyState) IsBlocked() bool { return s.unfinishedDependencies > 0 }

// DependencyCancelled reports whether a dependency of the job was cancelled.
func (s *dependencyState) DependencyCancelled() bool { return s.dependencyCancelled }

// MarkDependencyCancelled records that a dependency of the job was cancelled.
func (s *dependencyState) MarkDependencyCancelled() { s.dependencyCancelled = true }

// standalonePath returns the priority rank and the critical path that the job would have without
// dependents.
func (j *Job) standalonePath() (int, CriticalPath) {
	p := CriticalPath{}
	if j.DeadlineS != nil {
		p = CriticalPath{Last: j, Due: j.submittedAt.Add(seconds.Duration(*j.DeadlineS))}
	}
	return wire.PriorityRank(j.Priority), p
}

// DependencyGraph holds the dependencies between jobs, and queues of the jobs that have to be
// updated because another one ended. One end may affect thousands of jobs, so callers process a
// bounded number of queued jobs at a time.
type DependencyGraph struct {
	registry *Registry
	// estimateDuration estimates the time from the end of a job's last dependency to its own end.
	estimateDuration func(*Job) time.Duration
	// dependents maps the ID of each unfinished job to the jobs that depend on it.
	dependents         map[string][]*Job
	withDoneDependency []*Job // a dependency of each is done
	toCancel           []*Job // a dependency of each was cancelled
	withOutdatedPath   []*Job // the critical path of each may have changed
}

// NewDependencyGraph returns a graph without jobs. estimateDuration estimates the time from the end of
// a job's last dependency to its own end.
func NewDependencyGraph(registry *Registry, estimateDuration func(*Job) time.Duration) *DependencyGraph {
	return &DependencyGraph{registry: registry, estimateDuration: estimateDuration, dependents: map[string][]*Job{}}
}

// QueuedJobs returns the total length of the queues.
func (g *DependencyGraph) QueuedJobs() int {
	return len(g.withDoneDependency) + len(g.toCancel) + len(g.withOutdatedPath)
}

// Link adds a job to the graph: it registers the job as a dependent of its unfinished
// dependencies, and marks it if a dependency was cancelled.
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

// QueueDependents queues the dependents of a job that ended with final state f: for cancellation
// if the job was cancelled, otherwise as jobs with a done dependency.
func (g *DependencyGraph) QueueDependents(id string, f records.FinalState) {
	list := g.dependents[id]
	delete(g.dependents, id)
	if f.Outcome == records.OutcomeCancelled {
		g.toCancel = append(g.toCancel, list...)
	} else {
		g.withDoneDependency = append(g.withDoneDependency, list...)
	}
}

// QueueCancellation queues a job that has to be cancelled because a dependency was cancelled.
func (g *DependencyGraph) QueueCancellation(j *Job) { g.toCancel = append(g.toCancel, j) }

// PopJobToCancel removes the next job to be cancelled from its queue and returns it, or nil.
func (g *DependencyGraph) PopJobToCancel() *Job { return popFirst(&g.toCancel) }

// HasJobsToCancel reports whether jobs are queued to be cancelled.
func (g *DependencyGraph) HasJobsToCancel() bool { return len(g.toCancel) > 0 }

// PopJobWithDoneDependency removes the next job with a newly done dependency from its queue and
// returns it, or nil. It decrements the number of the job's unfinished dependencies; the job may
// still be blocked by others.
func (g *DependencyGraph) PopJobWithDoneDependency() *Job {
	j := popFirst(&g.withDoneDependency)
	if j != nil {
		j.unfinishedDependencies--
	}
	return j
}

// PopJobWithOutdatedPath removes the next job whose critical path has to be updated from its queue
// and returns it, or nil.
func (g *DependencyGraph) PopJobWithOutdatedPath() *Job {
	j := popFirst(&g.withOutdatedPath)
	if j != nil {
		j.pathUpdateQueued = false
	}
	return j
}

// popFirst removes the first job of a queue and returns it, or nil if the queue is empty.
func popFirst(queue *[]*Job) *Job {
	if len(*queue) == 0 {
		return nil
	}
	j := (*queue)[0]
	*queue = (*queue)[1:]
	return j
}

// QueueCriticalPathUpdates queues the dependencies of j for an update of their critical paths. Callers
// call it after j was added or cancelled, and after the critical path of j has changed.
func (g *DependencyGraph) QueueCriticalPathUpdates(j *Job) {
	for _, id := range j.DependsOn {
		d := g.registry.Get(id)
		if d != nil && !d.pathUpdateQueued && !d.endDurable {
			d.pathUpdateQueued = true
			g.withOutdatedPath = append(g.withOutdatedPath, d)
		}
	}
}

// UpdateCriticalPath derives the priority rank and the critical path of a job from its dependents,
// and reports whether one of the two has changed.
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
		duration := g.estimateDuration(d)
		if due := d.criticalPath.Due.Add(-duration); p.Last == nil || due.Before(p.Due) {
			p = CriticalPath{Last: d.criticalPath.Last, Due: due, DownstreamTime: d.criticalPath.DownstreamTime + duration}
		}
	}
	changed := rank != j.priorityRank || p != j.criticalPath
	j.priorityRank, j.criticalPath = rank, p
	return changed
}

// MissingDependency is a dependency of a job for which neither a job nor a final state is known.
type MissingDependency struct {
	Job        *Job
	Dependency string // ID
}

// LinkAll links all loaded jobs and derives their critical paths. It reports two faults of corrupt
// job records: missing lists the dependencies that have neither a job nor a final state. cyclic lists
// the jobs in dependency cycles and the direct and indirect dependencies of these jobs, for which no
// critical path can be derived. Jobs with a missing dependency and jobs in a cycle stay blocked until
// they are cancelled.
func (g *DependencyGraph) LinkAll(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	for _, j := range all {
		if !j.endDurable {
			g.Link(j)
		}
	}
	return g.updateAllPaths(all)
}

// updateAllPaths derives the critical paths of all jobs. It handles each job after its dependents,
// so that each path is derived only once.
func (g *DependencyGraph) updateAllPaths(all []*Job) (missing []MissingDependency, cyclic []*Job) {
	var resolvable []*Job                  // jobs whose dependents have all been handled
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
