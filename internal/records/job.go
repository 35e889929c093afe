package records

import (
	"encoding/json"
	"fmt"

	"switchshore.example/switchshore/wire"
)

// jobRecord is the stored form of a job. Job holds the submitted job if earlier versions handle
// it correctly. Otherwise Job is a placeholder, and the submitted job is in Whole or, if it is
// too large for one value, split into Pieces records of Term.
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

// EncodeJob returns the records of a job that was submitted at a wall-clock time in
// milliseconds, none with a value of more than valueLimit bytes. They must be committed in
// order, the pieces before the job record that refers to them: after a crash in between there
// are pieces without a job, which a successor deletes.
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

// splitJob splits a job that is too large for one value into pieces.
func splitJob(job *wire.Job, term uint64, valueLimit int) []Item {
	size := (valueLimit - len(`""`)) / 4 * 3 // before base64 encoding
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

// placeholder returns the job that versions without dependent jobs read in place of one that
// they would handle incorrectly: it is queued and can be cancelled, but fits no machine, so
// that they never start it. It is needed as long as such a version may run.
func placeholder(job wire.Job) wire.Job {
	job.Class, job.Image, job.Zone = "-", "-", ""
	job.MachineTypes = []string{unknownMachineType}
	job.DependsOn = nil
	return job
}

// JobPieces holds loaded pieces of job records by key until their jobs are loaded.
type JobPieces map[string][]byte

// Add adds a loaded piece. A corrupt piece is added without content, so that it is deleted if
// it belongs to no job.
func (p JobPieces) Add(key string, value json.RawMessage) error {
	var piece []byte
	err := json.Unmarshal(value, &piece)
	p[key] = piece
	return err
}

// assemble removes the pieces of a job and returns their keys and their concatenated content.
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

// StoredJob is a job loaded from its records.
type StoredJob struct {
	wire.Job
	// SubmittedAtMS is the wall-clock time of its submission in milliseconds.
	SubmittedAtMS int64
	// PieceKeys are the keys of its pieces.
	PieceKeys []string
}

// DecodeJob decodes the job record of an ID and removes the job's pieces from those loaded
// before. It fails with a JSON error, ErrMissingPiece or ErrJobIDMismatch.
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
