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

// TestLongDependenciesFitSmallValues checks that a valid job with long lists of dependencies and
// machine types is stored in pieces that fit the value limit. If a leader crashes between the
// writes, a successor has the whole job or none of it, and deletes the pieces that no record names.
func TestLongDependenciesFitSmallValues(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
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
	v := l.submitAsync(long)
	for step := 0; v.Status == 0; step++ {
		store := maps.Clone(l.store)
		next := newLeader(t, 6, l.now, store)
		if next.Query(long.ID).Status != 404 {
			t.Fatal("job known before its last write")
		}
		// Submits the same job again while pieces of the first submission are stored.
		again := next.submitAsync(long)
		next.commit()
		if again.Status != 201 || next.queryState(long.ID) != wire.JobQueued {
			t.Fatalf("%+v", *again)
		}
		other := newLeader(t, 7, l.now, store)
		if other.queryState(long.ID) != wire.JobQueued {
			t.Fatal("job lost by a successor")
		}
		other.commit()
		for key := range store {
			if strings.HasPrefix(key, "n/"+long.ID+"/5-") {
				t.Fatalf("%s is still stored", key)
			}
		}
		l.commitBatch(1, 1)
	}
	if v.Status != 201 {
		t.Fatalf("%+v", *v)
	}
	pieces := 0
	for key, value := range l.store {
		if len(value) > 2048 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
		if strings.HasPrefix(key, "n/") {
			pieces++
		}
	}
	if pieces < 3 {
		t.Errorf("%d pieces", pieces)
	}
	next := newLeader(t, 8, l.now, l.store)
	next.Cancel(next.now, long.DependsOn[17], func(leader.JobResponse) {})
	next.commit()
	next.tickAfter(time.Second)
	next.commit()
	if got := next.queryState(long.ID); got != wire.JobCancelled {
		t.Errorf("a dependency was lost: reported as %s", got)
	}
	for key := range next.store {
		if strings.HasPrefix(key, "n/") {
			t.Errorf("%s is still stored", key)
		}
	}
}

// TestCorruptRecords checks that a corrupt optional record is skipped and logged with its key, and
// that any other corrupt record fails the loading. Jobs in a dependency cycle, which no submission
// can create, stay queued without an endless loop, and can be cancelled.
func TestCorruptRecords(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), dependentJob("job-2", "job-1"), dependentJob("job-3", "job-2"))
	load := func(store map[string]json.RawMessage) (*leader.Leader, string, error) {
		var logs bytes.Buffer
		c := leader.New(zerolog.New(&logs), params, config.OperatorSettings{}, 6, l.now, 0)
		for _, prefix := range records.LoadOrder {
			for _, key := range slices.Sorted(maps.Keys(store)) {
				if !strings.HasPrefix(key, prefix) {
					continue
				}
				if err := c.LoadRecord(l.now, l.now, wire.KeyValue{Key: key, Value: store[key]}); err != nil {
					return nil, logs.String(), err
				}
			}
		}
		c.FinishLoading(l.now)
		return c, logs.String(), nil
	}
	long := newJob("job-5")
	for i := range 200 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprint("type-", i))
	}
	long.MachineTypes[0] = "std-8"
	l.submitAll(long)
	for key, wantKey := range map[string]string{"d/job-1/0": "", "c/types": "", "n/job-1/5-0": "", "n/job-5/5-1": "j/job-5", "j/job-1": "j/job-1", "f/job-1": "f/job-1", "s/1-1": "s/1-1"} {
		store := maps.Clone(l.store)
		store[key] = json.RawMessage(`7`)
		_, logs, err := load(store)
		if (err != nil) != (wantKey != "") || err != nil && !strings.Contains(err.Error(), wantKey) || err == nil && !strings.Contains(logs, key) {
			t.Errorf("%s: %v, logs %s", key, err, logs)
		}
	}
	store := maps.Clone(l.store)
	store["j/job-2"] = bytes.ReplaceAll(store["j/job-2"], []byte(`"awaits":["job-1"]`), []byte(`"awaits":["job-3"]`))
	c, logs, err := load(store)
	if err != nil || !strings.Contains(logs, "j/job-2") || !strings.Contains(logs, "j/job-3") {
		t.Fatalf("%v, logs %s", err, logs)
	}
	urgent := dependentJob("job-4", "job-3")
	deadline := 100.0
	urgent.DeadlineS = &deadline
	c.Submit(l.now, l.now, urgent, func(leader.JobResponse) {})
	for range 5 {
		c.Tick(l.now, true)
	}
	if n := c.Summary().QueuedDependencyUpdates; n != 0 {
		t.Errorf("%d steps queued for jobs in a cycle", n)
	}
	if v := c.Query("job-3"); v.State != wire.JobQueued {
		t.Errorf("%+v", v)
	}
	c.Cancel(l.now, "job-3", func(leader.JobResponse) {})
	for b := c.NextWriteBatch(10, 10); b != nil; b = c.NextWriteBatch(10, 10) {
		c.MarkBatchCommitted(b, nil)
		c.Tick(l.now, true)
	}
	if v := c.Query("job-2"); v.State != wire.JobCancelled {
		t.Errorf("%+v", v)
	}
}

// TestRefusedStartRecordBlocksNothing checks that, if the key-value store refuses a start record,
// the tasks in it are placed again and all other changes are committed.
func TestRefusedStartRecordBlocksNothing(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"))
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	b := l.NextWriteBatch(10, 10)
	if b == nil || !strings.HasPrefix(b.Mutations[0].Put, "s/") {
		t.Fatal("no start record")
	}
	l.MarkBatchCommitted(b, []string{b.Mutations[0].Put})
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("started without a record: %s", formatCommands(cs))
	}
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m1", 1)); got != "run job-1/0" {
		t.Fatal(got)
	}
}

// TestOversizedChangeIsNotSent checks that a change above the value limit is not sent but logged
// with its key, and that other changes are committed.
func TestOversizedChangeIsNotSent(t *testing.T) {
	old := params
	defer func() { params = old }()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), newJob("job-2"))
	params.KVStore.ValueKB = 0.05 // less than the size of any start record
	var logs bytes.Buffer
	c := leader.New(zerolog.New(&logs), params, config.OperatorSettings{}, 6, l.now, 0)
	for _, id := range []string{"job-1", "job-2"} {
		if err := c.LoadRecord(l.now, l.now, wire.KeyValue{Key: "j/" + id, Value: l.store["j/"+id]}); err != nil {
			t.Fatal(err)
		}
	}
	c.FinishLoading(l.now)
	c.SetMachineTypes([]wire.MachineType{bigType})
	next := &testLeader{Leader: c, t: t, now: l.now, store: l.store}
	next.sendHeartbeat("m1", 1)
	next.tickAfter(time.Second)
	c.Cancel(next.now, "job-2", func(leader.JobResponse) {})
	b := c.NextWriteBatch(10, 10)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Put != "f/job-2" {
		t.Fatalf("%+v", b)
	}
	c.MarkBatchCommitted(b, nil)
	if !strings.Contains(logs.String(), `"key":"s/`) {
		t.Errorf("key not logged: %s", logs.String())
	}
	if n := c.Summary(); n.AllocatedTasks != 0 || n.ReadyTasks != 1 {
		t.Errorf("the task of the dropped record is not ready again: %+v", n)
	}
}
