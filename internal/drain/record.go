package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// recordVersion is the version of the stored form. Records of later ones are left unchanged.
const recordVersion = 1

// Errors of stored records.
var (
	// ErrUnreadable is matched by the error of a damaged record.
	ErrUnreadable = errors.New("drain record can't be read")
	// ErrNewerVersion is matched by the error of a record of a later version of the program.
	ErrNewerVersion = errors.New("drain record is of a later version")
)

// Counts sums up what a drain has done.
type Counts struct {
	Batches  int `json:"batches,omitempty"`
	Machines int `json:"machines,omitempty"`
	// Evicted counts the tasks stopped by the drain, Moved those of them that had checkpoints.
	Evicted int `json:"evicted,omitempty"`
	Moved   int `json:"moved,omitempty"`
	// Replacements counts the machines provisioned to replace drained ones.
	Replacements int `json:"replacements,omitempty"`
}

// Batch is the group of machines that is being drained now.
type Batch struct {
	Machines []string `json:"machines"`
	// Cordoned: the machines are not schedulable. Before that, replacements are awaited.
	Cordoned bool `json:"cordoned,omitempty"`
	// SinceMS is when the batch, or its cordon, began, in milliseconds of the time of day.
	SinceMS int64 `json:"since"`
	// Replacements are the machines provisioned for this batch.
	Replacements []string `json:"replacements,omitempty"`
}

// Record is the stored form of a drain.
type Record struct {
	Version   int    `json:"version"`
	Spec      Spec   `json:"spec"`
	CreatedMS int64  `json:"created"` // milliseconds of the time of day
	State     State  `json:"state"`
	Reason    Reason `json:"reason"`
	Batch     *Batch `json:"batch,omitempty"`
	Counts    Counts `json:"counts"`
}

// NewRecord returns the record of a drain accepted at the given time of day.
func NewRecord(s Spec, now time.Time) *Record {
	return &Record{Version: recordVersion, Spec: s, CreatedMS: now.UnixMilli(), State: Pending}
}

// Encode returns the stored form.
func (r *Record) Encode() json.RawMessage {
	value, _ := json.Marshal(r) // it has no value that JSON can't express
	return value
}

// DecodeRecord reads the stored form of the drain of a name. The error is ErrUnreadable or
// ErrNewerVersion.
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

// check returns an error for what no leader writes.
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

// Cordons reports whether the drain cordons a machine.
func (r *Record) Cordons(machine string) bool {
	return r.Batch != nil && r.Batch.Cordoned && slices.Contains(r.Batch.Machines, machine)
}

// Replaces reports whether a machine was provisioned for the present batch.
func (r *Record) Replaces(machine string) bool {
	return r.Batch != nil && slices.Contains(r.Batch.Replacements, machine)
}

// BlocksProvisioning reports whether no machine of a type may be provisioned in a zone, as it
// would be selected. A completed drain blocks until it is cancelled.
func (r *Record) BlocksProvisioning(machineType, zone string) bool {
	return (r.State == Running || r.State == Paused || r.State == Done) && r.Spec.Selector.SelectsAllOf(machineType, zone)
}
