package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/wire"
)

// TestCompletionIsDurableBeforeForget checks that, before the completion of a task is durable, the agent
// is not told to forget the task and users do not see the completion. Until then, only the agent's task
// list shows that the task has completed.
func TestCompletionIsDurableBeforeForget(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatalf("got %s before the completion is durable, want no command", formatCommands(cs))
	}
	if v := l.Query("job-1"); v.State == wire.JobDone {
		t.Fatal("job-1 is reported as done before the completion is durable, want another state")
	}
	l.commit()
	if v := l.Query("job-1"); v.State != wire.JobDone || v.CompletedTasks != 1 {
		t.Fatalf("after the commit: got %+v, want state done and 1 completed task", v)
	}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	l.commit()
	for key := range l.store {
		if strings.HasPrefix(key, "s/") || strings.HasPrefix(key, "j/") {
			t.Errorf("%s is still stored, want the start and job records deleted", key)
		}
	}
	successor := newLeader(t, 6, l.now, l.store)
	if v := successor.Query("job-1"); v.State != wire.JobDone || v.CompletedTasks != 1 {
		t.Fatalf("response of the successor: got %+v, want state done and 1 completed task", v)
	}
}

// TestNoResponseBeforeAcceptanceIsDurable checks that no response reports the state of a job before its
// acceptance is durable, even if the job is cancelled meanwhile: after a crash of the leader, the job
// would not exist.
func TestNoResponseBeforeAcceptanceIsDurable(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.Submit(l.now, l.now, newJob("job-1"), func(leader.JobResponse) {})
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	var repeated leader.JobResponse
	l.Submit(l.now, l.now, newJob("job-1"), func(v leader.JobResponse) { repeated = v })
	if repeated.Status != 0 {
		t.Fatalf("response %+v to the repeated submission before the commit, want none", repeated)
	}
	if v := l.Query("job-1"); v.Status != 503 {
		t.Fatalf("response to the query: got %+v, want status 503", v)
	}
	l.commit()
	if repeated.Status != 200 || repeated.State != wire.JobCancelled {
		t.Fatalf("response to the repeated submission: got %+v, want status 200 and state cancelled", repeated)
	}
}

// TestQueryDoesNotAllocate checks that a query allocates no memory, however many jobs there are: at times
// users send many times more queries than usual.
func TestQueryDoesNotAllocate(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	for i := range 3000 {
		l.Submit(l.now, l.now, newJob(fmt.Sprint("job-", 1000+i)), func(leader.JobResponse) {})
		l.commit()
	}
	for _, id := range []string{"job-1", "job-2000", "job-999999"} { // the last one does not exist
		if n := testing.AllocsPerRun(100, func() { l.Query(id) }); n > 0 {
			t.Errorf("query of %s: %v allocations, want 0", id, n)
		}
	}
}

// TestImpossibleJobs checks that the submission of a job that can never run gets 422, and that every
// submission gets 503 while the machine types are not known.
func TestImpossibleJobs(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	for name, change := range map[string]func(*wire.Job){
		"team":  func(j *wire.Job) { j.Team = "red" },
		"size":  func(j *wire.Job) { j.CPUs = 9 },  // the machine type has 8
		"limit": func(j *wire.Job) { j.CPUs = 17 }, // the limit of the team is 16
		"type":  func(j *wire.Job) { j.MachineTypes = []string{"other"} },
		"zone":  func(j *wire.Job) { j.Zone = "z" },
		"gpus":  func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := newJob("job-1")
		change(j)
		var got leader.JobResponse
		l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v })
		if got.Status != 422 {
			t.Errorf("job that violates %s: got %+v, want status 422", name, got)
		}
	}
	withoutTypes := leader.New(zerolog.Nop(), testParams, config.OperatorSettings{}, 1, startTime, 0 /* grace period */)
	var got leader.JobResponse
	withoutTypes.Submit(startTime, startTime, newJob("job-1"), func(v leader.JobResponse) { got = v })
	if got.Status != 503 {
		t.Errorf("without machine types: got %+v, want status 503", got)
	}
}

// TestTeamWithoutGuaranteeOrLimit checks that 0 as a team's guarantee means no guarantee, and 0 as its
// limit means no limit. The team's jobs are accepted, machines are provisioned for them, and they run
// where capacity is free.
func TestTeamWithoutGuaranteeOrLimit(t *testing.T) {
	paramsWithGuests := testParams
	paramsWithGuests.Teams = append(slices.Clone(testParams.Teams), config.Team{Name: "guests"})
	c := leader.New(zerolog.Nop(), paramsWithGuests, config.OperatorSettings{}, 5, startTime, 0 /* grace period */)
	c.SetMachineTypes([]wire.MachineType{std8Type})
	l := &testLeader{Leader: c, t: t, now: startTime, store: map[string]json.RawMessage{}}
	j := newJob("job-1")
	j.Team, j.Tasks = "guests", 3
	var got leader.JobResponse
	l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v })
	l.commit()
	l.tickAfter(10 * time.Second) // a machine list now contains all machines that a predecessor has provisioned
	l.ApplyMachineList(l.now, l.now, nil)
	if calls := l.PlanScaling(l.now); got.Status != 201 || len(calls) == 0 || calls[0].Op != scaling.CloudProvision {
		t.Fatalf("got the response %+v and the calls %+v, want status 201 and a provision call", got, calls)
	}
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 3 {
		t.Fatalf("got %s, want three starts", formatCommands(cs))
	}
	j = newJob("job-2")
	j.Team, j.GPUs = "guests", 1
	if l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v }); got.Status != 422 {
		t.Fatalf("no machine type has GPUs: got %+v, want status 422", got)
	}
}
