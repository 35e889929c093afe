package startlog_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/startlog"
	"switchshore.example/switchshore/wire"
)

const maxOps = 100 // changes in a batch

// fixture is a log with its write queues and the numbers of its callbacks.
type fixture struct {
	*startlog.Log
	writes           *records.WriteQueues
	job              *jobs.Job
	machine          *machines.Machine
	durable, refused int
}

func newFixture(valueLimit int) *fixture {
	f := &fixture{
		writes:  records.NewWriteQueues(zerolog.Nop(), valueLimit),
		job:     jobs.New(wire.Job{ID: "job-1", Tasks: 1000}, 0, time.Time{}),
		machine: machines.New(time.Time{}, "m1", "std-8", "a", "", true),
	}
	f.Log = startlog.New(5, valueLimit, f.writes, startlog.Callbacks{
		OnDurable: func(a *machines.Attempt) { a.MarkStartRecorded(); f.durable++ },
		OnRefused: func(a *machines.Attempt) { f.Remove(a); f.refused++ },
	})
	return f
}

// add adds the start of a task to the log.
func (f *fixture) add(index int32) *machines.Attempt {
	a := machines.NewPendingAttempt(f.machine, f.job, index, time.Time{}, 1, false)
	f.Add(a)
	return a
}

// TestStartsOfAPassShareARecord: attempts that end before the record is written are left out,
// and the record is deleted when the last of its attempts ends.
func TestStartsOfAPassShareARecord(t *testing.T) {
	f := newFixture(2048)
	first, second, third := f.add(0), f.add(1), f.add(2)
	f.Remove(second)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Put != "s/00000005-00000001" {
		t.Fatalf("%+v", b)
	}
	want := `{"machines":[{"id":"m1","type":"std-8","zone":"a","spot":true,"tasks":{"job-1":"0,2"}}]}`
	if got := string(b.Mutations[0].Value); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if f.durable != 0 {
		t.Error("starts are sent before their record is durable")
	}
	f.writes.MarkCommitted(b, nil)
	if f.durable != 2 || second.State() != machines.RecordPending {
		t.Errorf("%d starts sent", f.durable)
	}
	f.Remove(first)
	if f.writes.Len() != 0 {
		t.Error("deleted while an attempt is left")
	}
	f.Remove(third)
	f.Remove(third)
	b = f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "s/00000005-00000001" {
		t.Errorf("%+v", b)
	}
}

// TestStartsAfterABatchGetANewRecord: starts get a new record when the current one is in a
// batch or would exceed the value limit.
func TestStartsAfterABatchGetANewRecord(t *testing.T) {
	f := newFixture(256)
	for i := range int32(100) {
		f.add(i * 7)
	}
	for b := f.writes.NextBatch(maxOps, maxOps, false); b != nil; b = f.writes.NextBatch(maxOps, maxOps, false) {
		for _, m := range b.Mutations {
			if len(m.Value) > 256 {
				t.Errorf("%s has %d bytes", m.Put, len(m.Value))
			}
		}
		f.writes.MarkCommitted(b, nil)
	}
	if f.durable != 100 {
		t.Fatalf("%d of 100 starts sent", f.durable)
	}
	f.add(701)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || strings.HasSuffix(b.Mutations[0].Put, "-00000001") {
		t.Errorf("%+v", b)
	}
}

// TestRefusedRecordCallsBackForItsAttempts: none of the starts was sent, so their tasks can be
// placed again.
func TestRefusedRecordCallsBackForItsAttempts(t *testing.T) {
	f := newFixture(2048)
	f.add(0)
	f.add(1)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	f.writes.MarkCommitted(b, []string{b.Mutations[0].Put})
	if f.durable != 0 || f.refused != 2 {
		t.Errorf("%d starts sent, %d refused", f.durable, f.refused)
	}
}

// TestLoadedRecordsWithoutAttemptsAreDeleted: other loaded records stay until their attempts
// have ended.
func TestLoadedRecordsWithoutAttemptsAreDeleted(t *testing.T) {
	f := newFixture(2048)
	f.LoadRecord("s/old")
	a := machines.NewPossiblyStartedAttempt(f.machine, f.job, 0, time.Time{})
	f.LoadRecord("m/m1").AddLoadedAttempt(a)
	f.FinishLoading()
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "s/old" {
		t.Fatalf("%+v", b)
	}
	f.Remove(a)
	b = f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "m/m1" {
		t.Errorf("%+v", b)
	}
}
