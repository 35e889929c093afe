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

// TestDoneIsDurableBeforeReap: the worker's memory of a completion is the
// only one until the state service has it, and users hear of it only then.
func TestDoneIsDurableBeforeReap(t *testing.T) {
	l, tr := running(t)
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitDone
	if cs := l.report("m1", 1, tr); len(cs) != 0 {
		t.Fatalf("before it is durable: %s", ops(cs))
	}
	if v := l.Query("job-1"); v.State == wire.JobDone {
		t.Fatal("told before it is durable")
	}
	l.commit()
	if v := l.Query("job-1"); v.State != wire.JobDone || v.CompletedTasks != 1 {
		t.Fatalf("%+v", v)
	}
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-1/0" {
		t.Fatal(ops(cs))
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

// TestNothingIsToldBeforeItIsDurable: a cancellation asked for while the
// acceptance is on its way doesn't make the job known; a crash now would leave
// no trace of it.
func TestNothingIsToldBeforeItIsDurable(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.Submit(l.now, l.now, spec("job-1"), func(leader.Response) {})
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	var again leader.Response
	l.Submit(l.now, l.now, spec("job-1"), func(v leader.Response) { again = v })
	if again.Status != 0 {
		t.Fatalf("repeat answered %+v", again)
	}
	if v := l.Query("job-1"); v.Status != 503 {
		t.Fatalf("query answered %+v", v)
	}
	l.commit()
	if again.Status != 200 || again.State != wire.JobCancelled {
		t.Fatalf("%+v", again)
	}
}

// TestPollIsCheap: a question costs the same however many jobs there are, as users ask
// many times as often at times: no work that grows, and next to no memory.
func TestPollIsCheap(t *testing.T) {
	l, _ := running(t)
	for i := range 3000 {
		l.Submit(l.now, l.now, spec(fmt.Sprint("job-", 1000+i)), func(leader.Response) {})
		l.commit()
	}
	for _, id := range []string{"job-1", "job-2000", "job-999999"} {
		if n := testing.AllocsPerRun(100, func() { l.Query(id) }); n > 0 {
			t.Errorf("%s: %v allocations", id, n)
		}
	}
}

// TestImpossibleJobs: 422 for what can never run, 503 while that can't be told.
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
		j := spec("job-1")
		change(j)
		var got leader.Response
		l.Submit(l.now, l.now, j, func(v leader.Response) { got = v })
		if got.Status != 422 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	fresh := leader.New(zerolog.Nop(), params, config.Operator{}, 1, start, 0)
	var got leader.Response
	fresh.Submit(start, start, spec("job-1"), func(v leader.Response) { got = v })
	if got.Status != 503 {
		t.Errorf("without machine types: %+v", got)
	}
}

// TestGuestTeam: a guarantee of 0 and a limit of 0 mean that there is none. A guest's
// job is accepted, and runs where there is room.
func TestGuestTeam(t *testing.T) {
	with := params
	with.Teams = append(slices.Clone(params.Teams), config.Team{Name: "guests"})
	c := leader.New(zerolog.Nop(), with, config.Operator{}, 5, start, 0)
	c.SetMachineTypes([]wire.MachineType{bigType})
	l := &testLeader{Leader: c, t: t, now: start, store: map[string]json.RawMessage{}}
	j := spec("job-1")
	j.Team, j.Tasks = "guests", 3
	var got leader.Response
	l.Submit(l.now, l.now, j, func(v leader.Response) { got = v })
	l.commit()
	l.pass(10 * time.Second) // machines of a predecessor would be listed by then
	l.ApplyMachineList(l.now, l.now, nil)
	if calls := l.PlanScaling(l.now); got.Status != 201 || len(calls) == 0 || calls[0].Op != scaling.CloudProvision {
		t.Fatalf("%+v, then %+v", got, calls)
	}
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 1); len(cs) != 3 {
		t.Fatalf("want three starts, got %s", ops(cs))
	}
	j = spec("job-2")
	j.Team, j.GPUs = "guests", 1
	if l.Submit(l.now, l.now, j, func(v leader.Response) { got = v }); got.Status != 422 {
		t.Fatalf("no machine type has cards: %+v", got)
	}
}
