package drain

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// recordVersion is the version of the stored form. A record of a later version is not decoded and
// stays as it is.
const recordVersion = 1

// Errors of stored records.
var (
	// ErrUnreadable is matched by the errors of corrupt drain records and charges.
	ErrUnreadable = errors.New("drain record can't be read")
	// ErrNewerVersion is matched by the errors of records that a later version of the program wrote.
	ErrNewerVersion = errors.New("drain record is of a later version")
)

// Counts holds the totals of a drain since it was accepted.
type Counts struct {
	// Batches is the number of finished batches. Machines is the number of drained machines that no
	// longer exist.
	Batches  int `json:"batches,omitempty"`
	Machines int `json:"machines,omitempty"`
	// Evicted is the number of tasks that the drain evicted. Moved is the number of evicted tasks
	// with checkpoints, which continue on another machine.
	Evicted int `json:"evicted,omitempty"`
	Moved   int `json:"moved,omitempty"`
	// Replacements is the number of machines provisioned to replace drained ones.
	Replacements int `json:"replacements,omitempty"`
}

// Batch is a group of machines that are drained together.
type Batch struct {
	Machines []string `json:"machines"` // names of the machines that still exist
	// Cordoned is set once the machines are cordoned. Until then the batch waits for replacements.
	Cordoned bool `json:"cordoned,omitempty"`
	// WaitingSinceMS is the Unix time in milliseconds at which the batch was started, cordoned or resumed,
	// whichever was last. The batch measures its waiting times from then.
	WaitingSinceMS int64 `json:"since"`
	// Replacements are the names of the machines provisioned to replace those of this batch.
	Replacements []string `json:"replacements,omitempty"`
}

// Record is the stored form of a drain.
type Record struct {
	Version   int    `json:"version"`
	Spec      Spec   `json:"spec"`
	CreatedMS int64  `json:"created"` // Unix time in milliseconds at which the drain was accepted
	State     State  `json:"state"`
	Reason    Reason `json:"reason"`
	Batch     *Batch `json:"batch,omitempty"` // the current batch, nil if there is none
	Counts    Counts `json:"counts"`
	// ExecutedRequests are the IDs of the last requests that have changed the drain, the newest last.
	ExecutedRequests []string `json:"executed,omitempty"`
}

// NewRecord returns the record of a drain that was just accepted; now is the wall-clock time.
func NewRecord(s Spec, now time.Time) *Record {
	return &Record{Version: recordVersion, Spec: s, CreatedMS: now.UnixMilli(), State: Pending}
}

// Encode returns the record as stored JSON.
func (r *Record) Encode() json.RawMessage {
	value, _ := json.Marshal(r) // can't fail: JSON can represent every value
	return value
}

// DecodeRecord decodes and checks the stored record of the drain with the given name. Its errors
// match ErrUnreadable or ErrNewerVersion.
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
	if err := r.validateStored(name); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return r, nil
}

// validateStored returns an error if the record is invalid or belongs to a drain of another name.
func (r *Record) validateStored(name string) error {
	if err := validate.Struct(&r.Spec); err != nil {
		return fieldError(err)
	}
	switch {
	case r.Spec.Name != name:
		return fmt.Errorf("belongs to drain %q", r.Spec.Name)
	case r.Spec.Selector.isEmpty():
		return errors.New("selects nothing")
	case !slices.Contains([]State{Pending, Running, Paused, Done, Cancelled}, r.State):
		return fmt.Errorf("unknown state %q", r.State)
	case r.Batch != nil && (len(r.Batch.Machines) == 0 || r.State.IsTerminal()):
		return errors.New("has a batch without machines, or has ended with a batch")
	}
	return nil
}

// Cordons reports whether the drain has cordoned a machine.
func (r *Record) Cordons(machine string) bool {
	return r.Batch != nil && r.Batch.Cordoned && slices.Contains(r.Batch.Machines, machine)
}

// HasReplacement reports whether a machine was provisioned as a replacement for the current batch.
func (r *Record) HasReplacement(machine string) bool {
	return r.Batch != nil && slices.Contains(r.Batch.Replacements, machine)
}

// BlocksProvisioning reports whether the drain forbids provisioning machines of a type in a zone
// because it would select them. A drain that is done still forbids this until an operator cancels
// the drain.
func (r *Record) BlocksProvisioning(machineType, zone string) bool {
	return (r.State == Running || r.State == Paused || r.State == Done) && r.Spec.Selector.SelectsAllOf(machineType, zone)
}
