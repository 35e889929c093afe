package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// recordVersion is that of the stored form. A record of a later one is left alone.
const recordVersion = 1

// Errors of stored records.
var (
	// ErrUnreadable is a record that is damaged.
	ErrUnreadable = errors.New("drain record can't be read")
	// ErrNewerVersion is a record of a later version of the program.
	ErrNewerVersion = errors.New("drain record is of a later version")
)

// State is how far a drain has come.
type State string

// States of a drain.
const (
	Pending   State = "pending" // waits for those created before it
	Running   State = "running"
	Paused    State = "paused" // stands still until it is resumed
	Done      State = "done"   // no selected machine is left
	Cancelled State = "cancelled"
)

// IsTerminal reports whether nothing more is drained.
func (s State) IsTerminal() bool { return s == Done || s == Cancelled }

// Cause is why a drain waits or is paused.
type Cause string

// Causes.
const (
	WaitTasks           Cause = "waits for tasks to end"
	WaitUnavailable     Cause = "budget of unavailable tasks is used up"
	WaitEvictions       Cause = "budget of evictions is used up"
	WaitLostTime        Cause = "budget of lost run time is used up"
	WaitNoAlternative   Cause = "tasks have no place outside the drained machines"
	WaitReplacement     Cause = "waits for replacement machines"
	WaitMachines        Cause = "waits for machines to be gone"
	BlockedByGuarantee  Cause = "the guarantee of a team with waiting work would not fit"
	BlockedByOverload   Cause = "new jobs are being shed"
	BlockedByPartition  Cause = "machines are cut off"
	BlockedByNewLeader  Cause = "the leader is new"
	ReplacementTimedOut Cause = "no replacement machine came up in time"
	PausedByOperator    Cause = "paused by an operator"
)

// Reason is why a drain waits or is paused, with the team that it is about, if any.
type Reason struct {
	Cause Cause  `json:"cause,omitempty"`
	Team  string `json:"team,omitempty"`
	// Deadline: the drain was paused because its deadline had passed.
	Deadline bool `json:"deadline,omitempty"`
}

// String is the reason as operators read it.
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

// Counts sums up what a drain has done.
type Counts struct {
	Batches  int `json:"batches,omitempty"`
	Machines int `json:"machines,omitempty"`
	// Evicted are tasks stopped by the drain, Moved those of them that saved their progress.
	Evicted int `json:"evicted,omitempty"`
	Moved   int `json:"moved,omitempty"`
	// Replacements are the machines rented in the place of drained ones.
	Replacements int `json:"replacements,omitempty"`
}

// Batch is the machines that are being drained now.
type Batch struct {
	Machines []string `json:"machines"`
	// Cordoned: the machines take no new work. Before that, replacements are awaited.
	Cordoned bool `json:"cordoned,omitempty"`
	// Since is when the batch, or its cordon, began, in milliseconds of the time of day.
	Since int64 `json:"since"`
	// Replacements are machines rented for this batch.
	Replacements []string `json:"replacements,omitempty"`
}

// Record is the stored form of a drain.
type Record struct {
	Version int    `json:"version"`
	Spec    Spec   `json:"spec"`
	Created int64  `json:"created"` // milliseconds of the time of day
	State   State  `json:"state"`
	Reason  Reason `json:"reason"`
	Batch   *Batch `json:"batch,omitempty"`
	Counts  Counts `json:"counts"`
}

// NewRecord is the record of a drain accepted at the given time of day.
func NewRecord(s Spec, now time.Time) *Record {
	return &Record{Version: recordVersion, Spec: s, Created: now.UnixMilli(), State: Pending}
}

// Encode is the stored form.
func (r *Record) Encode() json.RawMessage {
	value, _ := json.Marshal(r)
	return value
}

// DecodeRecord reads the stored form of the drain of a name.
func DecodeRecord(name string, value []byte) (*Record, error) {
	var version struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if version.Version > recordVersion {
		return nil, fmt.Errorf("%w: %d", ErrNewerVersion, version.Version)
	}
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if err := r.check(name); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return r, nil
}

