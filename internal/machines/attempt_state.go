package machines

import (
	"fmt"
	"slices"

	"switchshore.example/switchshore/wire"
)

// AttemptState is the state of an attempt. The order matters: from Fetching on, the machine has
// reported the attempt.
type AttemptState uint8

// States of an attempt.
const (
	// PossiblyStarted: an earlier leader may have started the task on the machine.
	PossiblyStarted AttemptState = iota
	// RecordPending: the start record is not durable yet.
	RecordPending
	// StartSent: the start record is durable. The start is sent, and sent again in responses until
	// the machine reports the task.
	StartSent
	// Fetching: the machine fetches the image.
	Fetching
	// Running: the task runs.
	Running
	// Saving: the task saves a checkpoint while it is being stopped.
	Saving
)

// reportedStates are the states that a machine can report. Any of them may be reported first, as a
// task may pass through several states between two heartbeats.
var reportedStates = []AttemptState{Fetching, Running, Saving}

// attemptTransitions maps each state to the states that may follow it. A reported state may follow
// any state: the machine's task list is authoritative, even if it contains an earlier attempt of
// the task.
var attemptTransitions = map[AttemptState][]AttemptState{
	PossiblyStarted: reportedStates,
	RecordPending:   append([]AttemptState{StartSent}, reportedStates...),
	StartSent:       reportedStates,
	Fetching:        reportedStates,
	Running:         reportedStates,
	Saving:          reportedStates,
}

// CanBecome reports whether an attempt may change from state s to next.
func (s AttemptState) CanBecome(next AttemptState) bool {
	return slices.Contains(attemptTransitions[s], next)
}

// HasImage reports whether an attempt in this state has its image on the machine.
func (s AttemptState) HasImage() bool { return s == Running || s == Saving }

// IsReported reports whether the machine has reported the attempt.
func (s AttemptState) IsReported() bool { return s >= Fetching }

// String implements fmt.Stringer.
func (s AttemptState) String() string {
	switch s {
	case PossiblyStarted:
		return "possibly started"
	case RecordPending:
		return "record pending"
	case StartSent:
		return "start sent"
	case Fetching:
		return "fetching"
	case Running:
		return "running"
	case Saving:
		return "saving"
	}
	return fmt.Sprintf("AttemptState(%d)", int(s))
}

// ReportedState returns the attempt state for a task state in a heartbeat, which must not be
// exited. Unknown task states count as fetching.
func ReportedState(taskState string) AttemptState {
	switch taskState {
	case wire.TaskRunning:
		return Running
	case wire.TaskSaving:
		return Saving
	}
	return Fetching
}
