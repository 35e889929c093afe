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

// TestCompletionIsDurableBeforeForget checks that an agent is told to forget a completed task, and
// users are told of its completion, only once the completion is durable. Until then only the agent
// knows of it.
func TestCompletionIsDurableBeforeForget(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatalf("forgotten before the completion is durable: %s", formatCommands(cs))
	}
	if v := l.Query("job-1"); v.State == wire.JobDone {
		t.Fatal("reported as done before the completion is durable")
	}
	l.commit()
	if v := l.Query("job-1"); v.State != wire.JobDone || v.CompletedTasks != 1 {
		t.Fatalf("%+v", v)
	}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	l.commit()
	for key := range l.store {
		if strings.HasPrefix(key, "s/") || strings.HasPrefix(key, "j/") {
			t.Errorf("%s is still stored", key)
		}
	}
	later := newLeader(t, 6, l.now, l.store)
	if v := later.Query("job-1"); v.State != wire.JobDone || v.CompletedTasks != 1 {
		t.Fatalf("after a succession: %+v", v)
	}
}

// TestNoResponseBeforeAcceptanceIsDurable checks that a cancellation requested before the acceptance
// is durable does not make the job known to users: after a crash the job would not exist.
func TestNoResponseBeforeAcceptanceIsDurable(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.Submit(l.now, l.now, newJob("job-1"), func(leader.JobResponse) {})
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	var repeated leader.JobResponse
	l.Submit(l.now, l.now, newJob("job-1"), func(v leader.JobResponse) { repeated = v })
	if repeated.Status != 0 {
		t.Fatalf("response to the repeated submission: %+v", repeated)
	}
	if v := l.Query("job-1"); v.Status != 503 {
		t.Fatalf("response to the query: %+v", v)
	}
	l.commit()
	if repeated.Status != 200 || repeated.State != wire.JobCancelled {
		t.Fatalf("%+v", repeated)
	}
}

// TestQueryDoesNotAllocate checks that a query allocates no memory, however many jobs there are,
// because users at times query many times as often as usual.
func TestQueryDoesNotAllocate(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	for i := range 3000 {
		l.Submit(l.now, l.now, newJob(fmt.Sprint("job-", 1000+i)), func(leader.JobResponse) {})
		l.commit()
	}
	for _, id := range []string{"job-1", "job-2000", "job-999999"} {
		if n := testing.AllocsPerRun(100, func() { l.Query(id) }); n > 0 {
			t.Errorf("%s: %v allocations", id, n)
		}
	}
}

// TestImpossibleJobs checks that a job that can never run gets 422, and any job 503 while the
// machine types are not known.
func TestImpossibleJobs(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for name, change := range map[string]func(*wire.Job){
		"team":  func(j *wire.Job) { j.Team = "red" },
		"size":  func(j *wire.Job) { j.CPUs = 9 },
		"limit": func(j *wire.Job) { j.CPUs = 17 },
		"type":  func(j *wire.Job) { j.MachineTypes = []string{"other"} },
		"zone":  func(j *wire.Job) { j.Zone = "z" },
		"gpus":  func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := newJob("job-1")
		change(j)
		var got leader.JobResponse
		l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v })
		if got.Status != 422 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	fresh := leader.New(zerolog.Nop(), params, config.OperatorSettings{}, 1, start, 0)
	var got leader.JobResponse
	fresh.Submit(start, start, newJob("job-1"), func(v leader.JobResponse) { got = v })
	if got.Status != 503 {
		t.Errorf("without machine types: %+v", got)
	}
}

// TestTeamWithoutGuaranteeOrLimit checks that a guarantee and a limit of 0 mean none: a job of such
// a team is accepted and runs where capacity is free.
func TestTeamWithoutGuaranteeOrLimit(t *testing.T) {
	settings := params
	settings.Teams = append(slices.Clone(params.Teams), config.Team{Name: "guests"})
	c := leader.New(zerolog.Nop(), settings, config.OperatorSettings{}, 5, start, 0)
	c.SetMachineTypes([]wire.MachineType{bigType})
	l := &testLeader{Leader: c, t: t, now: start, store: map[string]json.RawMessage{}}
	j := newJob("job-1")
	j.Team, j.Tasks = "guests", 3
	var got leader.JobResponse
	l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v })
	l.commit()
	l.tickAfter(10 * time.Second) // a list would contain the machines of a predecessor by then
	l.ApplyMachineList(l.now, l.now, nil)
	if calls := l.PlanScaling(l.now); got.Status != 201 || len(calls) == 0 || calls[0].Op != scaling.CloudProvision {
		t.Fatalf("%+v, then %+v", got, calls)
	}
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 3 {
		t.Fatalf("want three starts, got %s", formatCommands(cs))
	}
	j = newJob("job-2")
	j.Team, j.GPUs = "guests", 1
	if l.Submit(l.now, l.now, j, func(v leader.JobResponse) { got = v }); got.Status != 422 {
		t.Fatalf("accepted although no machine type has GPUs: %+v", got)
	}
}
