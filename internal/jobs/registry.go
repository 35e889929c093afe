package jobs

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/records"
)

// Registry owns the jobs that are known, and the final states of those that have ended.
type Registry struct {
	byID        map[string]*Job
	finalStates map[string]records.FinalState
	// runnable are the unfinished jobs that wait for no others.
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

// Get returns a job that is known, or nil. One that has ended stays known until none of its
// tasks may be on a machine.
func (r *Registry) Get(id string) *Job { return r.byID[id] }

// Add adds a job.
func (r *Registry) Add(j *Job) { r.byID[j.ID] = j }

// Remove forgets a job, but not its final state.
func (r *Registry) Remove(j *Job) { delete(r.byID, j.ID) }

// MarkRunnable notes that a job is accepted and waits for no others.
func (r *Registry) MarkRunnable(j *Job) { r.runnable[j] = struct{}{} }

// MarkEnded notes that the end of a job is decided.
func (r *Registry) MarkEnded(j *Job) { delete(r.runnable, j) }

// Runnable returns the unfinished jobs that wait for no others, in no certain order.
func (r *Registry) Runnable() iter.Seq[*Job] { return maps.Keys(r.runnable) }

// RunnableByAge returns the unfinished jobs that wait for no others, oldest first.
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

// Len is the number of jobs that are known.
func (r *Registry) Len() int { return len(r.byID) }

// Each calls f for all jobs that are known, in no certain order.
func (r *Registry) Each(f func(*Job)) {
	for _, j := range r.byID {
		f(j)
	}
}

// Sorted returns the jobs that are known by their IDs.
func (r *Registry) Sorted() []*Job {
	list := make([]*Job, 0, len(r.byID))
	for _, j := range r.byID {
		list = append(list, j)
	}
	SortByID(list)
	return list
}

// FinalState returns how a job has ended, if that is durable.
func (r *Registry) FinalState(id string) (f records.FinalState, ended bool) {
	f, ended = r.finalStates[id]
	return f, ended
}

// SetFinalState notes how a job has ended, once that is durable.
func (r *Registry) SetFinalState(id string, f records.FinalState) { r.finalStates[id] = f }

// EndedJobs is the number of final states.
func (r *Registry) EndedJobs() int { return len(r.finalStates) }
