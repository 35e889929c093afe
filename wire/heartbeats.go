package wire

// PathHeartbeat is served to workers.
const PathHeartbeat = "/checkin"

// Paths served by workers: direct commands, and the worker's status in the
// form of a heartbeat.
const (
	PathCommands = "/commands"
	PathShow     = "/show"
)

// Task states in heartbeats.
const (
	// TaskFetching waits for its image.
	TaskFetching = "fetching"
	TaskRunning  = "running"
	// TaskSaving was stopped and is saving a checkpoint.
	TaskSaving = "saving"
	TaskExited = "exited"
)

// Reasons of an exit. The last three are refusals of a start.
const (
	ExitDone    = "done"
	ExitStopped = "halted"
	ExitError   = "error"
	// ExitNoCapacity is a start on a machine without enough free resources.
	ExitNoCapacity = "full"
	// ExitTaskBusy is a start of a task that is on the machine with another attempt.
	ExitTaskBusy = "in_use"
	// ExitUnknown is a start of a task of which the worker can't get the job.
	ExitUnknown = "unknown"
)

// Heartbeat is a worker's periodic report of its machine and all tasks there.
type Heartbeat struct {
	Machine    string `json:"deck"`
	Addr       string `json:"endpoint"`
	Type       string `json:"build"`
	Zone       string `json:"berth"`
	Spot       bool   `json:"driftwood"`
	AgentEpoch uint64 `json:"watch"`
	// Sequence orders the worker's messages within an epoch.
	Sequence uint64 `json:"knot"`
	// FencingToken is the highest one that the worker has seen.
	FencingToken uint64 `json:"helm"`
	// ReclaimNoticeS is the time until the cloud reclaims the machine; nil if
	// no notice was given.
	ReclaimNoticeS *float64     `json:"recallS"`
	Tasks          []TaskStatus `json:"oars"`
}

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Task            string `json:"oar"`
	Attempt         uint64 `json:"launch"`
	State           string `json:"bearing"`
	ExitReason      string `json:"wake,omitempty"`
	CheckpointSaved bool   `json:"kept,omitempty"`
}

// Command operations.
const (
	OpStart = "run"
	// OpStop lets a task save a checkpoint if its grace period is long enough.
	OpStop = "kill"
	// OpForget removes an exited task from the heartbeats.
	OpForget = "reap"
)

// Command is an instruction to a worker about one attempt of a task.
type Command struct {
	Op           string   `json:"call"`
	Task         string   `json:"oar"`
	Attempt      uint64   `json:"launch"`
	GracePeriodS *float64 `json:"slackS,omitempty"`
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease.
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

// Redirect names the node that a worker should send heartbeats to.
type Redirect struct {
	HeartbeatTo string `json:"harbormaster,omitempty"`
}
