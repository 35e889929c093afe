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

const maxOps = 100 // maximum number of changes in a batch

// fixture is a log with its write queues, a job and a machine for its attempts, and the number of calls
// of each callback.
type fixture struct {
	*startlog.Log
	writes                       *records.WriteQueues
	job                          *jobs.Job
	machine                      *machines.Machine
	durableStarts, refusedStarts int
}

func newFixture(valueLimit int) *fixture {
	f := &fixture{
		writes:  records.NewWriteQueues(zerolog.Nop(), valueLimit),
		job:     jobs.New(wire.Job{ID: "job-1", Tasks: 1000}, 0, time.Time{}),
		machine: machines.New(time.Time{}, "m1", "std-8", "a", "", true),
	}
	f.Log = startlog.New(5, valueLimit, f.writes, startlog.Callbacks{
		OnDurable: func(a *machines.Attempt) { a.MarkStartRecorded(); f.durableStarts++ },
		OnRefused: func(a *machines.Attempt) { f.Remove(a); f.refusedStarts++ },
	})
	return f
}

// addStart adds an attempt of a task to the log and returns it.
func (f *fixture) addStart(index int32) *machines.Attempt {
	a := machines.NewPendingAttempt(f.machine, f.job, index, time.Time{}, 1, false)
	f.Add(a)
	return a
}

// TestStartsOfAPassShareARecord: the record excludes attempts that end before it is written, and it is
// deleted when the last of its attempts ends.
func TestStartsOfAPassShareARecord(t *testing.T) {
	f := newFixture(2048)
	first, second, third := f.addStart(0), f.addStart(1), f.addStart(2)
	f.Remove(second)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Put != "s/00000005-00000001" {
		t.Fatalf("batch %+v, want one start record", b)
	}
	want := `{"machines":[{"id":"m1","type":"std-8","zone":"a","spot":true,"tasks":{"job-1":"0,2"}}]}`
	if got := string(b.Mutations[0].Value); got != want {
		t.Errorf("record %s, want %s", got, want)
	}
	if f.durableStarts != 0 {
		t.Error("OnDurable was called before the record is durable")
	}
	f.writes.MarkCommitted(b, nil)
	if f.durableStarts != 2 || second.State() != machines.RecordPending {
		t.Errorf("OnDurable was called for %d attempts, want the 2 that have not ended", f.durableStarts)
	}
	f.Remove(first)
	if f.writes.Len() != 0 {
		t.Error("the record is deleted although an attempt is left")
	}
	f.Remove(third)
	f.Remove(third) // has no effect
	b = f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "s/00000005-00000001" {
		t.Errorf("batch %+v, want the deletion of the record", b)
	}
}

// TestStartsAfterABatchGetANewRecord: an attempt is added to a new record if the current one is in a
// batch or would exceed the value limit.
func TestStartsAfterABatchGetANewRecord(t *testing.T) {
	f := newFixture(256)
	for i := range int32(100) {
		f.addStart(i * 7)
	}
	for b := f.writes.NextBatch(maxOps, maxOps, false); b != nil; b = f.writes.NextBatch(maxOps, maxOps, false) {
		for _, m := range b.Mutations {
			if len(m.Value) > 256 {
				t.Errorf("%s has %d bytes, want at most 256", m.Put, len(m.Value))
			}
		}
		f.writes.MarkCommitted(b, nil)
	}
	if f.durableStarts != 100 {
		t.Fatalf("OnDurable was called for %d of 100 attempts, want all", f.durableStarts)
	}
	f.addStart(701)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || strings.HasSuffix(b.Mutations[0].Put, "-00000001") {
		t.Errorf("batch %+v, want one new start record", b)
	}
}

// TestOnRefusedIsCalledForEachAttempt: if the key-value store refuses a record, its starts are not sent,
// and their tasks can be placed again.
func TestOnRefusedIsCalledForEachAttempt(t *testing.T) {
	f := newFixture(2048)
	f.addStart(0)
	f.addStart(1)
	b := f.writes.NextBatch(maxOps, maxOps, false)
	f.writes.MarkCommitted(b, []string{b.Mutations[0].Put})
	if f.durableStarts != 0 || f.refusedStarts != 2 {
		t.Errorf("OnDurable was called for %d attempts, want 0; OnRefused for %d, want 2",
			f.durableStarts, f.refusedStarts)
	}
}

// TestLoadedRecordsWithoutAttemptsAreDeleted: a loaded record is deleted after loading if it has no
// attempts, otherwise when all of them have ended.
func TestLoadedRecordsWithoutAttemptsAreDeleted(t *testing.T) {
	f := newFixture(2048)
	f.AddLoadedRecord("s/old")
	a := machines.NewPossiblyStartedAttempt(f.machine, f.job, 0, time.Time{})
	f.AddLoadedRecord("m/m1").LinkAttempt(a)
	f.FinishLoading()
	b := f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "s/old" {
		t.Fatalf("batch %+v, want the deletion of the record without attempts", b)
	}
	f.Remove(a)
	b = f.writes.NextBatch(maxOps, maxOps, false)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Delete != "m/m1" {
		t.Errorf("batch %+v, want the deletion of the record whose attempt has ended", b)
	}
}
