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

// TestSuccessorWaitsForRecordedMachine checks that a successor does not place a task that may run on
// the machine of its start record. It waits until that machine has sent a heartbeat in the new term or
// the machine's lease has expired.
func TestSuccessorWaitsForRecordedMachine(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	successor := newLeader(t, 6, l.now, l.store)
	successor.sendHeartbeat("m2", 1)
	successor.tickAfter(time.Second)
	successor.commit()
	if cs := successor.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("got %s although the task may still run on m1, want no command", formatCommands(cs))
	}
	// A heartbeat with the fencing token of an earlier term does not show whether the task still runs.
	response, outcome := successor.HandleHeartbeat(successor.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5}, true /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied || response.FencingToken != 6 || len(response.Commands) != 0 {
		t.Fatalf("got %+v, want the fencing token 6 and no commands", response)
	}
	successor.tickAfter(time.Second)
	successor.commit()
	if cs := successor.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("got %s after a heartbeat of an earlier term, want no command", formatCommands(cs))
	}
	successor.lastSequence = 60 // above all earlier sequence numbers
	successor.sendHeartbeat("m1", 1, task)
	if v := successor.Query("job-1"); v.State != wire.JobRunning {
		t.Fatalf("job-1: got %+v, want state running", v)
	}
	// Without a heartbeat of m1 the task is placed once the lease of m1 has expired. The lease may
	// have been renewed by a predecessor until the end of its grace period.
	laterSuccessor := newLeader(t, 7, l.now, l.store)
	wait := leader.GracePeriod(testParams.Workers) + 15*time.Second
	for laterSuccessor.now.Before(l.now.Add(wait)) {
		laterSuccessor.sendHeartbeat("m2", 1)
		laterSuccessor.tickAfter(time.Second)
		laterSuccessor.commit()
		if cs := laterSuccessor.sendHeartbeat("m2", 1); len(cs) != 0 {
			t.Fatalf("placed %v after the change of leader, want it placed only after the lease of m1 has expired", laterSuccessor.now.Sub(l.now))
		}
	}
	laterSuccessor.tickAfter(3 * time.Second)
	laterSuccessor.sendHeartbeat("m2", 1)
	laterSuccessor.tickAfter(time.Second)
	laterSuccessor.commit()
	if cs := laterSuccessor.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("after the lease of m1 has expired: got %q, want a start of job-1/0", formatCommands(cs))
	}
}

// TestReportedTaskIsRecordedAgain checks that the leader writes a start record for a running attempt
// when it deletes that of an exited attempt of the same task, if a machine lists both attempts. Without
// the new record, a successor would start the task a second time.
func TestReportedTaskIsRecordedAgain(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	successor := newLeader(t, 6, l.now, l.store)
	successor.lastSequence = 100 // above all earlier sequence numbers
	older := wire.TaskStatus{Task: task.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
	successor.sendHeartbeat("m1", 1, older, task)
	successor.commit()
	laterSuccessor := newLeader(t, 7, successor.now, successor.store)
	laterSuccessor.sendHeartbeat("m2", 1)
	laterSuccessor.tickAfter(time.Second)
	laterSuccessor.commit()
	if cs := laterSuccessor.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("got %s although the task runs on m1, want no command", formatCommands(cs))
	}
}

// TestUnlistedMachineIsRemoved checks that a machine is removed if a later machine list lacks it, and
// that its tasks are then placed elsewhere. A list that may describe an earlier time than the list
// before it removes no machine.
func TestUnlistedMachineIsRemoved(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	commandsAfterList := func(wait time.Duration) string {
		l.now = l.now.Add(wait)
		l.sendHeartbeat("m2", 1)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
		l.tickAfter(time.Second)
		l.commit()
		return formatCommands(l.sendHeartbeat("m2", 1))
	}
	// A list may be 8 s old, twice the lag of 4 s: a list that arrives 7 s after the first may describe an
	// earlier time.
	if got := commandsAfterList(7 * time.Second); got != "" {
		t.Fatalf("got %s because of a list that may be outdated, want no command", got)
	}
	if got := commandsAfterList(time.Second); got != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0 on m2", got)
	}
}

