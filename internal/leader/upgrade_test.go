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

// previousVersionLeader returns a leader that has loaded the stored records as the previous version of
// the scheduler reads them.
func previousVersionLeader(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	oldParams := testParams
	defer func() { testParams = oldParams }()
	testParams.KVStore.ValueKB = 16
	loadedRecords := map[string]json.RawMessage{}
	for key, value := range store {
		if item, ok := simulation.PreviousVersionReads(wire.KeyValue{Key: key, Value: value}); ok {
			loadedRecords[key] = item.Value
		}
	}
	l := newLeader(t, term, now, loadedRecords)
	l.store = store
	return l
}

// previousVersionCommit commits all queued changes, but applies to the store only the changes that the
// previous version would write.
func (l *testLeader) previousVersionCommit() {
	for b := l.NextWriteBatch(10, 10); b != nil; b = l.NextWriteBatch(10, 10) {
		l.apply(simulation.PreviousVersionWrites(b.Mutations))
		l.MarkBatchCommitted(b, nil)
	}
}

// previousVersionRecords returns records that the previous version has written.
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

// TestCompletionsOfBothVersions checks that leaders of both versions, in any order, load all completions:
// those that the previous version stored in values above the new limit, and those that the current
// version stores in smaller records. All of them are deleted with the job.
func TestCompletionsOfBothVersions(t *testing.T) {
	useSmallStoreLimits(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		store := previousVersionRecords(t)
		completed := intervals.New(3000)
		for key, value := range store {
			var text string
			if strings.HasPrefix(key, "d/job-1/") && json.Unmarshal(value, &text) == nil {
				_ = intervals.ParseEach(text, 3000, func(i int) { completed.Add(i) })
			}
		}
		if seed == 0 && completed.Len() != 1667 {
			t.Fatalf("%d completions in the records of the previous version, want 1667", completed.Len())
		}
		now := startTime.Add(time.Minute)
		for term := uint64(8); !completed.Full(); term++ {
			previous := rng.IntN(2) == 0 && completed.Len() < 2900
			var l *testLeader
			if previous {
				l = previousVersionLeader(t, term, now, store)
			} else {
				l = newLeader(t, term, now, store)
			}
			if v := l.Query("job-1"); v.CompletedTasks != completed.Len() {
				t.Fatalf("seed %d, term %d, previous version %v: %d tasks completed, want %d", seed, term, previous, v.CompletedTasks, completed.Len())
			}
			var tasks []wire.TaskStatus
			for range 150 {
				if i := rng.IntN(3000); completed.Add(i) {
					tasks = append(tasks, completedTask(wire.TaskName("job-1", i), 1))
				}
			}
			// The last leader receives the completions of all remaining tasks.
			for i := 0; completed.Len() >= 2900 && i < 3000; i++ {
				if completed.Add(i) {
					tasks = append(tasks, completedTask(wire.TaskName("job-1", i), 1))
				}
			}
			l.sendHeartbeat("m9", 1, tasks...)
			l.tickAfter(2 * time.Second)
			if previous {
				l.previousVersionCommit()
			} else {
				l.commit()
			}
			now = l.now
		}
		successor := newLeader(t, 1000, now, store)
		if got := successor.queryState("job-1"); got != wire.JobDone {
			t.Fatalf("seed %d: job-1 is reported as %s, want done", seed, got)
		}
		successor.tickAfter(40 * time.Second)
		successor.commit()
		for key := range store {
			if strings.HasPrefix(key, "d/") {
				t.Errorf("seed %d: %s is still stored, want it deleted with the job", seed, key)
			}
		}
	}
}

// TestRecordsOfThePreviousVersion checks that a leader loads jobs, final states, starts and machine types
// stored by the previous version, and that it stores a job without dependencies in the same form as the
// previous version.
func TestRecordsOfThePreviousVersion(t *testing.T) {
	useSmallStoreLimits(t)
	store := previousVersionRecords(t)
	l := newLeader(t, 8, startTime.Add(time.Minute), store)
	for id, want := range map[string]string{"job-1": wire.JobQueued, "job-2": wire.JobDone, "job-3": wire.JobCancelled, "job-4": wire.JobQueued} {
		if got := l.queryState(id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if n := l.Summary(); n.AllocatedTasks == 0 || n.Machines != 2 && n.Machines != 1 {
		t.Errorf("got %+v, want allocated tasks and 1 or 2 machines", n)
	}
	record := store["j/job-4"]
	fresh := newLeader(t, 8, startTime, map[string]json.RawMessage{})
	fresh.submitAll(newJob("job-4"))
	if got := fresh.store["j/job-4"]; !bytes.Equal(got, record) {
		t.Errorf("job-4 is stored as\n%s, want the form of the previous version\n%s", got, record)
	}
}

// TestPreviousVersionKeepsDependentJobs checks that a leader of the previous version loads a dependent
// job and can cancel it, but never starts it, whatever machine types the cloud offers. It leaves records
// of kinds that it does not know unchanged.
func TestPreviousVersionKeepsDependentJobs(t *testing.T) {
	useSmallStoreLimits(t)
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"))
	manyTypes := dependentJob("job-3", "job-1")
	for i := range 300 {
		manyTypes.MachineTypes = append(manyTypes.MachineTypes, fmt.Sprintf("type-%d", i))
	}
	manyTypes.MachineTypes = append(manyTypes.MachineTypes, "std-8")
	l.submitAll(dependentJob("job-2", "job-1"), manyTypes)
	for key, value := range l.store {
		item, ok := simulation.PreviousVersionReads(wire.KeyValue{Key: key, Value: value})
		var record struct {
			Job wire.Job `json:"job"`
		}
		if !ok || key == "j/job-1" || json.Unmarshal(item.Value, &record) != nil || record.Job.ID == "" {
			continue
		}
		pendingJob := placement.PendingJob{MachineTypes: record.Job.MachineTypes, Zone: record.Job.Zone, AllowsSpot: true, Request: placement.Resources{CPUs: record.Job.CPUs}, TotalTasks: 1}
		if pendingJob.CanRunOn(&placement.Host{Type: "std-8", Zone: "a", Capacity: placement.Resources{CPUs: 8, MemoryGB: 32}}) {
			t.Errorf("the previous version could start the job in %s, want no machine on which it can run: %s", key, value)
		}
	}
	keysBefore := slices.Sorted(maps.Keys(l.store))
	previous := previousVersionLeader(t, 6, l.now, l.store)
	for range 2 {
		previous.sendHeartbeat("m1", 1)
		previous.tickAfter(time.Second)
		previous.previousVersionCommit()
	}
	if got := previous.Summary().AllocatedTasks; got != 1 {
		t.Errorf("%d tasks allocated, want only that of job-1", got)
	}
	if previous.queryState("job-2") != wire.JobQueued || previous.queryState("job-3") != wire.JobQueued {
		t.Error("the previous version does not report job-2 and job-3 as queued, want both queued")
	}
	previous.Cancel(previous.now, "job-2", func(leader.JobResponse) {})
	previous.previousVersionCommit()
	successor := newLeader(t, 7, previous.now, l.store)
	if successor.queryState("job-2") != wire.JobCancelled || successor.queryState("job-3") != wire.JobQueued {
		t.Errorf("job-2 is reported as %s, want cancelled; job-3 as %s, want queued; stored keys %v", successor.queryState("job-2"), successor.queryState("job-3"), keysBefore)
	}
}
