package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// PendingCompletions holds the jobs with completions that are not in the write queue yet. Each
// job is mapped to the time of the first of these completions.
type PendingCompletions map[*Job]time.Time

// Add adds a job that has a new completion at now. A job that is already present keeps its
// earlier time.
func (p PendingCompletions) Add(now time.Time, j *Job) {
	if _, known := p[j]; !known {
		p[j] = now
	}
}

// Remove removes a job whose completions need not be written any more.
func (p PendingCompletions) Remove(j *Job) { delete(p, j) }

// PopDue removes and returns the jobs whose first completion is at least
// tuning.CompletionFlushDelay old, sorted by ID.
func (p PendingCompletions) PopDue(now time.Time) []*Job {
	var due []*Job
	for j, since := range p {
		if now.Sub(since) >= tuning.CompletionFlushDelay {
			due = append(due, j)
		}
	}
	SortByID(due)
	for _, j := range due {
		delete(p, j)
	}
	return due
}
