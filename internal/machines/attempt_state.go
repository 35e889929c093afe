package machines

import (
	"fmt"
	"slices"

	"switchshore.example/switchshore/wire"
)

// AttemptState is how far an attempt has come. The order counts: from Fetching on, the machine
// has reported the attempt.
type AttemptState uint8

// States of an attempt.
const (
	// PossiblyStarted: a predecessor recorded that the task may have been started here.
	PossiblyStarted AttemptState = iota
	// RecordPending: the record is on its way to the key-value store.
	RecordPending
	// StartSent: the start is sent in every response until a heartbeat shows it.
	StartSent
	// Fetching: the machine fetches the image.
	Fetching
	// Running: the task runs.
	Running
	// Saving: the task saves a checkpoint, as it is being stopped.
	Saving
)

// reportedStates are those that a machine can report. It may report any of them first, as
// states may pass between two heartbeats.
var reportedStates = []AttemptState{Fetching, Running, Saving}

// attemptTransitions are the legal successors of each state. A reported state may follow any
// other: the list of a machine counts, also when it shows an earlier attempt of the task.
var attemptTransitions = map[AttemptState][]AttemptState{
	PossiblyStarted: reportedStates,
	RecordPending:   append([]AttemptState{StartSent}, reportedStates...),
	StartSent:       reportedStates,
	Fetching:        reportedStates,
	Running:         reportedStates,
	Saving:          reportedStates,
}

// CanBecome reports whether an attempt in this state may change to the next one.
func (s AttemptState) CanBecome(next AttemptState) bool {
	return slices.Contains(attemptTransitions[s], next)
}

// HasImage reports whether an attempt in this state has its image on the machine.
func (s AttemptState) HasImage() bool { return s == Running || s == Saving }

// IsReported reports whether the machine has reported the attempt.
func (s AttemptState) IsReported() bool { return s >= Fetching }

// String returns the name of the state.
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

// ReportedState is the state that a machine reports for a task that has not exited.
func ReportedState(taskState string) AttemptState {
	switch taskState {
	case wire.TaskRunning:
		return Running
	case wire.TaskSaving:
		return Saving
	}
	return Fetching
}
