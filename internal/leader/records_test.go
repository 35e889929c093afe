package leader_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// TestLongDependenciesFitSmallValues checks that a job with long lists of dependencies and machine types
// is stored in pieces that fit the value limit of the key-value store. If a leader crashes between the
// writes, a successor loads either the whole job or no part of it. The successor deletes pieces that
// belong to no job record.
func TestLongDependenciesFitSmallValues(t *testing.T) {
	useSmallStoreLimits(t)
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	long := dependentJob("job-999999999")
	for i := range 400 {
		id := fmt.Sprintf("job-%d", 1000+i)
		l.submitAll(newJob(id))
		long.DependsOn = append(long.DependsOn, id)
	}
	long.MachineTypes = []string{"std-8"}
	for i := range 100 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprintf("machine-type-%d", i))
	}
	response := l.submitWithoutCommit(long)
	for step := 0; response.Status == 0; step++ {
		store := maps.Clone(l.store)
		successor := newLeader(t, 6, l.now, store)
		if successor.Query(long.ID).Status != 404 {
			t.Fatal("the successor knows the job before its last write, want status 404")
		}
		// Submit the same job again while pieces of the first submission are stored.
		resubmission := successor.submitWithoutCommit(long)
		successor.commit()
		if resubmission.Status != 201 || successor.queryState(long.ID) != wire.JobQueued {
			t.Fatalf("second submission: got %+v, want an accepted and queued job", *resubmission)
		}
		laterSuccessor := newLeader(t, 7, l.now, store)
		if laterSuccessor.queryState(long.ID) != wire.JobQueued {
			t.Fatal("a successor does not know the job although its acceptance was durable")
		}
		laterSuccessor.commit()
		for key := range store {
			if strings.HasPrefix(key, "n/"+long.ID+"/5-") {
				t.Fatalf("%s of the first submission is still stored, want it deleted", key)
			}
		}
		l.commitBatch(1, 1)
	}
	if response.Status != 201 {
		t.Fatalf("first submission: got %+v, want status 201", *response)
	}
	pieces := 0
	for key, value := range l.store {
		if len(value) > 2048 {
			t.Errorf("value of %s has %d bytes, want at most 2048", key, len(value))
		}
		if strings.HasPrefix(key, "n/") {
			pieces++
		}
	}
	if pieces < 3 {
		t.Errorf("the job is stored in %d pieces, want at least 3", pieces)
	}
	successor := newLeader(t, 8, l.now, l.store)
	successor.Cancel(successor.now, long.DependsOn[17], func(leader.JobResponse) {})
	successor.commit()
	successor.tickAfter(time.Second)
	successor.commit()
	if got := successor.queryState(long.ID); got != wire.JobCancelled {
		t.Errorf("after the cancellation of a dependency the job is reported as %s, want cancelled", got)
	}
	for key := range successor.store {
		if strings.HasPrefix(key, "n/") {
			t.Errorf("%s is still stored, want it deleted with the cancelled job", key)
		}
	}
}

