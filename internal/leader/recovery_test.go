package leader_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// TestSuccessorWaitsForRecordedMachine: a new leader places a task only when
// the machine that may have it has reported in its term or its lease has expired.
func TestSuccessorWaitsForRecordedMachine(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.store)
	next.report("m2", 1)
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed a task that m1 may have: %s", ops(cs))
	}
	// A report that knows an earlier term only proves nothing yet.
	a, receipt := next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5}, true)
	if receipt != leader.HeartbeatApplied || a.FencingToken != 6 || len(a.Commands) != 0 {
		t.Fatalf("%+v", a)
	}
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed because of an old heartbeat: %s", ops(cs))
	}
	next.seq = 60
	next.report("m1", 1, tr)
	if v := next.Query("job-1"); v.State != wire.JobRunning {
		t.Fatalf("%+v", v)
	}
	// Without a heartbeat of m1 the task is free once its lease has expired,
	// counted from the last answer that a predecessor may have given.
	other := newLeader(t, 7, l.now, l.store)
	wait := leader.GracePeriod(params.Workers) + 15*time.Second
	for other.now.Before(l.now.Add(wait)) {
		other.report("m2", 1)
		other.pass(time.Second)
		other.commit()
		if cs := other.report("m2", 1); len(cs) != 0 {
			t.Fatalf("placed %v after the succession", other.now.Sub(l.now))
		}
	}
	other.pass(3 * time.Second)
	other.report("m2", 1)
	other.pass(time.Second)
	other.commit()
	if cs := other.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("after the lease: %q", ops(cs))
	}
}

// TestReportedTaskIsRecordedAnew: an older attempt of a task has exited on the
// machine on which a newer one runs. The record of the start was deleted with the
// first; a successor must know of the second all the same.
func TestReportedTaskIsRecordedAnew(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.store)
	next.seq = 100
	older := wire.TaskStatus{Task: tr.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
	next.report("m1", 1, older, tr)
	next.commit()
	last := newLeader(t, 7, next.now, next.store)
	last.report("m2", 1)
	last.pass(time.Second)
	last.commit()
	if cs := last.report("m2", 1); len(cs) != 0 {
		t.Fatalf("started a second time: %s", ops(cs))
	}
}

// TestUnlistedMachineIsRemoved: a machine that was listed and is missing from a
// list that describes a later time no longer exists, nor do its tasks; a list that may be
// older than the one before it proves nothing.
func TestUnlistedMachineIsRemoved(t *testing.T) {
	l, _ := running(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	try := func(d time.Duration) string {
		l.now = l.now.Add(d)
		l.report("m2", 1)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
		l.pass(time.Second)
		l.commit()
		return ops(l.report("m2", 1))
	}
	// The list may be older than the first by twice the lag of 4 s.
	if got := try(7 * time.Second); got != "" {
		t.Fatalf("an old list was taken for proof: %s", got)
	}
	if got := try(time.Second); got != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", got)
	}
}

// TestSuccessorKnowsTheCatalogue: it decides on submissions without waiting for
// the cloud's answer.
func TestSuccessorKnowsTheCatalogue(t *testing.T) {
	l, _ := running(t)
	l.commit()
	next := leader.New(zerolog.Nop(), params, config.Operator{}, 6, l.now, 0)
	for key, value := range l.store {
		if strings.HasPrefix(key, records.MachineTypesKey) {
			if err := next.LoadRecord(l.now, l.now, wire.KeyValue{Key: key, Value: value}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !next.CatalogueKnown() {
		t.Fatal("no machine types known")
	}
}

// TestLastStartRecordOfATaskCounts: of two records that name a task the later one counts, as
// it was started again only when it was nowhere else. A successor doesn't wait
// for the machine of the earlier one.
func TestLastStartRecordOfATaskCounts(t *testing.T) {
	l, _ := running(t)
	for key, value := range maps.Clone(l.store) {
		if strings.HasPrefix(key, "s/") {
			l.store[key+"-later"] = json.RawMessage(strings.Replace(string(value), `"m1"`, `"m2"`, 1))
		}
	}
	next := newLeader(t, 6, l.now, l.store)
	next.report("m2", 1) // knows this term, and hasn't got the task
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start, got %q", ops(cs))
	}
}

// TestStartRecordsAreDeletedAfterTheirReplacements: however full a batch is, no start
// record is deleted while another that has taken over from it waits.
func TestStartRecordsAreDeletedAfterTheirReplacements(t *testing.T) {
	for pad := range 60 {
		l, tr := running(t)
		next := newLeader(t, 6, l.now, l.store)
		next.seq = 100
		older := wire.TaskStatus{Task: tr.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
		next.report("m1", 1, older, tr)
		// What users wait for goes first and nearly fills the transaction.
		for i := range 100 {
			j := spec(fmt.Sprintf("job-%06d", i))
			j.Class = strings.Repeat("x", 120+pad)
			next.Submit(next.now, next.now, j, func(leader.Response) {})
		}
		taken := false
		for b := next.NextBatch(500, 500); b != nil; b = next.NextBatch(500, 500) {
			for _, w := range b.Mutations {
				if strings.HasPrefix(w.Put, "s/") {
					taken = true
				}
				if strings.HasPrefix(w.Delete, "s/") && !taken {
					t.Fatalf("pad %d: %s deleted before what took over from it", pad, w.Delete)
				}
			}
			next.BatchCommitted(b, nil)
		}
		if !taken {
			t.Fatal("the task seen was not recorded")
		}
	}
}

// TestStartRecordsFitTheValueLimit: the starts of one pass on many machines are
// split into records that the key-value store takes.
func TestStartRecordsFitTheValueLimit(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.KVStore.ValueKB = 1
	params.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 1600}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	wide := spec("job-1")
	wide.Tasks, wide.CPUs = 40, 8
	l.Submit(l.now, l.now, wide, func(leader.Response) {})
	l.commit()
	for i := range wide.Tasks {
		l.report(fmt.Sprintf("i-%06d", i), 1)
	}
	l.pass(time.Second)
	l.commit()
	records := 0
	for key, value := range l.store {
		if strings.HasPrefix(key, "s/") {
			records++
		}
		if len(value) > 1024 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	if held := newLeader(t, 6, l.now, l.store).Counts().AllocatedTasks; held != wide.Tasks || records < 2 {
		t.Errorf("%d records name %d of %d tasks", records, held, wide.Tasks)
	}
}
