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
	// Accepting: the acceptance of the job is not durable yet.
	Accepting State = iota
	// Active: the job is accepted and neither done nor cancelled.
	Active
	// Cancelled: no further task starts. The record of the job stays until none of its tasks may be
	// on a machine.
	Cancelled
	// Done: all tasks have completed.
	Done
)

// transitions lists the legal next states of each state.
var transitions = map[State][]State{
	Accepting: {Active, Cancelled},
	Active:    {Cancelled, Done},
}

// CanBecome reports whether a job in this state may change to the next state.
func (s State) CanBecome(next State) bool {
	for _, legal := range transitions[s] {
		if legal == next {
			return true
		}
	}
	return false
}

// IsTerminal reports whether no state can follow.
func (s State) IsTerminal() bool { return len(transitions[s]) == 0 }

// String implements fmt.Stringer.
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

// lifecycle is the state of a job. A change of state applies at once in memory; the flags tell
// whether it is durable.
type lifecycle struct {
	state             State
	endedAt           time.Time // when the job was done or cancelled in this term, or zero
	acceptanceDurable bool
	endDurable        bool // the final state is durable
}

// changeState sets the next state. It panics if the transition is illegal, which is a bug of
// the caller.
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

// EndedAt returns when the job was done or cancelled in this term, or the zero time.
func (l *lifecycle) EndedAt() time.Time { return l.endedAt }

// MarkAccepted records that the acceptance is durable and reports whether the job becomes
// active. A job that was cancelled in the meantime stays cancelled.
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

// End changes the state of the job to Done or Cancelled and returns the final state, which the
// caller has to store.
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

// RestoreEnd applies the stored final state of the job. A second call has no effect.
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

// MustWithholdState reports whether responses must not contain the job's state yet. There are
// two cases. While the acceptance is not durable, the job is lost if the leader fails. When a
// dependency was cancelled, the job will be cancelled too, so a response must not describe it
// as queued or running while its cancellation is not durable.
func (j *Job) MustWithholdState() bool {
	return !j.acceptanceDurable || j.dependencyCancelled && !j.endDurable
}
