package drain

// State is the state of a drain.
type State string

// States of a drain.
const (
	Pending   State = "pending" // waits for the running drain and older pending ones
	Running   State = "running"
	Paused    State = "paused" // until an operator resumes it
	Done      State = "done"   // no selected machine is left
	Cancelled State = "cancelled"
)

// IsTerminal reports whether the drain has ended.
func (s State) IsTerminal() bool { return s == Done || s == Cancelled }

// Cause is why a drain waits or is paused.
type Cause string

// Causes. Their values are shown to operators.
const (
	WaitTaskEnd           Cause = "waits for tasks to end"
	WaitUnavailableBudget Cause = "budget of unavailable tasks is used up"
	WaitEvictionBudget    Cause = "budget of evictions is used up"
	WaitLostTimeBudget    Cause = "budget of lost run time is used up"
	WaitNoAlternative     Cause = "tasks have no place outside the drained machines"
	WaitReplacement       Cause = "waits for replacement machines"
	WaitMachineRelease    Cause = "waits for machines to be gone"
	BlockedByGuarantee    Cause = "the guarantee of a team with waiting work would not fit"
	BlockedByOverload     Cause = "new jobs are being shed"
	BlockedByPartition    Cause = "machines are cut off"
	BlockedByNewLeader    Cause = "the leader is new"
	ReplacementTimedOut   Cause = "no replacement machine came up in time"
	PausedByOperator      Cause = "paused by an operator"
)

// Reason is why a drain waits or is paused, with the team concerned, if any.
type Reason struct {
	Cause Cause  `json:"cause,omitempty"`
	Team  string `json:"team,omitempty"`
	// Deadline is set if the drain was paused because its deadline had passed.
	Deadline bool `json:"deadline,omitempty"`
}

// String returns the text for operators.
func (r Reason) String() string {
	text := string(r.Cause)
	if r.Team != "" {
		text += " (team " + r.Team + ")"
	}
	if r.Deadline {
		text = "deadline passed: " + text
	}
	return text
}

// endsByItself reports whether a wait for this cause is part of the drain's progress: the tasks or
// the releases that it waits for end by themselves.
func (c Cause) endsByItself() bool { return c == WaitTaskEnd || c == WaitMachineRelease }
