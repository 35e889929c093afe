package wire

import (
	"strconv"
	"strings"
)

// Paths served to users. A job has the path PathJobs/ID and is cancelled at
// PathJobs/ID/CancelSuffix.
const (
	PathJobs     = "/api/jobs"
	CancelSuffix = "abort"
	PathHealth   = "/up"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// MaxIDLength is the maximum length of a job ID in bytes. Keys of the key-value
// store add prefixes and chunk numbers to the ID and must not exceed
// MaxKeyBytes.
const MaxIDLength = 160

// Job states.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// IsTerminal reports whether a job in this state remains in it.
func IsTerminal(state string) bool { return state == JobDone || state == JobCancelled }

// KindArray is the only kind of job that is accepted: a job array, whose
// tasks are independent of each other.
const KindArray = "batch"

// Priorities, highest first.
const (
	PriorityCritical = "critical"
	PriorityHigh     = "high"
	PriorityNormal   = "normal"
	PriorityIdle     = "idle"
)

// PriorityRank maps a priority to its rank, 0 being the highest, or -1 if unknown.
func PriorityRank(priority string) int {
	switch priority {
	case PriorityCritical:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	case PriorityIdle:
		return 3
	}
	return -1
}

// Job is a submission. Resource requests and times are those of each task.
type Job struct {
	ID       string  `json:"ref"`
	Class    string  `json:"muster"`
	Team     string  `json:"crew"`
	Kind     string  `json:"rig"`
	Priority string  `json:"rank"`
	Tasks    int     `json:"oars"`
	CPUs     float64 `json:"cores"`
	GPUs     float64 `json:"cards"`
	MemoryGB float64 `json:"memoryGb"`
	Image    string  `json:"hull"`
	ImageGB  float64 `json:"imageGb"`
	// MachineTypes lists the allowed machine types; empty allows all.
	MachineTypes []string `json:"builds"`
	// Zone is the only allowed zone; empty allows all.
	Zone string `json:"berth,omitempty"`
	// OneZone requires all tasks to be in the same zone.
	OneZone bool `json:"together"`
	// SpreadZones allows at most half of the tasks, rounded up, in one zone.
	SpreadZones bool `json:"apart"`
	// Spot allows spot instances.
	Spot bool `json:"driftwood"`
	// EstimateS is the owner's estimate of a task's run time, without the
	// image fetch.
	EstimateS float64 `json:"reckonS"`
	// CheckpointIntervalS is the progress after which a running task saves a
	// checkpoint; 0 if its tasks save none.
	CheckpointIntervalS float64 `json:"loglineS"`
	// CheckpointSaveS is the time that a stopped task takes to save a
	// checkpoint.
	CheckpointSaveS float64 `json:"stowS"`
	// DeadlineS is the deadline, counted from the submission; nil is none.
	DeadlineS *float64 `json:"tideS,omitempty"`
	// DependsOn lists the jobs that must be done before a task of this job
	// starts, without duplicates.
	DependsOn []string `json:"awaits,omitempty"`
}

// JobStatus is the response to submissions, queries and cancellations.
type JobStatus struct {
	ID      string `json:"ref"`
	State   string `json:"bearing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Error is the body of error responses to users.
type Error struct {
	Error string `json:"error"`
}

// ValidID reports whether a job ID has the protocol's form.
func ValidID(id string) bool {
	const prefix = "job-"
	if len(id) <= len(prefix) || len(id) > MaxIDLength || id[:len(prefix)] != prefix {
		return false
	}
	for _, c := range id[len(prefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName joins a job ID and a task index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask splits a task name into the job ID and the task index.
func SplitTask(name string) (job string, index int, ok bool) {
	cut := strings.LastIndexByte(name, '/')
	if cut <= 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(name[cut+1:])
	if err != nil || index < 0 {
		return "", 0, false
	}
	return name[:cut], index, true
}
