package records

import (
	"encoding/json"
	"fmt"

	"switchshore.example/switchshore/wire"
)

// jobRecord is the stored form of a job. Job is the submitted job if it fits into one value and earlier
// versions of the program handle it correctly. Otherwise Job is a placeholder for these versions, and
// the submitted job is in Whole or, if it is too large for one value, in separate piece records.
type jobRecord struct {
	Job    wire.Job  `json:"job"`
	At     int64     `json:"at"` // wall-clock time of the submission in milliseconds
	Whole  *wire.Job `json:"whole,omitempty"`
	Term   uint64    `json:"term,omitempty"`   // term in the keys of the pieces
	Pieces int       `json:"pieces,omitempty"` // number of pieces
}

// Item is a stored record: a key and its value.
type Item struct {
	Key   string
	Value json.RawMessage
}

// EncodeJob returns the records of a job: its pieces, if it needs any, and last the job record. No
// value is larger than valueLimit bytes. submittedAtMS is the wall-clock time of the submission in
// milliseconds; term is the leader's term, which is part of the keys of the pieces.
//
// The records must be committed in this order: if the leader fails in between, there are only pieces
// without a job record, which a successor deletes.
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

// splitJob returns the piece records of a job that is too large for one value.
func splitJob(job *wire.Job, term uint64, valueLimit int) []Item {
	size := (valueLimit - len(`""`)) / 4 * 3 // base64 encodes 3 bytes as 4
	var items []Item
	for rest := []byte(encode(job)); len(rest) > 0; {
		piece := rest[:min(size, len(rest))]
		rest = rest[len(piece):]
		items = append(items, Item{JobPieceKey(job.ID, term, len(items)), encode(piece)})
	}
	return items
}

// unknownMachineType is the machine type of placeholders. No cloud offers it.
const unknownMachineType = "(known to later versions)"

// placeholder returns a job that takes the place of the given one for versions of the program
// without support for dependent jobs, which would handle that one incorrectly. These versions queue
// the placeholder and can cancel it, but never start it, because it fits no machine. Placeholders
// are needed as long as such a version may run.
func placeholder(job wire.Job) wire.Job {
	job.Class, job.Image, job.Zone = "-", "-", ""
	job.MachineTypes = []string{unknownMachineType}
	job.DependsOn = nil
	return job
}

// JobPieces maps keys to the loaded pieces of jobs whose job records are not loaded yet.
type JobPieces map[string][]byte

// Add decodes and adds a loaded piece. A corrupt piece is added without content: its key must be
// known, because the piece is deleted after loading if it belongs to no job.
func (p JobPieces) Add(key string, value json.RawMessage) error {
	var piece []byte
	err := json.Unmarshal(value, &piece)
	p[key] = piece
	return err
}

// assemble removes the pieces of a job from p and returns their keys and their joined content.
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
	SubmittedAtMS int64    // wall-clock time of the submission in milliseconds
	PieceKeys     []string // keys of the job's pieces
}

// DecodeJob decodes the job record with the given job ID. The job's pieces must have been added to
// pieces before, and are removed from it. The errors are those of package json, ErrMissingPiece and
// ErrJobIDMismatch.
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
	// Marshal can't fail: the values contain no custom marshallers and only finite numbers.
	value, _ := json.Marshal(v)
	return value
}
