package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// CriticalPath is what the jobs that need a job, through any number of steps, expect of
// it: the deadline of the last one of the tightest path, less the estimated time
// of what lies between.
type CriticalPath struct {
	Last *Job // whose deadline it is; nil if there is none
	Due  time.Time
	Left time.Duration // what lies between
}

// StandalonePath is a job's priority and path as if no other job needed it.
func (j *Job) StandalonePath() (int, CriticalPath) {
	p := CriticalPath{}
	if j.DeadlineS != nil {
		p = CriticalPath{Last: j, Due: j.Submitted.Add(seconds(*j.DeadlineS))}
	}
	return wire.PriorityRank(j.Priority), p
}

// DependencyGraph knows which jobs wait for which, and what follows from the jobs that
// are over.
type DependencyGraph struct {
	// Dependents are the jobs that need one that is not over, by its id.
	Dependents   map[string][]*Job
	Unblocked    []*Job // a job that they need is done
	ToCancel     []*Job // a job that they need was cancelled
	PathOutdated []*Job // what others expect of them may have changed
}

// OpenSteps is the number of steps still to be taken after the ends of jobs.
func (g *DependencyGraph) OpenSteps() int {
	return len(g.Unblocked) + len(g.ToCancel) + len(g.PathOutdated)
}

// NotifyDependents lets a final state take effect on the jobs that need the one that is
// over: step by step, as there may be thousands.
func (g *DependencyGraph) NotifyDependents(id string, f records.FinalState) {
	list := g.Dependents[id]
	delete(g.Dependents, id)
	if f.Outcome == records.OutcomeCancelled {
		g.ToCancel = append(g.ToCancel, list...)
	} else {
		g.Unblocked = append(g.Unblocked, list...)
	}
}

// NewDependencyGraph returns a graph without jobs.
func NewDependencyGraph() DependencyGraph {
	return DependencyGraph{Dependents: map[string][]*Job{}}
}
