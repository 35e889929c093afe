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
	testStart = time.Unix(1_700_000_000, 0)
	teams     = []config.Team{
		{Name: "blue", CPUs: 8, CPUsMax: 16, GPUs: 1, GPUsMax: 2},
		{Name: "guest"},
	}
	capacity = placement.Resources{CPUs: 8, MemoryGB: 32}
)

func newJob(id, team string, tasks int) *jobs.Job {
	j := jobs.New(wire.Job{ID: id, Team: team, Tasks: tasks, CPUs: 2, MemoryGB: 1}, 0, testStart)
	j.MarkAccepted()
	j.RebuildReadyTasks()
	return j
}

func newMachine(id, zone string) *machines.Machine {
	m := machines.New(testStart, id, "std-8", zone, "", false)
	m.SetCapacity(capacity)
	return m
}

func TestAttemptUsesResourcesUntilItIsReleased(t *testing.T) {
	l := allocation.NewLedger(teams)
	m, j := newMachine("m1", "a"), newJob("job-1", "blue", 1)
	a := machines.NewPossiblyStartedAttempt(m, j, j.PopReadyTask(testStart), testStart)
	l.Allocate(a)
	a.ApplyReport(testStart, machines.Running)
	j.AddRunningAttempt()
	if m.Free() != (placement.Resources{CPUs: 6, MemoryGB: 31}) || l.UsedCPUs("blue") != 2 ||
		j.AllocatedTasks() != 1 || j.PlacementConstraints().TasksByZone["a"] != 1 || !a.IsAllocated() {
		t.Errorf("allocated: %+v free, %v CPUs used, tasks by zone %v, want one task of 2 CPUs and 1 GB in a",
			m.Free(), l.UsedCPUs("blue"), j.PlacementConstraints().TasksByZone)
	}
	end := testStart.Add(time.Minute)
	if last := l.Release(end, a); !last {
		t.Error("Release returned false for the only machine with the task")
	}
	if m.Free() != capacity || l.UsedCPUs("blue") != 0 || j.RunningAttempts() != 0 ||
		j.ReadyTasks() != 1 || a.IsAllocated() || m.IdleFor(end) != 0 {
		t.Errorf("released: %+v free, %v CPUs used, %d running, %d ready, want nothing used and one task ready",
			m.Free(), l.UsedCPUs("blue"), j.RunningAttempts(), j.ReadyTasks())
	}
}

// TestUsageMatchesRandomAllocations allocates and releases attempts in random order. After each step,
// the usage must equal the resources of the allocated attempts; it must be zero at the end.
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
					t.Fatalf("seed %d: team %s uses %v CPUs, want %v", seed, team, got, used[team])
				}
			}
			for _, m := range all {
				if got := capacity.CPUs - m.Free().CPUs; got != onMachine[m] {
					t.Fatalf("seed %d: %v CPUs used on %s, want %v", seed, got, m.ID, onMachine[m])
				}
			}
		}
		for range 200 {
			j := list[rng.IntN(len(list))]
			if len(attempts) > 0 && (j.ReadyTasks() == 0 || rng.IntN(2) == 0) {
				i := rng.IntN(len(attempts))
				l.Release(testStart, attempts[i])
				attempts = append(attempts[:i], attempts[i+1:]...)
			} else if j.ReadyTasks() > 0 {
				a := machines.NewPossiblyStartedAttempt(all[rng.IntN(len(all))], j, j.PopReadyTask(testStart), testStart)
				l.Allocate(a)
				attempts = append(attempts, a)
			}
			check()
		}
		for _, a := range attempts {
			l.Release(testStart, a)
		}
		attempts = nil
		check()
		for _, j := range list {
			if j.AllocatedTasks() != 0 || j.ReadyTasks() != j.Tasks || len(j.PlacementConstraints().TasksByZone) != 0 {
				t.Errorf("seed %d: %s: %d tasks allocated, %d ready, want all ready",
					seed, j.ID, j.AllocatedTasks(), j.ReadyTasks())
			}
		}
	}
}

func TestFreeCPUsAndLimitsOfTeams(t *testing.T) {
	l := allocation.NewLedger(teams)
	if cpus, known := l.FreeCPUs("blue"); cpus != 16 || !known {
		t.Errorf("team blue: %v CPUs free, known %v, want 16, true", cpus, known)
	}
	if cpus, known := l.FreeCPUs("guest"); !math.IsInf(cpus, 1) || !known {
		t.Errorf("team without a limit: %v CPUs free, known %v, want infinitely many, true", cpus, known)
	}
	if _, known := l.FreeCPUs("nobody"); known {
		t.Error("known is true for a team without settings")
	}
	if free := l.FreeCPUsByTeam(); len(free) != 2 || free["blue"] != 16 {
		t.Errorf("free CPUs by team %v, want 16 of blue and those of guest", free)
	}
	if p := l.PlacementTeams()["blue"]; p.Limit.CPUs != 16 || p.Limit.GPUs != 2 ||
		!math.IsInf(p.Limit.MemoryGB, 1) || p.Used != (placement.Resources{}) {
		t.Errorf("team blue: %+v, want a limit of 16 CPUs and 2 GPUs and no usage", p)
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
			t.Errorf("%s: Ledger.QuotaViolation returned %q, want the reason of the case", name, got)
		}
		if got := allocation.QuotaViolation(teams, &c.spec); got != c.want {
			t.Errorf("%s: QuotaViolation returned %q, want the reason of the case", name, got)
		}
	}
}

func TestOldestJobsAreWithinTheGuarantee(t *testing.T) {
	l := allocation.NewLedger(teams)
	first, second, third := newJob("first", "blue", 3), newJob("second", "blue", 2), newJob("third", "guest", 1)
	fits := l.JobsWithinGuarantee([]*jobs.Job{first, second, third})
	if !fits[first] || fits[second] || fits[third] {
		t.Errorf("jobs within the guarantee: %v, want only the first", fits)
	}
	first.MarkCompleted(0) // completed tasks need no resources
	if fits = l.JobsWithinGuarantee([]*jobs.Job{first, second}); !fits[second] {
		t.Error("the second job is not within the guarantee although a task of the first is done")
	}
}
