package drain

// State is the state of a drain.
type State string

// States of a drain.
const (
	Pending   State = "pending" // until the running drain and older pending ones end or pause
	Running   State = "running"
	Paused    State = "paused" // until an operator resumes it
	Done      State = "done"   // no selected machine exists any more
	Cancelled State = "cancelled"
)

// IsTerminal reports whether the drain has ended.
func (s State) IsTerminal() bool { return s == Done || s == Cancelled }

// Cause is why a drain waits or is paused.
type Cause string

// Causes of three kinds: with Wait…, a batch or the end of the drain has to wait; with BlockedBy…, no
// batch may start; the last two pause the drain. Operators see the texts.
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

// Reason is a cause with its details.
type Reason struct {
	Cause Cause  `json:"cause,omitempty"`
	Team  string `json:"team,omitempty"` // whose tasks or guarantee are the cause, "" if none
	// Deadline is set if the drain was paused because its deadline had passed.
	Deadline bool `json:"deadline,omitempty"`
}

// String returns the reason as shown to operators.
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

// endsByItself reports whether a wait for this cause is a normal part of a drain: the tasks end, or
// the machines are released, without an operator's help.
func (c Cause) endsByItself() bool { return c == WaitTaskEnd || c == WaitMachineRelease }
