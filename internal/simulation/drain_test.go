package simulation_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// drainParams are those of a cluster with capacity outside the drained zone.
func drainParams() config.Params {
	p := params()
	p.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 40}, {Name: "green", CPUs: 8, CPUsMax: 24}}
	return p
}

// drainBudgets are small enough to be what limits a drain.
func drainBudgets() *drain.Budgets {
	return &drain.Budgets{
		Window: time.Minute, Default: drain.Budget{MaxUnavailable: 3, Evictions: 8, LostS: 400},
		Teams: map[string]drain.Budget{"green": {MaxUnavailable: 2, Evictions: 4, LostS: 250}},
	}
}

// maintenance drains zone a, two machines at a time.
func maintenance() *drain.Spec {
	return &drain.Spec{Name: "maintenance", Selector: drain.Selector{Zone: "a"}, BatchSize: 2}
}

// withReplacement is maintenance with replacement of the drained machines.
func withReplacement() *drain.Spec {
	s := maintenance()
	s.Replace = true
	return s
}

// movableWork makes jobs of one priority that may run in any zone, half of them without checkpoints.
func movableWork(rng *rand.Rand, j *wire.Job) {
	j.Priority, j.Zone, j.OneZone, j.SpreadZones = wire.PriorityNormal, "", false, false
	j.Tasks, j.CPUs, j.EstimateS = 2+rng.IntN(5), float64(1+rng.IntN(2)), 30+60*rng.Float64()
}

// crashSometimes returns a function that crashes the leader half of the times, a few times at most.
func crashSometimes(sim *simulation.Simulation, seed uint64, down time.Duration) func() {
	rng := rand.New(rand.NewPCG(seed, 11))
	left := 4
	return func() {
		if left > 0 && rng.IntN(2) == 0 {
			left--
			sim.ScheduleNow(func() { sim.CrashLeader(down) })
		}
	}
}

// apply is the request to start a drain.
func apply(s *drain.Spec) *drain.Request {
	return &drain.Request{Action: drain.Apply, Name: s.Name, Spec: s}
}

// request is an operator's request about the drain of maintenance.
func request(action drain.Action) *drain.Request {
	return &drain.Request{Action: action, Name: "maintenance"}
}

// drainScenario is a run in which faults overlap with a drain.
type drainScenario struct {
	name string
	spec func() *drain.Spec
	// jobsOver is the time over which jobs are submitted.
	jobsOver time.Duration
	inject   func(sim *simulation.Simulation, seed uint64)
	observed []simulation.Observation
	// shape, if set, shapes the jobs instead of movableWork.
	shape func(*rand.Rand, *wire.Job)
}

// manyTasks makes movable jobs of far more tasks than the teams' limits allow at a time.
func manyTasks(rng *rand.Rand, j *wire.Job) {
	atTeamLimit(rng, j)
	j.Priority = wire.PriorityNormal
}

// drainBegins is when the drains of the scenarios are applied.
const drainBegins = 50 * second

