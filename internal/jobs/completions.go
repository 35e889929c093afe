package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// PendingCompletions maps each job with completions to be written to the time of the first.
type PendingCompletions map[*Job]time.Time

// Add adds a job with completions to be written. A job that is present keeps its time.
func (u PendingCompletions) Add(now time.Time, j *Job) {
	if _, known := u[j]; !known {
		u[j] = now
	}
}

// Remove removes a job whose completions no longer need to be written.
func (u PendingCompletions) Remove(j *Job) { delete(u, j) }

// PopDue removes and returns the jobs whose completions have waited for CompletionFlushDelay,
// sorted by ID.
func (u PendingCompletions) PopDue(now time.Time) []*Job {
	var due []*Job
	for j, since := range u {
		if now.Sub(since) >= tuning.CompletionFlushDelay {
			due = append(due, j)
		}
	}
	SortByID(due)
	for _, j := range due {
		delete(u, j)
	}
	return due
}
