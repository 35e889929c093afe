package jobs

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/records"
)

// Registry holds the known jobs, and the final states of jobs that have ended.
type Registry struct {
	byID        map[string]*Job
	finalStates map[string]records.FinalState
	// runnable are the unfinished jobs without unfinished dependencies.
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

// Get returns a known job, or nil. An ended job stays known until none of its tasks may be on a
// machine.
func (r *Registry) Get(id string) *Job { return r.byID[id] }

// Add adds a job.
func (r *Registry) Add(j *Job) { r.byID[j.ID] = j }

// Remove removes a job but keeps its final state.
func (r *Registry) Remove(j *Job) { delete(r.byID, j.ID) }

// MarkRunnable records that a job is accepted and has no unfinished dependencies.
func (r *Registry) MarkRunnable(j *Job) { r.runnable[j] = struct{}{} }

// MarkNotRunnable removes a job whose end is decided from the runnable jobs.
func (r *Registry) MarkNotRunnable(j *Job) { delete(r.runnable, j) }

// Runnable returns the runnable jobs in unspecified order.
func (r *Registry) Runnable() iter.Seq[*Job] { return maps.Keys(r.runnable) }

// RunnableByAge returns the runnable jobs, the longest waiting first.
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

// Len returns the number of known jobs.
func (r *Registry) Len() int { return len(r.byID) }

// Each calls f for all known jobs in unspecified order.
func (r *Registry) Each(f func(*Job)) {
	for _, j := range r.byID {
		f(j)
	}
}

// Sorted returns the known jobs, sorted by ID.
func (r *Registry) Sorted() []*Job {
	list := make([]*Job, 0, len(r.byID))
	for _, j := range r.byID {
		list = append(list, j)
	}
	SortByID(list)
	return list
}

// FinalState returns the final state of a job, if it is durable.
func (r *Registry) FinalState(id string) (f records.FinalState, ended bool) {
	f, ended = r.finalStates[id]
	return f, ended
}

// SetFinalState records the durable final state of a job.
func (r *Registry) SetFinalState(id string, f records.FinalState) { r.finalStates[id] = f }

// EndedJobs returns the number of recorded final states.
func (r *Registry) EndedJobs() int { return len(r.finalStates) }
