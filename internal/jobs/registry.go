package jobs

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/records"
)

// Registry holds the jobs of a term and the durable final states of ended jobs.
type Registry struct {
	byID        map[string]*Job
	finalStates map[string]records.FinalState // by job ID
	// runnable are the accepted jobs that have not ended and have no unfinished dependencies.
	runnable map[*Job]struct{}
}

// NewRegistry returns a registry without jobs.
func NewRegistry() *Registry {
	return &Registry{
		byID:        map[string]*Job{},
		finalStates: map[string]records.FinalState{},
		runnable:    map[*Job]struct{}{},
	}
}

// Get returns the job with the ID, or nil if the registry has none. An ended job stays in the
// registry until none of its tasks may be on a machine.
func (r *Registry) Get(id string) *Job { return r.byID[id] }

// Add adds a job under its ID.
func (r *Registry) Add(j *Job) { r.byID[j.ID] = j }

// Remove removes a job. Its final state stays in the registry.
func (r *Registry) Remove(j *Job) { delete(r.byID, j.ID) }

// MarkRunnable records that a job is accepted and has no unfinished dependencies.
func (r *Registry) MarkRunnable(j *Job) { r.runnable[j] = struct{}{} }

// MarkNotRunnable removes a job that ends from the runnable jobs.
func (r *Registry) MarkNotRunnable(j *Job) { delete(r.runnable, j) }

// Runnable returns the runnable jobs in unspecified order.
func (r *Registry) Runnable() iter.Seq[*Job] { return maps.Keys(r.runnable) }

// RunnableByAge returns the runnable jobs sorted by WaitingSince, the earliest first.
func (r *Registry) RunnableByAge() []*Job {
	list := make([]*Job, 0, len(r.runnable))
	for j := range r.runnable {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *Job) int {
		return cmp.Or(a.waitingSince.Compare(b.waitingSince), strings.Compare(a.ID, b.ID))
	})
	return list
}

// Len returns the number of jobs in the registry.
func (r *Registry) Len() int { return len(r.byID) }

// Each calls f for all jobs in unspecified order.
func (r *Registry) Each(f func(*Job)) {
	for _, j := range r.byID {
		f(j)
	}
}

// Sorted returns all jobs, sorted by ID.
func (r *Registry) Sorted() []*Job {
	list := make([]*Job, 0, len(r.byID))
	for _, j := range r.byID {
		list = append(list, j)
	}
	SortByID(list)
	return list
}

// FinalState returns the durable final state of a job. ended is false if there is none.
func (r *Registry) FinalState(id string) (f records.FinalState, ended bool) {
	f, ended = r.finalStates[id]
	return f, ended
}

// SetFinalState records the durable final state of a job.
func (r *Registry) SetFinalState(id string, f records.FinalState) { r.finalStates[id] = f }

// EndedJobs returns the number of jobs with a durable final state.
func (r *Registry) EndedJobs() int { return len(r.finalStates) }
