package wire

// PathHeartbeat is the path to which workers send heartbeats.
const PathHeartbeat = "/checkin"

// Paths served by workers: direct commands, and the worker's status in the
// form of a heartbeat.
const (
	PathCommands = "/commands"
	PathShow     = "/show"
)

// Task states in heartbeats.
const (
	// TaskFetching is a task whose image is being fetched.
	TaskFetching = "fetching"
	TaskRunning  = "running"
	// TaskSaving is a stopped task that is saving a checkpoint.
	TaskSaving = "saving"
	TaskExited = "exited"
)

// Exit reasons. The last three mean that the worker rejected a start.
const (
	ExitDone    = "done"
	ExitStopped = "halted"
	ExitError   = "error"
	// ExitNoCapacity: the machine has too few free resources.
	ExitNoCapacity = "full"
	// ExitTaskBusy: another attempt of the task is on the machine.
	ExitTaskBusy = "in_use"
	// ExitUnknown: the worker can't get the task's job.
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
	// FencingToken is the highest token that the worker has received.
	FencingToken uint64 `json:"helm"`
	// ReclaimNoticeS is the time until the cloud reclaims the machine, or nil
	// without a notice.
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
	// OpStop stops a task, which saves a checkpoint if the grace period is long
	// enough.
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

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease.
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