var drainScenarios = []drainScenario{
	{"running tasks", maintenance, 120 * second, func(*simulation.Simulation, uint64) {}, []simulation.Observation{simulation.DrainCheckpoint}, nil},
	{"replaced", withReplacement, 200 * second, func(*simulation.Simulation, uint64) {}, nil, nil},
	{"the leader crashes between charge and stop", maintenance, 120 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnCharge = crashSometimes(sim, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader crashes between stop and heartbeat", maintenance, 120 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnEviction = crashSometimes(sim, seed, 300*time.Millisecond)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader crashes between release and response", withReplacement, 200 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnRelease = crashSometimes(sim, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"two failovers within a batch, the old leader in its grace period", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(75*second, func() { sim.Inject(simulation.LeaderIsolated, 25*second) })
		sim.ScheduleAt(82*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"all controllers down for longer than a lease", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(80*second, func() { sim.CrashAll(25 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the store is down during a batch, and refuses the leader alone", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.StoreOutage, 30*second) })
		sim.ScheduleAt(130*second, func() { sim.Inject(simulation.StoreRefusesLeader, 20*second) })
	}, nil, nil},
	{"responses to writes lost, and writes delayed", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(50*second, func() { sim.Inject(simulation.WriteResponsesLost, 60*second) })
		sim.ScheduleAt(110*second, func() { sim.Inject(simulation.WritesDelayed, 60*second) })
	}, []simulation.Observation{simulation.WriteResponseLost, simulation.DelayedTransaction}, nil},
	{"the drained zone is partitioned, machines hang or get no responses", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(70*second, func() { sim.LoseResponsesToBusyMachines(0.3, 40*second) })
		sim.ScheduleAt(90*second, func() { sim.Inject(simulation.ZonePartitioned, 30*second) })
		sim.ScheduleAt(130*second, func() {
			sim.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned, simulation.HeartbeatsDuplicated)
		})
	}, []simulation.Observation{simulation.BusyMachineResponsesLost}, nil},
	{"replacements boot late or never, or are reclaimed", withReplacement, 200 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(50*second, func() { sim.SlowDownBoots(100 * second) })
		sim.ScheduleAt(90*second, func() { sim.Inject(simulation.SpotReclaimed, 0) })
		sim.ScheduleAt(120*second, func() { sim.Inject(simulation.SpotReclaimed, 0) })
	}, nil, nil},
	{"jobs cancelled while their machines are drained", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		for i := range 8 {
			sim.ScheduleAt(time.Duration(60+10*i)*second, func() { sim.CancelRunning(2, 0) })
		}
		sim.ScheduleAt(85*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}, nil},
	{"teams at their limits, a guarantee, a failover", maintenance, 60 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(90*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, manyTasks},
	{"a node with drains off leads in between", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.DisableDrains(1)
		sim.ScheduleAt(80*second, func() { sim.CrashLeader(5 * second) })
		sim.ScheduleAt(120*second, func() { sim.CrashLeader(5 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the previous version leads in between", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.VersionFlipRate = 0.6
		for i := range 5 {
			sim.ScheduleAt(time.Duration(65+25*i)*second, func() { sim.CrashLeader(3 * second) })
		}
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"anything", maintenance, 120 * second, func(sim *simulation.Simulation, _ uint64) { sim.InjectFaults() }, nil, nil},
	{"anything, replaced", withReplacement, 200 * second, func(sim *simulation.Simulation, _ uint64) { sim.InjectFaults() }, nil, nil},
}

// runDrain runs a simulation in which a zone is drained.
func runDrain(t *testing.T, s drainScenario, seed uint64) *simulation.Simulation {
	t.Helper()
	sim := simulation.New(3000+seed, 3, drainParams(), machineType)
	sim.Cloud.Capacity = 8
	sim.FaultRate = 1
	sim.EnableDrains(drainBudgets())
	shape := movableWork
	if s.shape != nil {
		shape = s.shape
	}
	submitRandomJobs(sim, seed, 30, s.jobsOver, 0.1, shape)
	sim.RequestDrain(drainBegins, apply(s.spec()), nil)
	s.inject(sim, seed)
	return runToEnd(t, sim)
}

// TestDrainWithFaults: whatever fails, no invariant is violated, no team's budget is exceeded, and the
// drain ends with the zone empty.
func TestDrainWithFaults(t *testing.T) {
	for _, s := range drainScenarios {
		t.Run(s.name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				sim := runDrain(t, s, seed)
				checkObserved(t, sim, append([]simulation.Observation{simulation.DrainCharge, simulation.DrainEviction}, s.observed...))
				r := sim.DrainRecord("maintenance")
				if r == nil || r.State != drain.Done || sim.MachinesInZone("a") > 0 {
					t.Errorf("not drained: %+v, %d machines left", r, sim.MachinesInZone("a"))
				}
			})
		})
	}
}

// TestDrainCancelled: a drain that is paused, resumed and cancelled, with failovers in between, leaves
// nothing cordoned: its zone is used again.
func TestDrainCancelled(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		sim := simulation.New(3100+seed, 3, drainParams(), machineType)
		sim.FaultRate = 1
		sim.EnableDrains(drainBudgets())
		submitRandomJobs(sim, seed, 40, 200*second, 0, movableWork)
		var statuses []int
		note := func(r drain.Response) { statuses = append(statuses, r.Status) }
		sim.RequestDrain(drainBegins, apply(maintenance()), note)
		sim.RequestDrain(70*second, request(drain.Pause), note)
		sim.ScheduleAt(72*second, func() { sim.CrashLeader(second) })
		sim.RequestDrain(90*second, request(drain.Resume), note)
		sim.RequestDrain(110*second, request(drain.Cancel), note)
		sim.ScheduleAt(111*second, func() { sim.CrashLeader(second) })
		later := maintenance()
		later.Name, later.BatchSize = "later", 1
		later.Selector = drain.Selector{Zone: "b"}
		sim.RequestDrain(60*second, apply(later), note)
		runToEnd(t, sim)
		checkObserved(t, sim, []simulation.Observation{simulation.DrainPaused, simulation.SecondTerm})
		r, second := sim.DrainRecord("maintenance"), sim.DrainRecord("later")
		if r == nil || r.State != drain.Cancelled || second == nil || second.State != drain.Done {
			t.Errorf("%+v, then %+v", r, second)
		}
		if len(statuses) != 5 {
			t.Errorf("statuses: %v", statuses)
		}
		for _, status := range statuses {
			if status != http.StatusOK && status != http.StatusCreated {
				t.Errorf("statuses: %v", statuses)
			}
		}
	})
}

