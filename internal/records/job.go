package records

import (
	"encoding/json"
	"fmt"

	"switchshore.example/switchshore/wire"
)

// jobRecord is the stored form of a job. A job that earlier versions understand completely is
// in Job. Where Job is only a placeholder the job as submitted is in Whole or, if that is too
// large for a value, cut into Pieces records of Term.
type jobRecord struct {
	Job    wire.Job  `json:"job"`
	At     int64     `json:"at"`
	Whole  *wire.Job `json:"whole,omitempty"`
	Term   uint64    `json:"term,omitempty"`
	Pieces int       `json:"pieces,omitempty"`
}

// Item is a key with its stored value.
type Item struct {
	Key   string
	Value json.RawMessage
}

// EncodeJob returns the records of a job that was submitted at a time of day in milliseconds,
// none with a value of more than valueLimit bytes. They must be committed in order: pieces
// come before the record that names them, which is last; after a crash between them there is
// no job, and a successor deletes them.
func EncodeJob(job *wire.Job, submittedAtMS int64, term uint64, valueLimit int) []Item {
	rec := jobRecord{Job: *job, At: submittedAtMS}
	value := encode(rec)
	if len(job.DependsOn) > 0 || len(value) > valueLimit {
		rec.Job, rec.Whole = placeholder(*job), job
		value = encode(rec)
	}
	var items []Item
	if len(value) > valueLimit {
		rec.Whole, rec.Term = nil, term
		items = splitJob(job, term, valueLimit)
		rec.Pieces = len(items)
		value = encode(rec)
	}
	return append(items, Item{JobKey(job.ID), value})
}

// splitJob cuts a job that is too large for one value.
func splitJob(job *wire.Job, term uint64, valueLimit int) []Item {
	size := (valueLimit - len(`""`)) / 4 * 3 // as base64
	var items []Item
	for rest := []byte(encode(job)); len(rest) > 0; {
		piece := rest[:min(size, len(rest))]
		rest = rest[len(piece):]
		items = append(items, Item{JobPieceKey(job.ID, term, len(items)), encode(piece)})
	}
	return items
}

// unknownMachineType is a machine type that no cloud offers.
const unknownMachineType = "(known to later versions)"

// placeholder is what versions before the dependent jobs read of a job that they would
// get wrong: it is queued and can be cancelled, but fits no machine, so that they
// never start it. Needed while such a version may run.
func placeholder(job wire.Job) wire.Job {
	job.Class, job.Image, job.Zone = "-", "-", ""
	job.MachineTypes = []string{unknownMachineType}
	job.DependsOn = nil
	return job
}

// JobPieces holds loaded pieces of job records by key until their jobs are loaded.
type JobPieces map[string][]byte

// Add keeps a piece. One that is corrupt is kept without content, so that it is deleted if it
// belongs to no job.
func (p JobPieces) Add(key string, value json.RawMessage) error {
	var piece []byte
	err := json.Unmarshal(value, &piece)
	p[key] = piece
	return err
}

// assemble removes a job's pieces and returns their keys and their content put together.
func (p JobPieces) assemble(id string, term uint64, count int) (keys []string, content []byte, err error) {
	for number := range count {
		key := JobPieceKey(id, term, number)
		piece, ok := p[key]
		if !ok {
			return nil, nil, fmt.Errorf("%w: %s", ErrMissingPiece, key)
		}
		delete(p, key)
		keys = append(keys, key)
		content = append(content, piece...)
	}
	return keys, content, nil
}

// StoredJob is a job as loaded.
type StoredJob struct {
	wire.Job
	// SubmittedAtMS is the time of day of its submission in milliseconds.
	SubmittedAtMS int64
	// PieceKeys are the keys of its records beside its own.
	PieceKeys []string
}

// DecodeJob reads the job record of an id; its pieces are taken out of those loaded before.
// The errors are those of JSON, ErrMissingPiece and ErrOtherJob.
func DecodeJob(id string, value json.RawMessage, pieces JobPieces) (*StoredJob, error) {
	var rec jobRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return nil, err
	}
	stored := &StoredJob{Job: rec.Job, SubmittedAtMS: rec.At}
	switch {
	case rec.Whole != nil:
		stored.Job = *rec.Whole
	case rec.Pieces > 0:
		keys, content, err := pieces.assemble(id, rec.Term, rec.Pieces)
		if err != nil {
			return nil, err
		}
		stored.Job, stored.PieceKeys = wire.Job{}, keys
		if err := json.Unmarshal(content, &stored.Job); err != nil {
			return nil, err
		}
	}
	if stored.ID != id {
		return nil, fmt.Errorf("%w: %q", ErrJobIDMismatch, stored.ID)
	}
	return stored, nil
}

// encode returns the stored form of a value.
func encode(v any) json.RawMessage {
	value, _ := json.Marshal(v) // can't fail: plain structs of finite numbers, no marshallers
	return value
}
