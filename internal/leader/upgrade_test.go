package leader_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// previousVersionLeader returns a leader that has loaded the stored records as the previous version
// reads them.
func previousVersionLeader(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	old := params
	defer func() { params = old }()
	params.KVStore.ValueKB = 16
	read := map[string]json.RawMessage{}
	for key, value := range store {
		if item, ok := simulation.PreviousVersionReads(wire.KeyValue{Key: key, Value: value}); ok {
			read[key] = item.Value
		}
	}
	l := newLeader(t, term, now, read)
	l.store = store
	return l
}

// previousVersionCommit commits those of the queued changes that the previous version would make.
func (l *testLeader) previousVersionCommit() {
	for b := l.NextWriteBatch(10, 10); b != nil; b = l.NextWriteBatch(10, 10) {
		l.apply(simulation.PreviousVersionWrites(b.Mutations))
		l.MarkBatchCommitted(b, nil)
	}
}

func previousVersionRecords(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("testdata/previous_version.json")
	if err != nil {
		t.Fatal(err)
	}
	var records, store map[string]json.RawMessage
	if err := json.Unmarshal(data, &records); err != nil {
		t.Fatal(err)
	}
	store = map[string]json.RawMessage{}
	for key, value := range records {
		var b bytes.Buffer
		_ = json.Compact(&b, value)
		store[key] = b.Bytes()
	}
	return store
}

// TestCompletionsOfBothVersions checks that completions stored by the previous version, in values
// above today's limit, and those stored since in smaller records are kept by leaders of both
// versions in any order, and deleted with the job.
func TestCompletionsOfBothVersions(t *testing.T) {
	useTightLimits(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		store := previousVersionRecords(t)
		want := intervals.New(3000)
		for key, value := range store {
			var text string
			if strings.HasPrefix(key, "d/job-1/") && json.Unmarshal(value, &text) == nil {
				_ = intervals.ParseEach(text, 3000, func(i int) { want.Add(i) })
			}
		}
		if seed == 0 && want.Len() != 1667 {
			t.Fatalf("%d completions in the stored records", want.Len())
		}
		now := start.Add(time.Minute)
		for term := uint64(8); !want.Full(); term++ {
			previous := rng.IntN(2) == 0 && want.Len() < 2900
			var l *testLeader
			if previous {
				l = previousVersionLeader(t, term, now, store)
			} else {
				l = newLeader(t, term, now, store)
			}
			if v := l.Query("job-1"); v.CompletedTasks != want.Len() {
				t.Fatalf("seed %d, term %d, previous %v: %d done, want %d", seed, term, previous, v.CompletedTasks, want.Len())
			}
			var list []wire.TaskStatus
			for range 150 {
				if i := rng.IntN(3000); want.Add(i) {
					list = append(list, completedTask(wire.TaskName("job-1", i), 1))
				}
			}
			for i := 0; want.Len() >= 2900 && i < 3000; i++ {
				if want.Add(i) {
					list = append(list, completedTask(wire.TaskName("job-1", i), 1))
				}
			}
			l.sendHeartbeat("m9", 1, list...)
			l.tickAfter(2 * time.Second)
			if previous {
				l.previousVersionCommit()
			} else {
				l.commit()
			}
			now = l.now
		}
		next := newLeader(t, 1000, now, store)
		if got := next.queryState("job-1"); got != wire.JobDone {
			t.Fatalf("seed %d: %s", seed, got)
		}
		next.tickAfter(40 * time.Second)
		next.commit()
		for key := range store {
			if strings.HasPrefix(key, "d/") {
				t.Errorf("seed %d: %s is still stored", seed, key)
			}
		}
	}
}

// TestRecordsOfThePreviousVersion checks that jobs, final states, starts and machine types stored by
// the previous version are loaded, and that the record of a job without dependencies has kept its
// form.
func TestRecordsOfThePreviousVersion(t *testing.T) {
	useTightLimits(t)
	store := previousVersionRecords(t)
	l := newLeader(t, 8, start.Add(time.Minute), store)
	for id, want := range map[string]string{"job-1": wire.JobQueued, "job-2": wire.JobDone, "job-3": wire.JobCancelled, "job-4": wire.JobQueued} {
		if got := l.queryState(id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if n := l.Summary(); n.AllocatedTasks == 0 || n.Machines != 2 && n.Machines != 1 {
		t.Errorf("%+v", n)
	}
	record := store["j/job-4"]
	fresh := newLeader(t, 8, start, map[string]json.RawMessage{})
	fresh.submitAll(newJob("job-4"))
	if got := fresh.store["j/job-4"]; !bytes.Equal(got, record) {
		t.Errorf("stored as\n%s, by the previous version as\n%s", got, record)
	}
}

// TestPreviousVersionKeepsDependentJobs checks that a leader of the previous version knows a
// dependent job and can cancel it, but never starts it, whatever machine types the cloud offers. It
// leaves unknown records untouched.
func TestPreviousVersionKeepsDependentJobs(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"))
	manyTypes := dependentJob("job-3", "job-1")
	for i := range 300 {
		manyTypes.MachineTypes = append(manyTypes.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	manyTypes.MachineTypes = append(manyTypes.MachineTypes, "std-8")
	l.submitAll(dependentJob("job-2", "job-1"), manyTypes)
	for key, value := range l.store {
		item, ok := simulation.PreviousVersionReads(wire.KeyValue{Key: key, Value: value})
		var rec struct {
			Job wire.Job `json:"job"`
		}
		if !ok || key == "j/job-1" || json.Unmarshal(item.Value, &rec) != nil || rec.Job.ID == "" {
			continue
		}
		probe := placement.PendingJob{MachineTypes: rec.Job.MachineTypes, Zone: rec.Job.Zone, AllowsSpot: true, Request: placement.Resources{CPUs: rec.Job.CPUs}, TotalTasks: 1}
		if probe.CanRunOn(&placement.Machine{Type: "std-8", Zone: "a", Capacity: placement.Resources{CPUs: 8, MemoryGB: 32}}) {
			t.Errorf("%s could be started: %s", key, value)
		}
	}
	before := slices.Sorted(maps.Keys(l.store))
	previous := previousVersionLeader(t, 6, l.now, l.store)
	for range 2 {
		previous.sendHeartbeat("m1", 1)
		previous.tickAfter(time.Second)
		previous.previousVersionCommit()
	}
	if got := previous.Summary().AllocatedTasks; got != 1 {
		t.Errorf("%d tasks placed, want that of job-1", got)
	}
	if previous.queryState("job-2") != wire.JobQueued || previous.queryState("job-3") != wire.JobQueued {
		t.Error("the previous version does not report the dependent jobs as queued")
	}
	previous.Cancel(previous.now, "job-2", func(leader.JobResponse) {})
	previous.previousVersionCommit()
	next := newLeader(t, 7, previous.now, l.store)
	if next.queryState("job-2") != wire.JobCancelled || next.queryState("job-3") != wire.JobQueued {
		t.Errorf("job-2 %s, job-3 %s, of %v", next.queryState("job-2"), next.queryState("job-3"), before)
	}
}
