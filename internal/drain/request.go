package drain

// Action is what an operator asks of a drain.
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

// Request is an operator's request to the leader. It may be repeated: what has been carried
// out already changes nothing.
type Request struct {
	Action Action `json:"action"`
	Name   string `json:"name,omitempty"`
	Spec   *Spec  `json:"spec,omitempty"`
}

// TeamUsage is what of a team's budget is used.
type TeamUsage struct {
	Team        string `json:"team"`
	Unavailable int    `json:"unavailable"`
	Usage       Usage  `json:"used"`
	Budget      Budget `json:"budget"`
}

// Status is what operators are told of a drain.
type Status struct {
	Spec   Spec   `json:"spec"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	Batch  *Batch `json:"batch,omitempty"`
	Counts Counts `json:"counts"`
	// MachinesLeft are the selected machines that are there still.
	MachinesLeft int `json:"machinesLeft"`
	// Teams are the budgets of the teams with any use, in a request about one drain.
	Teams []TeamUsage `json:"teams,omitempty"`
}

// Response is the leader's answer.
type Response struct {
	Status int    // as of HTTP
	Reason string // what is wrong, if anything is
	Drains []Status
}
