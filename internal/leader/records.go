package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// ErrDamaged is a stored record that can't be right, and without which the
// state would be wrong.
var ErrDamaged = errors.New("damaged record")

const keyTypes = "c/types"

func keyJob(id string) string   { return "j/" + id }
func keyFinal(id string) string { return "f/" + id }

// keyPiece names a part of a job record that was too large for one value. The
// term keeps it from being taken for one of an earlier try at the same job.
func keyPiece(id string, term uint64, number int) string {
	return fmt.Sprintf("n/%s/%d-%d", id, term, number)
}

// jobRecord is the stored form of a job. A job of which earlier versions know
// all is in Job. Where Job only stands in for it the job as submitted is in
// Whole or, if that is too large for a value, cut into Pieces records of Term.
type jobRecord struct {
	Job    wire.Job  `json:"job"`
	At     int64     `json:"at"`
	Whole  *wire.Job `json:"whole,omitempty"`
	Term   uint64    `json:"term,omitempty"`
	Pieces int       `json:"pieces,omitempty"`
}

// valueLimit is the largest value of the state service, in bytes.
func (l *Leader) valueLimit() int { return int(l.params.State.ValueKB * 1024) }

// storeJob queues the writes of a job and calls then when all are durable. Pieces
// go before the record that names them: after a crash between them there is no
// job, and a successor drops them.
func (l *Leader) storeJob(j *job, then func()) {
	rec := jobRecord{Job: j.Job, At: j.at}
	value, _ := json.Marshal(rec)
	if len(j.DependsOn) > 0 || len(value) > l.valueLimit() {
		rec.Job, rec.Whole = placeholder(j.Job), &j.Job
		value, _ = json.Marshal(rec)
	}
	if len(value) > l.valueLimit() {
		rec.Whole, rec.Term = nil, l.term
		rest, _ := json.Marshal(j.Job)
		size := (l.valueLimit() - len(`""`)) / 4 * 3 // as base64
		for ; len(rest) > 0; rec.Pieces++ {
			piece := rest[:min(size, len(rest))]
			rest = rest[len(piece):]
			key := keyPiece(j.ID, l.term, rec.Pieces)
			text, _ := json.Marshal(piece)
			j.keys[key] = true
			l.interactiveWrites.put(key, text, nil)
		}
		value, _ = json.Marshal(rec)
	}
	l.interactiveWrites.put(keyJob(j.ID), value, then)
}

// unknownType is a machine type that no cloud offers.
const unknownType = "(known to later versions)"

// placeholder is what versions before the dependent jobs read of a job that they would
// get wrong: it is queued and can be cancelled, but fits no machine, so that they
// never start it. Needed while such a version may run.
func placeholder(j wire.Job) wire.Job {
	j.Class, j.Image, j.Zone = "-", "-", ""
	j.MachineTypes = []string{unknownType}
	j.DependsOn = nil
	return j
}

// loadJob takes in a job's record; its pieces have been loaded before.
func (l *Leader) loadJob(now, wall time.Time, id string, value json.RawMessage) error {
	var rec jobRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return err
	}
	spec := rec.Job
	var keys []string
	switch {
	case rec.Whole != nil:
		spec = *rec.Whole
	case rec.Pieces > 0:
		var text []byte
		for k := range rec.Pieces {
			key := keyPiece(id, rec.Term, k)
			piece, ok := l.pieces[key]
			if !ok {
				return fmt.Errorf("%s is missing", key)
			}
			delete(l.pieces, key)
			keys = append(keys, key)
			text = append(text, piece...)
		}
		spec = wire.Job{}
		if err := json.Unmarshal(text, &spec); err != nil {
			return err
		}
	}
	if spec.ID != id {
		return fmt.Errorf("is of %q", spec.ID)
	}
	age := max(0, wall.Sub(time.UnixMilli(rec.At)))
	j := newJob(spec, rec.At, now.Add(-age))
	j.state, j.acceptanceDurable = jobActive, true
	for _, key := range keys {
		j.keys[key] = true
	}
	l.jobs[id] = j
	l.countUnfinished(j.Team, j.Tasks)
	return nil
}

// doneChunk is the number of tasks whose completion shares a record: the
// largest power of two, up to a bound, with which the record fits into a value
// however fragmented it is.
func (l *Leader) doneChunk() int {
	most := max(1, (l.valueLimit()-len(`""`))/tuning.CompletionBytesPerTask)
	return min(tuning.CompletionChunkTasks, 1<<(bits.Len(uint(most))-1))
}

// doneRecord is the key and the text of a part of a job's done-set. Parts of
// the full size have the keys that versions before the smaller ones used. Those
// read all parts, whatever their bounds, but write their own with all that they
// know of it; as each key stands for the same bounds to everybody, nobody takes
// a completion out of a record that another one has written.
func (l *Leader) doneRecord(j *job, number int) (key, text string) {
	size := l.doneChunk()
	from, to := number*size, (number+1)*size
	key = "d/" + j.ID + "/" + strconv.Itoa(number)
	if size < tuning.CompletionChunkTasks {
		key = fmt.Sprintf("d/%s/%d-%d", j.ID, from, to-1)
	}
	return key, j.done.Format(from, to)
}
