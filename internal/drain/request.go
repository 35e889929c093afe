package drain

// Action is what an operator requests.
type Action string

// Actions.
const (
	Apply  Action = "apply"
	List   Action = "list"
	Show   Action = "show"
	Pause  Action = "pause"
	Resume Action = "resume"
	Cancel Action = "cancel"
)

// Request is an operator's request to the leader. It is idempotent.
type Request struct {
	Action Action `json:"action"`
	Name   string `json:"name,omitempty"`
	Spec   *Spec  `json:"spec,omitempty"`
}

// TeamUsage is the used part of a team's budget.
type TeamUsage struct {
	Team        string `json:"team"`
	Unavailable int    `json:"unavailable"`
	Usage       Usage  `json:"used"`
	Budget      Budget `json:"budget"`
}

// Status is the status of a drain for operators.
type Status struct {
	Spec   Spec   `json:"spec"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	Batch  *Batch `json:"batch,omitempty"`
	Counts Counts `json:"counts"`
	// MachinesLeft is the number of selected machines that are not released yet.
	MachinesLeft int `json:"machinesLeft"`
	// Teams has the teams with any usage, in the response to a request about one drain.
	Teams []TeamUsage `json:"teams,omitempty"`
}

// Response is the leader's answer.
type Response struct {
	Status int    // of HTTP
	Reason string // of a refusal
	Drains []Status
}