// TestEachBudgetCheckFires: the checker reports each budget that is exceeded, and nothing before.
func TestEachBudgetCheckFires(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	running := func(string) bool { return false }
	for want, c := range map[string]struct {
		budget drain.Budget
		lostS  float64
		back   bool // the tasks run again at once
	}{
		"budget: 2 tasks of blue are unavailable": {drain.Budget{MaxUnavailable: 1, Evictions: 9, LostS: 99}, 1, false},
		"budget: 2 evictions of blue":             {drain.Budget{MaxUnavailable: 9, Evictions: 1, LostS: 99}, 1, true},
		"budget: 20 s of blue lost":               {drain.Budget{MaxUnavailable: 9, Evictions: 9, LostS: 19}, 10, true},
	} {
		checker := simulation.NewDrainBudgetChecker(&drain.Budgets{Window: time.Minute, Default: c.budget})
		agent := simulation.NewAgent(at, wire.ListedMachine{Name: "m2"}, machineType, time.Hour)
		evict := func(task string) error {
			checker.RecordEviction(at, "blue", task, 1, c.lostS)
			if c.back {
				agent.Tasks[task] = &simulation.Task{Name: task, Attempt: 2, State: wire.TaskRunning}
			}
			return checker.Check(at, []*simulation.Agent{agent}, running)
		}
		first := evict("job-1/0")
		at = at.Add(59 * time.Second)
		second := evict("job-1/1")
		if first != nil || second == nil || !strings.HasPrefix(second.Error(), want) {
			t.Errorf("%s: first %v, then %v", want, first, second)
		}
	}
}

// TestDrainUnderOverload: no batch starts while new jobs are shed; the drain ends after that, and
// every submission is settled once.
func TestDrainUnderOverload(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		f := newFlood(t, 800+seed)
		f.EnableDrains(drainBudgets())
		for i := range f.Params.Teams {
			f.Params.Teams[i].CPUs = 0 // a guarantee would delay the batch, too
		}
		f.normalLoad(120 * second)
		f.submit("blue", "nightly", 30, 20*second, 80*second, nil)
		f.RequestDrain(15*second, apply(maintenance()), nil)
		f.ScheduleAt(48*second, func() {
			if r := f.DrainRecord("maintenance"); r == nil || r.Batch != nil || r.Counts.Batches > 0 {
				t.Errorf("a batch began under overload: %+v", r)
			}
		})
		f.ScheduleAt(50*second, func() { f.CrashLeader(second) })
		f.run(simulation.ShedByFollower, simulation.ShedByLeader)
		if r := f.DrainRecord("maintenance"); r == nil || r.State != drain.Done {
			t.Errorf("not drained: %+v", r)
		}
	})
}
