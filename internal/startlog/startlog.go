// Package startlog writes start records before the starts are sent, so that a successor knows
// which machine to ask about which task. The starts of a scheduling pass share a record, which
// is deleted when none of its attempts is left. The package reads no clock and does no I/O.
package startlog

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// Callbacks are called for each attempt of a record whose start has not been sent.
type Callbacks struct {
	// OnDurable is called once the record is durable, so that the start may be sent.
	OnDurable func(*machines.Attempt)
	// OnRefused is called if the store refuses the record, so that the task has to be placed
	// again.
	OnRefused func(*machines.Attempt)
}

// Log owns the start records of a term.
type Log struct {
	term       uint64
	valueLimit int // bytes of a stored value
	writes     *records.WriteQueues
	callbacks  Callbacks
	lastNumber uint64    // number of the last record
	current    *Record   // accepts starts until it is full or in a batch
	loaded     []*Record // records of predecessors, until loading is finished
}

// New returns a log without records.
func New(term uint64, valueLimit int, writes *records.WriteQueues, callbacks Callbacks) *Log {
	return &Log{term: term, valueLimit: valueLimit, writes: writes, callbacks: callbacks}
}

// Add adds an attempt to the next record to be written.
func (l *Log) Add(a *machines.Attempt) {
	machine, jobID := a.Machine.NewStartsRecord(), a.Job.ID
	limit := float64(l.valueLimit) * tuning.RecordValueShare
	if l.current == nil || l.current.closed || float64(l.current.size.BytesWith(machine, jobID)) > limit {
		l.addRecord()
	}
	l.current.add(machine, a)
}

// addRecord queues an empty record and makes it the current one.
func (l *Log) addRecord() {
	l.lastNumber++
	l.current = &Record{log: l, key: records.StartsKey(l.term, l.lastNumber), size: records.NewStartsSize()}
	l.writes.PutStarts(l.current)
}

// Remove removes an ended attempt from its record. It deletes a written record with its last
// attempt.
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

// LoadRecord returns a record of a predecessor, to which loaded attempts are added.
func (l *Log) LoadRecord(key string) *Record {
	r := &Record{log: l, key: key, written: true, closed: true}
	l.loaded = append(l.loaded, r)
	return r
}

// FinishLoading deletes the loaded records without attempts.
func (l *Log) FinishLoading() {
	for _, r := range l.loaded {
		if r.liveAttempts == 0 {
			l.writes.Background.Delete(r.key)
		}
	}
	l.loaded = nil
}
