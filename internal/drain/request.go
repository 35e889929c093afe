package drain

// Action is what an operator asks the leader to do.
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

// Request is an operator's request to the leader. It can be repeated without another effect.
type Request struct {
	Action Action `json:"action"`
	Name   string `json:"name,omitempty"` // of the drain, unless the action is Apply or List
	Spec   *Spec  `json:"spec,omitempty"` // for Apply
}

// TeamUsage is a team's budget and the used part of it.
type TeamUsage struct {
	Team        string `json:"team"`
	Unavailable int    `json:"unavailable"` // number of unavailable tasks
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
	// MachinesLeft is the number of selected machines that still exist, 0 once the drain has ended.
	MachinesLeft int `json:"machinesLeft"`
	// Teams holds the usage of every team. It is empty in the response to List.
	Teams []TeamUsage `json:"teams,omitempty"`
}

// Response is the leader's response to a request.
type Response struct {
	Status int    // HTTP status code
	Reason string // why the request was refused
	Drains []Status
}