// TestCorruptRecords checks that a leader skips a corrupt optional record and logs its key, and fails to
// load any other corrupt record. Jobs in a dependency cycle, which no submission can create, stay
// queued, cause no endless loop, and can be cancelled.
func TestCorruptRecords(t *testing.T) {
	useSmallStoreLimits(t)
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), dependentJob("job-2", "job-1"), dependentJob("job-3", "job-2"))
	load := func(store map[string]json.RawMessage) (*leader.Leader, string, error) {
		var logs bytes.Buffer
		successor := leader.New(zerolog.New(&logs), testParams, config.OperatorSettings{}, 6, l.now, 0 /* grace period */)
		for _, prefix := range records.LoadOrder {
			for _, key := range slices.Sorted(maps.Keys(store)) {
				if !strings.HasPrefix(key, prefix) {
					continue
				}
				if err := successor.LoadRecord(l.now, l.now, wire.KeyValue{Key: key, Value: store[key]}); err != nil {
					return nil, logs.String(), err
				}
			}
		}
		successor.FinishLoading(l.now)
		return successor, logs.String(), nil
	}
	long := newJob("job-5")
	for i := range 200 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprint("type-", i))
	}
	long.MachineTypes[0] = "std-8"
	l.submitAll(long)
	// wantKey is the key in the error that fails the loading, or empty for an optional record.
	for key, wantKey := range map[string]string{"d/job-1/0": "", "c/types": "", "n/job-1/5-0": "", "n/job-5/5-1": "j/job-5", "j/job-1": "j/job-1", "f/job-1": "f/job-1", "s/1-1": "s/1-1"} {
		store := maps.Clone(l.store)
		store[key] = json.RawMessage(`7`)
		_, logs, err := load(store)
		if (err != nil) != (wantKey != "") || err != nil && !strings.Contains(err.Error(), wantKey) || err == nil && !strings.Contains(logs, key) {
			t.Errorf("corrupt record %s: got error %v and logs %s, want an error or, for an optional record, its key in the logs", key, err, logs)
		}
	}
	store := maps.Clone(l.store)
	store["j/job-2"] = bytes.ReplaceAll(store["j/job-2"], []byte(`"awaits":["job-1"]`), []byte(`"awaits":["job-3"]`))
	successor, logs, err := load(store)
	if err != nil || !strings.Contains(logs, "j/job-2") || !strings.Contains(logs, "j/job-3") {
		t.Fatalf("dependency cycle: got error %v, want none and both keys in the logs %s", err, logs)
	}
	urgent := dependentJob("job-4", "job-3")
	deadline := 100.0
	urgent.DeadlineS = &deadline
	successor.Submit(l.now, l.now, urgent, func(leader.JobResponse) {})
	for range 5 {
		successor.Tick(l.now, true /* holdsLeaderLease */)
	}
	if n := successor.Summary().QueuedDependencyUpdates; n != 0 {
		t.Errorf("%d dependency updates queued for jobs in a cycle, want 0", n)
	}
	if v := successor.Query("job-3"); v.State != wire.JobQueued {
		t.Errorf("job-3: got %+v, want state queued", v)
	}
	successor.Cancel(l.now, "job-3", func(leader.JobResponse) {})
	for b := successor.NextWriteBatch(10, 10); b != nil; b = successor.NextWriteBatch(10, 10) {
		successor.MarkBatchCommitted(b, nil)
		successor.Tick(l.now, true /* holdsLeaderLease */)
	}
	if v := successor.Query("job-2"); v.State != wire.JobCancelled {
		t.Errorf("job-2: got %+v, want state cancelled", v)
	}
}

// TestRefusedStartRecordBlocksNothing checks that, if the key-value store refuses a start record, the
// tasks in it are not started but placed again, and later changes are committed.
func TestRefusedStartRecordBlocksNothing(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"))
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	b := l.NextWriteBatch(10, 10)
	if b == nil || !strings.HasPrefix(b.Mutations[0].Put, "s/") {
		t.Fatal("the first queued change is not a start record, want one")
	}
	l.MarkBatchCommitted(b, []string{b.Mutations[0].Put})
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("got %s without a start record, want no command", formatCommands(cs))
	}
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m1", 1)); got != "run job-1/0" {
		t.Fatal(got)
	}
}

// TestOversizedChangeIsNotSent checks that a change whose value is above the limit is dropped and its
// key logged, and that other changes are committed.
func TestOversizedChangeIsNotSent(t *testing.T) {
	oldParams := testParams
	defer func() { testParams = oldParams }()
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), newJob("job-2"))
	testParams.KVStore.ValueKB = 0.05 // less than the size of any start record
	var logs bytes.Buffer
	successor := leader.New(zerolog.New(&logs), testParams, config.OperatorSettings{}, 6, l.now, 0 /* grace period */)
	for _, id := range []string{"job-1", "job-2"} {
		if err := successor.LoadRecord(l.now, l.now, wire.KeyValue{Key: "j/" + id, Value: l.store["j/"+id]}); err != nil {
			t.Fatal(err)
		}
	}
	successor.FinishLoading(l.now)
	successor.SetMachineTypes([]wire.MachineType{std8Type})
	successorWithStore := &testLeader{Leader: successor, t: t, now: l.now, store: l.store}
	successorWithStore.sendHeartbeat("m1", 1)
	successorWithStore.tickAfter(time.Second)
	successor.Cancel(successorWithStore.now, "job-2", func(leader.JobResponse) {})
	b := successor.NextWriteBatch(10, 10)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Put != "f/job-2" {
		t.Fatalf("batch: got %+v, want only the final state of job-2", b)
	}
	successor.MarkBatchCommitted(b, nil)
	if !strings.Contains(logs.String(), `"key":"s/`) {
		t.Errorf("got the logs %s, want the key of the start record in them", logs.String())
	}
	if n := successor.Summary(); n.AllocatedTasks != 0 || n.ReadyTasks != 1 {
		t.Errorf("got %+v, want the task of the dropped start record ready again", n)
	}
}
