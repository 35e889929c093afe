package allocation_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/allocation"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

var (
	start = time.Unix(1_700_000_000, 0)
	teams = []config.Team{
		{Name: "blue", CPUs: 8, CPUsMax: 16, GPUs: 1, GPUsMax: 2},
		{Name: "guest"},
	}
	capacity = placement.Resources{CPUs: 8, MemoryGB: 32}
)

func newJob(id, team string, tasks int) *jobs.Job {
	j := jobs.New(wire.Job{ID: id, Team: team, Tasks: tasks, CPUs: 2, MemoryGB: 1}, 0, start)
	j.MarkAccepted()
	j.RebuildReadyTasks()
	return j
}

func newMachine(id, zone string) *machines.Machine {
	m := machines.New(start, id, "std-8", zone, "", false)
	m.SetCapacity(capacity)
	return m
}

func TestAttemptCountsUntilItIsReleased(t *testing.T) {
	l := allocation.NewLedger(teams)
	m, j := newMachine("m1", "a"), newJob("job-1", "blue", 1)
	a := machines.NewPossiblyStartedAttempt(m, j, j.PopReadyTask(start), start)
	l.Allocate(a)
	a.ApplyReport(start, machines.Running)
	j.AddRunning()
	if m.Free() != (placement.Resources{CPUs: 6, MemoryGB: 31}) || l.UsedCPUs("blue") != 2 || j.AllocatedTasks() != 1 || j.Constraints().TasksByZone["a"] != 1 || !a.IsAllocated() {
		t.Errorf("free %+v, used %v, in zones %v", m.Free(), l.UsedCPUs("blue"), j.Constraints().TasksByZone)
	}
	end := start.Add(time.Minute)
	if last := l.Release(end, a); !last {
		t.Error("another machine may have the task")
	}
	if m.Free() != capacity || l.UsedCPUs("blue") != 0 || j.RunningTasks() != 0 || j.ReadyTasks() != 1 || a.IsAllocated() || m.IdleFor(end) != 0 {
		t.Errorf("free %+v, used %v, %d running, %d ready", m.Free(), l.UsedCPUs("blue"), j.RunningTasks(), j.ReadyTasks())
	}
}

// TestUsageMatchesRandomAllocations allocates and releases attempts in random order. Usage must
// always equal the resources of the allocated attempts, and be zero at the end.
func TestUsageMatchesRandomAllocations(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, seed))
		l := allocation.NewLedger(teams)
		all := []*machines.Machine{newMachine("m1", "a"), newMachine("m2", "a"), newMachine("m3", "b")}
		list := []*jobs.Job{newJob("job-1", "blue", 10), newJob("job-2", "guest", 10), newJob("job-3", "nobody", 10)}
		var attempts []*machines.Attempt
		check := func() {
			used, onMachine := map[string]float64{}, map[*machines.Machine]float64{}
			for _, a := range attempts {
				used[a.Job.Team] += a.Job.CPUs
				onMachine[a.Machine] += a.Job.CPUs
			}
			for _, team := range []string{"blue", "guest"} {
				if got := l.UsedCPUs(team); got != used[team] {
					t.Fatalf("seed %d: %s uses %v, not %v", seed, team, got, used[team])
				}
			}
			for _, m := range all {
				if got := capacity.CPUs - m.Free().CPUs; got != onMachine[m] {
					t.Fatalf("seed %d: %v used on %s, not %v", seed, got, m.ID, onMachine[m])
				}
			}
		}
		for range 200 {
			j := list[rng.IntN(len(list))]
			if len(attempts) > 0 && (j.ReadyTasks() == 0 || rng.IntN(2) == 0) {
				i := rng.IntN(len(attempts))
				l.Release(start, attempts[i])
				attempts = append(attempts[:i], attempts[i+1:]...)
			} else if j.ReadyTasks() > 0 {
				a := machines.NewPossiblyStartedAttempt(all[rng.IntN(len(all))], j, j.PopReadyTask(start), start)
				l.Allocate(a)
				attempts = append(attempts, a)
			}
			check()
		}
		for _, a := range attempts {
			l.Release(start, a)
		}
		attempts = nil
		check()
		for _, j := range list {
			if j.AllocatedTasks() != 0 || j.ReadyTasks() != j.Tasks || len(j.Constraints().TasksByZone) != 0 {
				t.Errorf("seed %d: %s: %d allocated, %d ready", seed, j.ID, j.AllocatedTasks(), j.ReadyTasks())
			}
		}
	}
}

func TestQuotas(t *testing.T) {
	l := allocation.NewLedger(teams)
	if cpus, known := l.FreeCPUs("blue"); cpus != 16 || !known {
		t.Errorf("blue: %v, %v", cpus, known)
	}
	if cpus, known := l.FreeCPUs("guest"); !math.IsInf(cpus, 1) || !known {
		t.Errorf("a team without a guarantee and a limit: %v, %v", cpus, known)
	}
	if _, known := l.FreeCPUs("nobody"); known {
		t.Error("an unknown team has free CPUs")
	}
	if free := l.FreeCPUsByTeam(); len(free) != 2 || free["blue"] != 16 {
		t.Errorf("%v", free)
	}
	if p := l.PlacementTeams()["blue"]; p.Limit.CPUs != 16 || p.Limit.GPUs != 2 || !math.IsInf(p.Limit.MemoryGB, 1) || p.Used != (placement.Resources{}) {
		t.Errorf("%+v", p)
	}
}

func TestQuotaViolation(t *testing.T) {
	l := allocation.NewLedger(teams)
	for name, c := range map[string]struct {
		spec wire.Job
		want string
	}{
		"within the limit": {spec: wire.Job{Team: "blue", CPUs: 16, GPUs: 2}},
		"too many CPUs":    {spec: wire.Job{Team: "blue", CPUs: 17}, want: "a task needs more than the team's limit"},
		"too many GPUs":    {spec: wire.Job{Team: "blue", GPUs: 3}, want: "a task needs more than the team's limit"},
		"no limit":         {spec: wire.Job{Team: "guest", CPUs: 1000}},
		"unknown team":     {spec: wire.Job{Team: "nobody"}, want: "unknown team"},
	} {
		if got := l.QuotaViolation(&c.spec); got != c.want {
			t.Errorf("%s: %q", name, got)
		}
		if got := allocation.QuotaViolation(teams, &c.spec); got != c.want {
			t.Errorf("%s: by the settings %q", name, got)
		}
	}
}

func TestOldestJobsAreWithinTheGuarantee(t *testing.T) {
	l := allocation.NewLedger(teams)
	first, second, third := newJob("first", "blue", 3), newJob("second", "blue", 2), newJob("third", "guest", 1)
	fits := l.WithinGuarantee([]*jobs.Job{first, second, third})
	if !fits[first] || fits[second] || fits[third] {
		t.Errorf("%v", fits)
	}
	first.Complete(0) // what is done needs no guarantee
	if fits = l.WithinGuarantee([]*jobs.Job{first, second}); !fits[second] {
		t.Error("not within the guarantee though work is done")
	}
}
