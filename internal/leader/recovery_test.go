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

// TestSuccessorWaitsForRecordedMachine checks that a new leader places a task only once the machine
// that may have it has sent a heartbeat in the new term, or the machine's lease has expired.
func TestSuccessorWaitsForRecordedMachine(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	next := newLeader(t, 6, l.now, l.store)
	next.sendHeartbeat("m2", 1)
	next.tickAfter(time.Second)
	next.commit()
	if cs := next.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("placed a task that m1 may have: %s", formatCommands(cs))
	}
	// A heartbeat with the token of an earlier term proves nothing yet.
	response, outcome := next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5}, true)
	if outcome != leader.HeartbeatApplied || response.FencingToken != 6 || len(response.Commands) != 0 {
		t.Fatalf("%+v", response)
	}
	next.tickAfter(time.Second)
	next.commit()
	if cs := next.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("placed because of an old heartbeat: %s", formatCommands(cs))
	}
	next.seq = 60
	next.sendHeartbeat("m1", 1, task)
	if v := next.Query("job-1"); v.State != wire.JobRunning {
		t.Fatalf("%+v", v)
	}
	// Without a heartbeat of m1 the task is placed once the lease has expired, counted from the
	// last response that a predecessor may have sent.
	other := newLeader(t, 7, l.now, l.store)
	wait := leader.GracePeriod(params.Workers) + 15*time.Second
	for other.now.Before(l.now.Add(wait)) {
		other.sendHeartbeat("m2", 1)
		other.tickAfter(time.Second)
		other.commit()
		if cs := other.sendHeartbeat("m2", 1); len(cs) != 0 {
			t.Fatalf("placed %v after the succession", other.now.Sub(l.now))
		}
	}
	other.tickAfter(3 * time.Second)
	other.sendHeartbeat("m2", 1)
	other.tickAfter(time.Second)
	other.commit()
	if cs := other.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("after the lease has expired: %q", formatCommands(cs))
	}
}

// TestReportedTaskIsRecordedAgain checks a machine that lists an exited attempt of a task and a
// newer one that runs. The record of the start is deleted with the exited attempt, but a successor
// must still know of the newer one.
func TestReportedTaskIsRecordedAgain(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	next := newLeader(t, 6, l.now, l.store)
	next.seq = 100
	older := wire.TaskStatus{Task: task.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
	next.sendHeartbeat("m1", 1, older, task)
	next.commit()
	last := newLeader(t, 7, next.now, next.store)
	last.sendHeartbeat("m2", 1)
	last.tickAfter(time.Second)
	last.commit()
	if cs := last.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("started a second time: %s", formatCommands(cs))
	}
}

// TestUnlistedMachineIsRemoved checks that a machine, and its tasks, no longer exist if a later
// machine list lacks it. A list that may describe an earlier time than the one before it proves
// nothing.
func TestUnlistedMachineIsRemoved(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	startsAfterList := func(d time.Duration) string {
		l.now = l.now.Add(d)
		l.sendHeartbeat("m2", 1)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
		l.tickAfter(time.Second)
		l.commit()
		return formatCommands(l.sendHeartbeat("m2", 1))
	}
	// The list may be older than the first by twice the lag of 4 s.
	if got := startsAfterList(7 * time.Second); got != "" {
		t.Fatalf("placed because of an outdated list: %s", got)
	}
	if got := startsAfterList(time.Second); got != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", got)
	}
}

// TestSuccessorLoadsCatalogue checks that a successor knows the machine types before the cloud
// responds, so that it can decide on submissions.
func TestSuccessorLoadsCatalogue(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.commit()
	next := leader.New(zerolog.Nop(), params, config.OperatorSettings{}, 6, l.now, 0)
	for key, value := range l.store {
		if strings.HasPrefix(key, records.MachineTypesKey) {
			if err := next.LoadRecord(l.now, l.now, wire.KeyValue{Key: key, Value: value}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !next.MachineTypesKnown() {
		t.Fatal("no machine types known")
	}
}

// TestLastStartRecordOfATaskCounts checks that the latest of two start records that name a task
// applies, because the task was started again only after it had left the first machine. A successor
// does not wait for that machine.
func TestLastStartRecordOfATaskCounts(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	for key, value := range maps.Clone(l.store) {
		if strings.HasPrefix(key, "s/") {
			l.store[key+"-later"] = json.RawMessage(strings.Replace(string(value), `"m1"`, `"m2"`, 1))
		}
	}
	next := newLeader(t, 6, l.now, l.store)
	next.sendHeartbeat("m2", 1) // has seen this term and does not list the task
	next.tickAfter(time.Second)
	next.commit()
	if cs := next.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start, got %q", formatCommands(cs))
	}
}

// TestStartRecordsAreDeletedAfterTheirReplacements checks, with batches filled to different sizes,
// that no start record is deleted before the record that replaces it is written.
func TestStartRecordsAreDeletedAfterTheirReplacements(t *testing.T) {
	for pad := range 60 {
		l, task := leaderWithRunningTask(t)
		next := newLeader(t, 6, l.now, l.store)
		next.seq = 100
		older := wire.TaskStatus{Task: task.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
		next.sendHeartbeat("m1", 1, older, task)
		// Writes that users wait for come first and nearly fill the transaction.
		for i := range 100 {
			j := newJob(fmt.Sprintf("job-%06d", i))
			j.Class = strings.Repeat("x", 120+pad)
			next.Submit(next.now, next.now, j, func(leader.JobResponse) {})
		}
		replacementStored := false
		for b := next.NextWriteBatch(500, 500); b != nil; b = next.NextWriteBatch(500, 500) {
			for _, w := range b.Mutations {
				if strings.HasPrefix(w.Put, "s/") {
					replacementStored = true
				}
				if strings.HasPrefix(w.Delete, "s/") && !replacementStored {
					t.Fatalf("pad %d: %s deleted before its replacement is written", pad, w.Delete)
				}
			}
			next.MarkBatchCommitted(b, nil)
		}
		if !replacementStored {
			t.Fatal("the listed task was not recorded")
		}
	}
}

// TestStartRecordsFitTheValueLimit checks that the starts of one pass on many machines are split
// into records within the value limit.
func TestStartRecordsFitTheValueLimit(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.KVStore.ValueKB = 1
	params.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 1600}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	wide := newJob("job-1")
	wide.Tasks, wide.CPUs = 40, 8
	l.Submit(l.now, l.now, wide, func(leader.JobResponse) {})
	l.commit()
	for i := range wide.Tasks {
		l.sendHeartbeat(fmt.Sprintf("i-%06d", i), 1)
	}
	l.tickAfter(time.Second)
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
	if allocated := newLeader(t, 6, l.now, l.store).Summary().AllocatedTasks; allocated != wide.Tasks || records < 2 {
		t.Errorf("%d records name %d of %d tasks", records, allocated, wide.Tasks)
	}
}