// TestSuccessorLoadsMachineTypes checks that a successor loads the machine types from the store. It can
// then decide on submissions before the cloud responds.
func TestSuccessorLoadsMachineTypes(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.commit()
	successor := leader.New(zerolog.Nop(), testParams, config.OperatorSettings{}, 6, l.now, 0 /* grace period */)
	for key, value := range l.store {
		if strings.HasPrefix(key, records.MachineTypesKey) {
			if err := successor.LoadRecord(l.now, l.now, wire.KeyValue{Key: key, Value: value}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !successor.MachineTypesKnown() {
		t.Fatal("the successor does not know the machine types, want them loaded")
	}
}

// TestLatestStartRecordOfTaskApplies checks that a successor uses the latest of two start records of a
// task and does not wait for the machine of the earlier one: the task was started again only after it
// had left that machine.
func TestLatestStartRecordOfTaskApplies(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	for key, value := range maps.Clone(l.store) {
		if strings.HasPrefix(key, "s/") {
			l.store[key+"-later"] = json.RawMessage(strings.Replace(string(value), `"m1"`, `"m2"`, 1))
		}
	}
	successor := newLeader(t, 6, l.now, l.store)
	successor.sendHeartbeat("m2", 1) // in this term and without the task: it does not run on m2
	successor.tickAfter(time.Second)
	successor.commit()
	if cs := successor.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0", formatCommands(cs))
	}
}

// TestStartRecordsAreDeletedAfterTheirReplacements checks that no start record is deleted before the
// record that replaces it is written. Values of different sizes fill the batch before these two
// changes, because a batch may end between them.
func TestStartRecordsAreDeletedAfterTheirReplacements(t *testing.T) {
	for padding := range 60 {
		l, task := leaderWithRunningTask(t)
		successor := newLeader(t, 6, l.now, l.store)
		successor.lastSequence = 100 // above all earlier sequence numbers
		older := wire.TaskStatus{Task: task.Task, Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitStopped}
		successor.sendHeartbeat("m1", 1, older, task)
		// Changes that users wait for come first and nearly fill the transaction.
		for i := range 100 {
			j := newJob(fmt.Sprintf("job-%06d", i))
			j.Class = strings.Repeat("x", 120+padding)
			successor.Submit(successor.now, successor.now, j, func(leader.JobResponse) {})
		}
		replacementStored := false
		for b := successor.NextWriteBatch(500, 500); b != nil; b = successor.NextWriteBatch(500, 500) {
			for _, w := range b.Mutations {
				if strings.HasPrefix(w.Put, "s/") {
					replacementStored = true
				}
				if strings.HasPrefix(w.Delete, "s/") && !replacementStored {
					t.Fatalf("padding %d: %s deleted before its replacement is written, want it deleted later", padding, w.Delete)
				}
			}
			successor.MarkBatchCommitted(b, nil)
		}
		if !replacementStored {
			t.Fatal("no start record was written for the running attempt, want one")
		}
	}
}

// TestStartRecordsFitTheValueLimit checks that the starts of one placement pass on many machines are
// split into several start records, so that each fits the value limit of the key-value store.
func TestStartRecordsFitTheValueLimit(t *testing.T) {
	oldParams := testParams
	defer func() { testParams = oldParams }()
	testParams.KVStore.ValueKB = 1
	testParams.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 1600}}
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	wide := newJob("job-1")
	wide.Tasks, wide.CPUs = 40, 8
	l.Submit(l.now, l.now, wide, func(leader.JobResponse) {})
	l.commit()
	for i := range wide.Tasks {
		l.sendHeartbeat(fmt.Sprintf("i-%06d", i), 1)
	}
	l.tickAfter(time.Second)
	l.commit()
	startRecords := 0
	for key, value := range l.store {
		if strings.HasPrefix(key, "s/") {
			startRecords++
		}
		if len(value) > 1024 {
			t.Errorf("value of %s has %d bytes, want at most 1024", key, len(value))
		}
	}
	if allocated := newLeader(t, 6, l.now, l.store).Summary().AllocatedTasks; allocated != wide.Tasks || startRecords < 2 {
		t.Errorf("a successor loads %d start records with %d of %d tasks, want at least 2 records and all tasks", startRecords, allocated, wide.Tasks)
	}
}
