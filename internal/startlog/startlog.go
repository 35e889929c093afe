// Package startlog records starts of tasks before they are sent: a successor must know which
// machine to ask about which task. The starts of a scheduling pass share a record, which is
// deleted when none of its attempts is left. It reads no clock and does no I/O.
package startlog

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// Callbacks are what follows from the fate of a record, for each of its attempts whose start
// has not been sent.
type Callbacks struct {
	// Durable is called once the record is durable: the start may be sent.
	Durable func(*machines.Attempt)
	// Refused is called if the record can't be stored: the task has to be placed anew.
	Refused func(*machines.Attempt)
}

// Log owns the start records of a term.
type Log struct {
	term       uint64
	valueLimit int // bytes of a stored value
	writes     *records.WriteQueues
	callbacks  Callbacks
	named      uint64    // records named so far
	newest     *Record   // takes further starts until it is full or put into a batch
	loaded     []*Record // those of predecessors, while records are loaded
}

// New returns a log without records.
func New(term uint64, valueLimit int, writes *records.WriteQueues, callbacks Callbacks) *Log {
	return &Log{term: term, valueLimit: valueLimit, writes: writes, callbacks: callbacks}
}

// Add puts an attempt into the record that is written next.
func (l *Log) Add(a *machines.Attempt) {
	machine, jobID := a.Machine.NewStartsRecord(), a.Job.ID
	limit := float64(l.valueLimit) * tuning.RecordValueShare
	if l.newest == nil || l.newest.closed || float64(l.newest.size.With(machine, jobID)) > limit {
		l.addRecord()
	}
	l.newest.add(machine, a)
}

// addRecord queues an empty record.
func (l *Log) addRecord() {
	l.named++
	l.newest = &Record{log: l, key: records.StartsKey(l.term, l.named), size: records.NewStartsSize()}
	l.writes.PutStarts(l.newest)
}

// Remove takes an attempt that has ended out of its record's count.
func (l *Log) Remove(a *machines.Attempt) {
	r, recorded := a.Record.(*Record)
	if !recorded {
		return
	}
	a.Record = nil
	if r.live--; r.live == 0 && r.saved {
		l.writes.Background.Delete(r.key)
	}
}

// Load returns a record of a predecessor.
func (l *Log) Load(key string) *Record {
	r := &Record{log: l, key: key, saved: true, closed: true}
	l.loaded = append(l.loaded, r)
	return r
}

// FinishLoading deletes the loaded records that stand for no attempt.
func (l *Log) FinishLoading() {
	for _, r := range l.loaded {
		if r.live == 0 {
			l.writes.Background.Delete(r.key)
		}
	}
	l.loaded = nil
}
