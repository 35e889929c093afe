package jobs

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/records"
)

// State is how far a job has come.
type State int

// States of a job.
const (
	// Accepting: the acceptance is not durable yet.
	Accepting State = iota
	// Active: tasks are to run.
	Active
	// Cancelled: the record stays until no task may be on a machine.
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

// lifecycle is the state of a job, and what of it is durable.
type lifecycle struct {
	state             State
	endedAt           time.Time // when the end was decided, in this term
	acceptanceDurable bool
	endDurable        bool // the final state is durable
}

// changeState changes to a legal next state; any other is a fault of the caller.
func (l *lifecycle) changeState(next State) {
	if !l.state.CanBecome(next) {
		panic(fmt.Sprintf("jobs: a job that is %v can't become %v", l.state, next))
	}
	l.state = next
}

// State is how far the job has come.
func (l *lifecycle) State() State { return l.state }

// IsActive reports whether the job is accepted and neither done nor cancelled.
func (l *lifecycle) IsActive() bool { return l.state == Active }

// AcceptanceDurable reports whether the acceptance of the job is durable.
func (l *lifecycle) AcceptanceDurable() bool { return l.acceptanceDurable }

// EndDurable reports whether the final state of the job is durable.
func (l *lifecycle) EndDurable() bool { return l.endDurable }

// EndedAt is when the end of the job was decided in this term, or zero.
func (l *lifecycle) EndedAt() time.Time { return l.endedAt }

// MarkAccepted notes that the acceptance is durable. It reports whether the job is active from
// now on: it may have been cancelled meanwhile.
func (l *lifecycle) MarkAccepted() bool {
	l.acceptanceDurable = true
	if l.state != Accepting {
		return false
	}
	l.changeState(Active)
	return true
}

// MarkEndDurable notes that the final state is durable.
func (l *lifecycle) MarkEndDurable() { l.endDurable = true }

// End decides how the job ends, as Done or Cancelled, and returns the final state to be stored.
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

// RestoreEnd applies the stored final state of the job. Applied twice it changes nothing.
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

// StateWithheld reports whether no response may give the job's state now: its acceptance is
// not durable, so whether it exists is not decided, or it is being cancelled
// with one that it depends on. However long that takes to become durable,
// no response says any more that the job waits or runs.
func (j *Job) StateWithheld() bool {
	return !j.acceptanceDurable || j.dependencyCancelled && !j.endDurable
}
