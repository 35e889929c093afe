// Package startlog queues records of starts to be written before the starts are sent to the
// machines, so that a successor knows which machine may have which task. The starts of a scheduling
// pass share a record as far as they fit. A record is deleted when all of its attempts have ended.
// The package reads no clock and does no I/O.
package startlog

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// Callbacks are called for each attempt whose start waits until its record is durable.
type Callbacks struct {
	// OnDurable is called when the record is durable. The start may then be sent.
	OnDurable func(*machines.Attempt)
	// OnRefused is called if the key-value store refuses the record. The start must not be sent, and
	// the task has to be placed again.
	OnRefused func(*machines.Attempt)
}

// Log holds the start records of a leadership term, including those loaded from earlier terms.
type Log struct {
	term       uint64
	valueLimit int // maximum bytes of a stored value
	writes     *records.WriteQueues
	callbacks  Callbacks
	lastNumber uint64    // number in the key of the last record
	current    *Record   // accepts attempts until it is full or in a batch; nil at first
	loaded     []*Record // records from earlier terms; nil after FinishLoading
}

// New returns a log without records.
func New(term uint64, valueLimit int, writes *records.WriteQueues, callbacks Callbacks) *Log {
	return &Log{term: term, valueLimit: valueLimit, writes: writes, callbacks: callbacks}
}

// Add adds an attempt to the current record, or to a new one if that is full or in a batch.
func (l *Log) Add(a *machines.Attempt) {
	machine, jobID := a.Machine.NewStartsRecord(), a.Job.ID
	limit := float64(l.valueLimit) * tuning.RecordValueShare
	if l.current == nil || l.current.closed || float64(l.current.size.BytesWith(machine, jobID)) > limit {
		l.addRecord()
	}
	l.current.add(machine, a)
}

// addRecord creates and queues an empty record, which becomes the current one.
func (l *Log) addRecord() {
	l.lastNumber++
	l.current = &Record{log: l, key: records.StartsKey(l.term, l.lastNumber), size: records.NewStartsSize()}
	l.writes.PutStarts(l.current)
}

// Remove removes an ended attempt from its record. If it was the last one and the record is written,
// Remove queues the deletion of the record.
func (l *Log) Remove(a *machines.Attempt) {
	r, recorded := a.StartRecord.(*Record)
	if !recorded {
		return
	}
	a.StartRecord = nil
	if r.liveAttempts--; r.liveAttempts == 0 && r.written {
		l.writes.Background.Delete(r.key)
	}
}

// AddLoadedRecord adds a stored record of an earlier term. The caller links its attempts to the
// returned record.
func (l *Log) AddLoadedRecord(key string) *Record {
	r := &Record{log: l, key: key, written: true, closed: true}
	l.loaded = append(l.loaded, r)
	return r
}

// FinishLoading queues the deletion of the loaded records without attempts.
func (l *Log) FinishLoading() {
	for _, r := range l.loaded {
		if r.liveAttempts == 0 {
			l.writes.Background.Delete(r.key)
		}
	}
	l.loaded = nil
}
