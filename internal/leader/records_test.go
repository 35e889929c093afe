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

// TestLongDependenciesFitSmallValues: a valid job is not rejected for the length of its lists of
// dependencies or machine types. Whenever a leader crashes between the writes, there is the
// whole job or none, and pieces that no record names any more are deleted.
func TestLongDependenciesFitSmallValues(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	long := dependentJob("job-999999999")
	for i := range 400 {
		id := fmt.Sprintf("job-%d", 1000+i)
		l.accept(spec(id))
		long.DependsOn = append(long.DependsOn, id)
	}
	long.MachineTypes = []string{"std-8"}
	for i := range 100 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprintf("machine-type-%d", i))
	}
	v := l.ask(long)
	for step := 0; v.Status == 0; step++ {
		store := maps.Clone(l.store)
		next := newLeader(t, 6, l.now, store)
		if next.Query(long.ID).Status != 404 {
			t.Fatal("known before the last write")
		}
		// The same job again, over what the other has left.
		again := next.ask(long)
		next.commit()
		if again.Status != 201 || next.state(long.ID) != wire.JobQueued {
			t.Fatalf("%+v", *again)
		}
		other := newLeader(t, 7, l.now, store)
		if other.state(long.ID) != wire.JobQueued {
			t.Fatal("lost by a successor")
		}
		other.commit()
		for key := range store {
			if strings.HasPrefix(key, "n/"+long.ID+"/5-") {
				t.Fatalf("%s is left", key)
			}
		}
		l.some(1, 1)
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
	next.Cancel(next.now, long.DependsOn[17], func(leader.Response) {})
	next.commit()
	next.pass(time.Second)
	next.commit()
	if got := next.state(long.ID); got != wire.JobCancelled {
		t.Errorf("a dependency was lost: called %s", got)
	}
	for key := range next.store {
		if strings.HasPrefix(key, "n/") {
			t.Errorf("%s is left", key)
		}
	}
}

// TestCorruptRecords: an optional record is skipped and logged by its key; any other
// keeps the service from starting. Jobs that depend on themselves, which no
// submission can bring about, wait and can be cancelled; nothing loops.
func TestCorruptRecords(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), dependentJob("job-2", "job-1"), dependentJob("job-3", "job-2"))
	load := func(store map[string]json.RawMessage) (*leader.Leader, string, error) {
		var logs bytes.Buffer
		c := leader.New(zerolog.New(&logs), params, config.Operator{}, 6, l.now, 0)
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
	long := spec("job-5")
	for i := range 200 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprint("type-", i))
	}
	long.MachineTypes[0] = "std-8"
	l.accept(long)
	for key, named := range map[string]string{"d/job-1/0": "", "c/types": "", "n/job-1/5-0": "", "n/job-5/5-1": "j/job-5", "j/job-1": "j/job-1", "f/job-1": "f/job-1", "s/1-1": "s/1-1"} {
		store := maps.Clone(l.store)
		store[key] = json.RawMessage(`7`)
		_, logs, err := load(store)
		if (err != nil) != (named != "") || err != nil && !strings.Contains(err.Error(), named) || err == nil && !strings.Contains(logs, key) {
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
	c.Submit(l.now, l.now, urgent, func(leader.Response) {})
	for range 5 {
		c.Tick(l.now, true)
	}
	if n := c.Counts().DependencySteps; n != 0 {
		t.Errorf("%d steps left for jobs that depend on themselves", n)
	}
	if v := c.Query("job-3"); v.State != wire.JobQueued {
		t.Errorf("%+v", v)
	}
	c.Cancel(l.now, "job-3", func(leader.Response) {})
	for b := c.NextBatch(10, 10); b != nil; b = c.NextBatch(10, 10) {
		c.BatchCommitted(b, nil)
		c.Tick(l.now, true)
	}
	if v := c.Query("job-2"); v.State != wire.JobCancelled {
		t.Errorf("%+v", v)
	}
}

// TestRefusedStartRecordBlocksNothing: a start record that the key-value store refuses although
// it should take it has its tasks placed anew, and all other changes are made.
func TestRefusedStartRecordBlocksNothing(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"))
	l.report("m1", 1)
	l.pass(time.Second)
	b := l.NextBatch(10, 10)
	if b == nil || !strings.HasPrefix(b.Mutations[0].Put, "s/") {
		t.Fatal("no start record")
	}
	l.BatchCommitted(b, []string{b.Mutations[0].Put})
	if cs := l.report("m1", 1); len(cs) != 0 {
		t.Fatalf("started without a record: %s", ops(cs))
	}
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1)); got != "run job-1/0" {
		t.Fatal(got)
	}
}

// TestOversizedChangeIsNotSent: a change above the key-value store's limit is found
// before it is sent, named in the logs, and blocks no other.
func TestOversizedChangeIsNotSent(t *testing.T) {
	old := params
	defer func() { params = old }()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), spec("job-2"))
	params.KVStore.ValueKB = 0.05 // less than any start record takes
	var logs bytes.Buffer
	c := leader.New(zerolog.New(&logs), params, config.Operator{}, 6, l.now, 0)
	for _, id := range []string{"job-1", "job-2"} {
		if err := c.LoadRecord(l.now, l.now, wire.KeyValue{Key: "j/" + id, Value: l.store["j/"+id]}); err != nil {
			t.Fatal(err)
		}
	}
	c.FinishLoading(l.now)
	c.SetMachineTypes([]wire.MachineType{bigType})
	next := &testLeader{Leader: c, t: t, now: l.now, store: l.store}
	next.report("m1", 1)
	next.pass(time.Second)
	c.Cancel(next.now, "job-2", func(leader.Response) {})
	b := c.NextBatch(10, 10)
	if b == nil || len(b.Mutations) != 1 || b.Mutations[0].Put != "f/job-2" {
		t.Fatalf("%+v", b)
	}
	c.BatchCommitted(b, nil)
	if !strings.Contains(logs.String(), `"key":"s/`) {
		t.Errorf("not named: %s", logs.String())
	}
	if n := c.Counts(); n.AllocatedTasks != 0 || n.ReadyTasks != 1 {
		t.Errorf("the task of the record left out is lost: %+v", n)
	}
}
