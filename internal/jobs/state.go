package jobs

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/records"
)

// State is the lifecycle state of a job.
type State int

// States of a job.
const (
	// Accepting: the acceptance is not durable yet.
	Accepting State = iota
	// Active: the job is accepted and has tasks to run.
	Active
	// Cancelled: the record stays until no task of the job may be on a machine.
	Cancelled
	// Done: all tasks have completed.
	Done
)

// transitions are the legal successors of each state.
var transitions = map[State][]State{
	Accepting: {Active, Cancelled},
	Active:    {Cancelled, Done},
}

// CanBecome reports whether a job in this state may change to the next one.
func (s State) CanBecome(next State) bool {
	for _, legal := range transitions[s] {
		if legal == next {
			return true
		}
	}
	return false
}

// IsTerminal reports whether the state is final.
func (s State) IsTerminal() bool { return len(transitions[s]) == 0 }

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Accepting:
		return "accepting"
	case Active:
		return "active"
	case Cancelled:
		return "cancelled"
	case Done:
		return "done"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// lifecycle is the state of a job and which of its changes are durable.
type lifecycle struct {
	state             State
	endedAt           time.Time // when the end was decided, in this term
	acceptanceDurable bool
	endDurable        bool // the final state is durable
}

// changeState changes to a legal next state. It panics on any other, which is a bug of the
// caller.
func (l *lifecycle) changeState(next State) {
	if !l.state.CanBecome(next) {
		panic(fmt.Sprintf("jobs: a job that is %v can't become %v", l.state, next))
	}
	l.state = next
}

// State returns the lifecycle state of the job.
func (l *lifecycle) State() State { return l.state }

// IsActive reports whether the job is accepted and neither done nor cancelled.
func (l *lifecycle) IsActive() bool { return l.state == Active }

// AcceptanceDurable reports whether the acceptance of the job is durable.
func (l *lifecycle) AcceptanceDurable() bool { return l.acceptanceDurable }

// EndDurable reports whether the final state of the job is durable.
func (l *lifecycle) EndDurable() bool { return l.endDurable }

// EndedAt returns when the end of the job was decided in this term, or the zero time.
func (l *lifecycle) EndedAt() time.Time { return l.endedAt }

// MarkAccepted records that the acceptance is durable. It reports whether the job becomes
// active, which it does not if it was cancelled in the meantime.
func (l *lifecycle) MarkAccepted() bool {
	l.acceptanceDurable = true
	if l.state != Accepting {
		return false
	}
	l.changeState(Active)
	return true
}

// MarkEndDurable records that the final state is durable.
func (l *lifecycle) MarkEndDurable() { l.endDurable = true }

// End changes the job to Done or Cancelled and returns the final state to be stored.
func (j *Job) End(now time.Time, state State) records.FinalState {
	j.changeState(state)
	j.endedAt = now
	j.ready = nil
	outcome := records.OutcomeDone
	if state == Cancelled {
		outcome = records.OutcomeCancelled
	}
	return records.FinalState{Outcome: outcome, TasksDone: int32(j.CompletedTasks())}
}

// RestoreEnd applies the stored final state of the job. It is idempotent.
func (j *Job) RestoreEnd(f records.FinalState) {
	state := Cancelled
	if f.Outcome == records.OutcomeDone {
		state = Done
	}
	if j.state != state {
		j.changeState(state)
	}
	j.endDurable = true
}

// MustWithholdState reports whether responses must not give the job's state yet. While its
// acceptance is not durable, the job may turn out not to exist. After a dependency was
// cancelled, the job will be cancelled too, and no response may say that it waits or runs,
// however long the cancellation takes to become durable.
func (j *Job) MustWithholdState() bool {
	return !j.acceptanceDurable || j.dependencyCancelled && !j.endDurable
}
