package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// UnsavedCompletions are the jobs with completions that are to be written, since when.
type UnsavedCompletions map[*Job]time.Time

// Add notes that a job has completions to be written.
func (u UnsavedCompletions) Add(now time.Time, j *Job) {
	if _, known := u[j]; !known {
		u[j] = now
	}
}

// Remove forgets a job whose completions need not be written any more.
func (u UnsavedCompletions) Remove(j *Job) { delete(u, j) }

// PopDue takes the jobs whose completions have waited long enough, in the order of their IDs.
func (u UnsavedCompletions) PopDue(now time.Time) []*Job {
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
