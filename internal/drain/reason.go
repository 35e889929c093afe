package drain

// State is the state of a drain.
type State string

// States of a drain.
const (
	Pending   State = "pending" // waits for its turn: one drain runs at a time, the oldest pending one is next
	Running   State = "running"
	Paused    State = "paused" // until an operator resumes it
	Done      State = "done"   // no selected machine exists any more
	Cancelled State = "cancelled"
)

// IsTerminal reports whether the drain has ended.
func (s State) IsTerminal() bool { return s == Done || s == Cancelled }

// Cause is why a drain waits or is paused.
type Cause string

// Operators see the texts of the causes. With a cause Wait…, the current batch or the end of the drain
// waits. With a cause BlockedBy…, no new batch may start. With ReplacementTimedOut or PausedByOperator,
// the drain is paused.
const (
	WaitTaskEnd           Cause = "waits for tasks to end"
	WaitUnavailableBudget Cause = "budget of unavailable tasks is used up"
	WaitEvictionBudget    Cause = "budget of evictions is used up"
	WaitLostTimeBudget    Cause = "budget of lost run time is used up"
	WaitNoAlternative     Cause = "tasks have no place outside the drained machines"
	WaitReplacement       Cause = "waits for replacement machines"
	WaitMachineRelease    Cause = "waits for machines to be gone"
	// BlockedByGuarantee: without the machines of the batch, a team with waiting tasks might not get
	// its guaranteed CPUs.
	BlockedByGuarantee Cause = "the guarantee of a team with waiting work would not fit"
	BlockedByOverload  Cause = "new jobs are being shed"
	// BlockedByPartition: a zone or this leader appears to be unreachable over the network.
	BlockedByPartition Cause = "machines are cut off"
	// BlockedByLeaderStartup: a new leader does not know all machines and running tasks yet.
	BlockedByLeaderStartup Cause = "the leader is new"
	ReplacementTimedOut    Cause = "no replacement machine came up in time"
	PausedByOperator       Cause = "paused by an operator"
)

// Reason is a cause with its details.
type Reason struct {
	Cause Cause  `json:"cause,omitempty"`
	Team  string `json:"team,omitempty"` // whose tasks or guarantee are the cause, "" if none
	// DeadlinePassed is set if the drain was paused because it still had to wait after its deadline.
	DeadlinePassed bool `json:"deadline,omitempty"`
}

// String returns the reason as shown to operators.
func (r Reason) String() string {
	text := string(r.Cause)
	if r.Team != "" {
		text += " (team " + r.Team + ")"
	}
	if r.DeadlinePassed {
		text = "deadline passed: " + text
	}
	return text
}

// endsByItself reports whether a wait for this cause is a normal part of a drain: the tasks end, or
// the machines are released, without an operator's help.
func (c Cause) endsByItself() bool { return c == WaitTaskEnd || c == WaitMachineRelease }
