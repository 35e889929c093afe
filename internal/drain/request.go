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

// ChangesDrain reports whether the action changes the state of an existing drain.
func (a Action) ChangesDrain() bool { return a == Pause || a == Resume || a == Cancel }

// Request is an operator's request to the leader. Requests are idempotent.
type Request struct {
	// ID identifies a request that changes a drain. A copy of an executed request changes nothing, also
	// after later requests. Requests of earlier versions have no ID, and their copies are executed.
	ID     string `json:"id,omitempty"`
	Action Action `json:"action"`
	Name   string `json:"name,omitempty"` // of the drain; empty for Apply and List
	Spec   *Spec  `json:"spec,omitempty"` // for Apply
}

// TeamUsage is a team's budget and how much of it is used.
type TeamUsage struct {
	Team        string `json:"team"`
	Unavailable int    `json:"unavailable"` // number of unavailable tasks
	Usage       Usage  `json:"used"`        // within the budget's window
	Budget      Budget `json:"budget"`
}

// Status is the status of a drain for operators.
type Status struct {
	Spec   Spec   `json:"spec"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	Batch  *Batch `json:"batch,omitempty"` // the current batch, nil if there is none
	Counts Counts `json:"counts"`          // totals since the drain was accepted
	// MachinesLeft is the number of selected machines that still exist, 0 once the drain has ended.
	MachinesLeft int `json:"machinesLeft"`
	// Teams holds the usage of every team. It is empty in the response to List.
	Teams []TeamUsage `json:"teams,omitempty"`
}

// Response is the leader's response to a request.
type Response struct {
	HTTPStatus int      // HTTP status code
	Reason     string   // why the request was refused, "" if it was not
	Drains     []Status // all drains for List, otherwise the one that the request names
}
