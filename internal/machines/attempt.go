package machines

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/wire"
)

// AttemptState is how far an attempt has come.
type AttemptState int

// States of an attempt.
const (
	// PossiblyStarted: a predecessor recorded that the task may have been started here.
	PossiblyStarted AttemptState = iota
	// RecordPending: the record is on its way to the state service.
	RecordPending
	// StartSent: the start goes out in every answer until a report shows it.
	StartSent
	Fetching
	Running
	Saving
)

// HasImage reports whether a task in this state counts as on its machine.
func (s AttemptState) HasImage() bool { return s == Running || s == Saving }

// Attempt is one run of a task on one machine.
type Attempt struct {
	Machine    *Machine
	Job        *jobs.Job
	Index      int32
	Record     any    // the start record that names it, of the package that stores it
	ListNumber uint64 // the last task list that showed it

	Number        uint64
	State         AttemptState
	AfterLongWait bool // placed since its job had waited long
	Stopping      bool // to be stopped
	GracePeriodS  float64
	StopSent      bool
	// SentSequence is the report in whose answer the start went out last, 0 if none.
	SentSequence uint64
	// SentDirectly: the start went out by /commands and no answer has come. It may
	// then run at any later time within the session, so the attempt counts as
	// there, is ordered again in answers to reports, and is never forgotten.
	SentDirectly    bool
	OrderedAt       time.Time
	RunningAt       time.Time
	CheckpointSaved bool // it saved its progress when it was stopped
	Failed          bool // it ended by an error of its own
	// Evicting: a drain is about to stop it, once the charge for that is durable.
	Evicting bool
}

// Wanted reports whether the attempt is still to run.
func (a *Attempt) Wanted() bool { return !a.Stopping && a.Job.NeedsTask(int(a.Index)) }

// Name is the name of the task on the wire.
func (a *Attempt) Name() string { return wire.TaskName(a.Job.ID, int(a.Index)) }

// StartCommand is the command that starts the attempt.
func (a *Attempt) StartCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.Name(), Attempt: a.Number}
}

// StopCommand is the command that stops the attempt.
func (a *Attempt) StopCommand() wire.Command {
	grace := a.GracePeriodS
	return wire.Command{Op: wire.OpStop, Task: a.Name(), Attempt: a.Number, GracePeriodS: &grace}
}
