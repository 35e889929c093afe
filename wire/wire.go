// Package wire holds the JSON messages of the protocol between switchshore,
// its users, the workers, the cloud and the state service. The protocol's own
// vocabulary stays in the field tags and string values of this package; Go
// names are the usual ones (job, task, attempt, team, machine, term, image).
// Clients may import it.
package wire

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Paths served to users and workers.
const (
	PathJobs      = "/api/jobs"
	PathHealth    = "/up"
	PathHeartbeat = "/checkin"
	CancelSuffix  = "abort"
)

// Paths served by workers.
const (
	PathCommands = "/commands"
	PathShow     = "/show"
)

// MaxBody is the largest request body and response line, in bytes.
const MaxBody = 64 << 10

// MaxKey is the longest key of the state service, in bytes.
const MaxKey = 200

// Job states.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// IsTerminal reports whether a job in this state remains in it.
func IsTerminal(state string) bool { return state == JobDone || state == JobCancelled }

// KindArray is the only kind of job that is accepted: independent tasks.
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

// Job is a submission.
type Job struct {
	ID                  string   `json:"ref"`
	Class               string   `json:"muster"`
	Team                string   `json:"crew"`
	Kind                string   `json:"rig"`
	Priority            string   `json:"rank"`
	Tasks               int      `json:"oars"`
	CPUs                float64  `json:"cores"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memoryGb"`
	Image               string   `json:"hull"`
	ImageGB             float64  `json:"imageGb"`
	Types               []string `json:"builds"`
	Zone                string   `json:"berth,omitempty"`
	OneZone             bool     `json:"together"`
	Spread              bool     `json:"apart"`
	Spot                bool     `json:"driftwood"`
	EstimateS           float64  `json:"reckonS"`
	CheckpointIntervalS float64  `json:"loglineS"`
	CheckpointSaveS     float64  `json:"stowS"`
	DeadlineS           *float64 `json:"tideS,omitempty"`
	// DependsOn names the jobs that have to be done before a task of this one
	// starts, each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// JobStatus answers submissions, queries and cancellations.
type JobStatus struct {
	ID      string `json:"ref"`
	State   string `json:"bearing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Task states in reports.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Reasons of an exit.
const (
	ExitDone       = "done"
	ExitStopped    = "halted"
	ExitError      = "error"
	ExitNoCapacity = "full"
	ExitTaskBusy   = "in_use"
	ExitUnknown    = "unknown"
)

// Heartbeat is what a worker sends.
type Heartbeat struct {
	Machine        string       `json:"deck"`
	Addr           string       `json:"endpoint"`
	Type           string       `json:"build"`
	Zone           string       `json:"berth"`
	Spot           bool         `json:"driftwood"`
	AgentEpoch     uint64       `json:"watch"`
	Sequence       uint64       `json:"knot"`
	FencingToken   uint64       `json:"helm"`
	ReclaimNoticeS *float64     `json:"recallS"`
	Tasks          []TaskStatus `json:"oars"`
}

// TaskStatus is one task of a report.
type TaskStatus struct {
	Task            string `json:"oar"`
	Attempt         uint64 `json:"launch"`
	State           string `json:"bearing"`
	ExitReason      string `json:"wake,omitempty"`
	CheckpointSaved bool   `json:"kept,omitempty"`
}

// Command operations.
const (
	OpStart  = "run"
	OpStop   = "kill"
	OpForget = "reap"
)

// Command is an order to a worker.
type Command struct {
	Op           string   `json:"call"`
	Task         string   `json:"oar"`
	Attempt      uint64   `json:"launch"`
	GracePeriodS *float64 `json:"slackS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"helm"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is the body of a direct command.
type CommandRequest struct {
	FencingToken uint64    `json:"helm"`
	AgentEpoch   uint64    `json:"watch"`
	Commands     []Command `json:"orders"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	HeartbeatTo string `json:"harbormaster,omitempty"`
}

// Error is the body of refusals to users.
type Error struct {
	Error string `json:"error"`
}

// MachineType describes what the cloud rents.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootTimeS   float64  `json:"readyS"`
	Zones       []string `json:"berths"`
}

// MachineTypes is the cloud's catalogue.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest asks for machines.
type ProvisionRequest struct {
	RequestID string `json:"charter"`
	Type      string `json:"build"`
	Zone      string `json:"berth"`
	Spot      bool   `json:"driftwood"`
	Count     int    `json:"howMany"`
}

// MachineNames lists machines by name: the answer to a rental, the body of a release.
type MachineNames struct {
	Machines []string `json:"decks"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// ListedMachine is a row of the cloud's list.
type ListedMachine struct {
	Name  string  `json:"ref"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"build"`
	Zone  string  `json:"berth"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"bearing"`
	AgeS  float64 `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"decks"`
	More     bool            `json:"hasNext"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key     string `json:"path"`
	Version uint64 `json:"mark"`
}

// Mutation is a change of a transaction: a put or a delete.
type Mutation struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Key returns the key that the write changes.
func (w Mutation) Key() string {
	if w.Delete != "" {
		return w.Delete
	}
	return w.Put
}

// Txn is a transaction.
type Txn struct {
	If   []Compare  `json:"guards"`
	Then []Mutation `json:"writes"`
}

// TxnResult answers a transaction: Failed is set on 409.
type TxnResult struct {
	Revision   uint64   `json:"logpage"`
	FailedKeys []string `json:"failed"`
}

// KeyValue is a stored key.
type KeyValue struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"v"`
	Version  uint64          `json:"mark"`
	Lease    uint64          `json:"mooring,omitempty"`
	Revision uint64          `json:"logpage,omitempty"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Items    []KeyValue `json:"rows"`
	More     bool       `json:"hasNext"`
	Revision uint64     `json:"logpage"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}

// Event is a change of a key.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"mark"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"logpage"`
	Events   []Event `json:"log"`
}

// TaskName joins a job id and a task index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask parses a task name.
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