// check looks for what no leader writes.
func (r *Record) check(name string) error {
	if err := validate.Struct(&r.Spec); err != nil {
		return fieldError(err)
	}
	switch {
	case r.Spec.Name != name:
		return fmt.Errorf("is of %q", r.Spec.Name)
	case r.Spec.Selector.empty():
		return errors.New("selects nothing")
	case !slices.Contains([]State{Pending, Running, Paused, Done, Cancelled}, r.State):
		return fmt.Errorf("unknown state %q", r.State)
	case r.Batch != nil && (len(r.Batch.Machines) == 0 || r.State.IsTerminal()):
		return errors.New("a batch without machines, or of a drain that is over")
	}
	return nil
}

// Cordons reports whether the drain keeps a machine from taking new work.
func (r *Record) Cordons(machine string) bool {
	return r.Batch != nil && r.Batch.Cordoned && slices.Contains(r.Batch.Machines, machine)
}

// Replaces reports whether a machine was rented for the present batch.
func (r *Record) Replaces(machine string) bool {
	return r.Batch != nil && slices.Contains(r.Batch.Replacements, machine)
}

// BlocksProvisioning reports whether nothing of a type is to be rented in a zone. A drain that is done
// keeps what it has emptied closed until it is cancelled.
func (r *Record) BlocksProvisioning(machineType, zone string) bool {
	return (r.State == Running || r.State == Paused || r.State == Done) && r.Spec.Selector.SelectsAllOf(machineType, zone)
}

// pastDeadline reports whether the deadline, if there is one, has passed.
func (r *Record) pastDeadline(now time.Time) bool {
	return r.Spec.Deadline != nil && now.After(*r.Spec.Deadline)
}

// Forced reports whether tasks that have no other place are stopped all the same.
func (r *Record) Forced(now time.Time) bool { return r.Spec.Force && r.pastDeadline(now) }

// endsByItself reports whether a wait is part of the drain's progress.
func (c Cause) endsByItself() bool { return c == WaitTasks || c == WaitMachines }

// Wait notes why the drain makes no progress; past its deadline it is paused, unless it is
// forced or about to go on. It reports whether it has been paused.
func (r *Record) Wait(now time.Time, reason Reason) bool {
	if r.pastDeadline(now) && !r.Spec.Force && !reason.Cause.endsByItself() {
		reason.Deadline = true
		return r.Pause(reason)
	}
	r.Reason = reason
	return false
}

// Pause lets the drain stand still. It reports whether the record has changed.
func (r *Record) Pause(reason Reason) bool {
	if r.State == Paused || r.State.IsTerminal() {
		return false
	}
	r.State, r.Reason = Paused, reason
	return true
}

// Resume lets a paused drain go on when it is its turn.
func (r *Record) Resume(now time.Time) {
	if r.State != Paused {
		return
	}
	r.State, r.Reason = Pending, Reason{}
	if r.Batch != nil {
		r.Batch.Since = now.UnixMilli()
	}
}

// Cancel ends a drain: what it has cordoned takes work again.
func (r *Record) Cancel() {
	r.State, r.Reason, r.Batch = Cancelled, Reason{}, nil
}

// Compare orders drains by their creation.
func (r *Record) Compare(o *Record) int {
	if r.Created != o.Created {
		return int(max(-1, min(1, r.Created-o.Created)))
	}
	return strings.Compare(r.Spec.Name, o.Spec.Name)
}

// Next is the drain that runs now, of all: the one that is running, or else the oldest one
// that is pending, which it lets run. It reports whether a record has changed.
func Next(records []*Record) (r *Record, changed bool) {
	slices.SortFunc(records, (*Record).Compare)
	for _, r := range records {
		if r.State == Running {
			return r, false
		}
	}
	for _, r := range records {
		if r.State == Pending {
			r.State = Running
			return r, true
		}
	}
	return nil, false
}
