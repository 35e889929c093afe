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

// drainParams are those of a cluster with room for work outside the drained zone.
func drainParams() config.Params {
	p := params()
	p.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 40}, {Name: "green", CPUs: 8, CPUsMax: 24}}
	return p
}

// drainBudgets are small enough to be what holds a drain up.
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

func withReplacement() *drain.Spec {
	s := maintenance()
	s.Replace = true
	return s
}

// movableWork makes jobs of one priority that may run in any zone, half of which save nothing.
func movableWork(rng *rand.Rand, j *wire.Job) {
	j.Priority, j.Zone, j.OneZone, j.SpreadZones = wire.PriorityNormal, "", false, false
	j.Tasks, j.CPUs, j.EstimateS = 2+rng.IntN(5), float64(1+rng.IntN(2)), 30+60*rng.Float64()
}

// crashSometimes ends the leader with a chance, a few times at most.
func crashSometimes(w *simulation.Simulation, seed uint64, down time.Duration) func() {
	rng := rand.New(rand.NewPCG(seed, 11))
	left := 4
	return func() {
		if left > 0 && rng.IntN(2) == 0 {
			left--
			w.Soon(func() { w.CrashLeader(down) })
		}
	}
}

func apply(s *drain.Spec) *drain.Request {
	return &drain.Request{Action: drain.Apply, Name: s.Name, Spec: s}
}

func ask(action drain.Action) *drain.Request {
	return &drain.Request{Action: action, Name: "maintenance"}
}

type drainScenario struct {
	name string
	spec func() *drain.Spec
	// jobsOver is the time over which jobs are submitted.
	jobsOver time.Duration
	inject   func(w *simulation.Simulation, seed uint64)
	observed []simulation.Observation
	// shape, if set, is that of the jobs in the place of movableWork.
	shape func(*rand.Rand, *wire.Job)
}

// manyTasks is movable work of far more tasks than the teams' limits allow at a time.
func manyTasks(rng *rand.Rand, j *wire.Job) {
	atTeamLimit(rng, j)
	j.Priority = wire.PriorityNormal
}

// drainBegins is when the scenarios' drains are applied.
const drainBegins = 50 * second

var drainScenarios = []drainScenario{
	{"tasks half done", maintenance, 120 * second, func(*simulation.Simulation, uint64) {}, []simulation.Observation{simulation.DrainCheckpoint}, nil},
	{"replaced", withReplacement, 200 * second, func(*simulation.Simulation, uint64) {}, nil, nil},
	{"the leader ends between charge and stop", maintenance, 120 * second, func(w *simulation.Simulation, seed uint64) {
		w.OnCharge = crashSometimes(w, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader ends between stop and report", maintenance, 120 * second, func(w *simulation.Simulation, seed uint64) {
		w.OnEviction = crashSometimes(w, seed, 300*time.Millisecond)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader ends between release and answer", withReplacement, 200 * second, func(w *simulation.Simulation, seed uint64) {
		w.OnRelease = crashSometimes(w, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"two successions within a batch, the old leader in its grace", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(75*second, func() { w.Inject(simulation.LeaderIsolated, 25*second) })
		w.At(82*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"all controllers away for longer than a lease", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(80*second, func() { w.CrashAll(25 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the state service is down in a batch, and refuses the leader alone", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(70*second, func() { w.Inject(simulation.StoreOutage, 30*second) })
		w.At(130*second, func() { w.Inject(simulation.StoreRefusesLeader, 20*second) })
	}, nil, nil},
	{"answers to writes lost, and writes late", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(50*second, func() { w.Inject(simulation.WriteResponsesLost, 60*second) })
		w.At(110*second, func() { w.Inject(simulation.WritesDelayed, 60*second) })
	}, []simulation.Observation{simulation.WriteResponseLost, simulation.DelayedTransaction}, nil},
	{"the drained zone is partitioned, machines deaf or hanging", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(70*second, func() { w.LoseResponsesToBusyMachines(0.3, 40*second) })
		w.At(90*second, func() { w.Inject(simulation.ZonePartitioned, 30*second) })
		w.At(130*second, func() {
			w.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned, simulation.HeartbeatsDuplicated)
		})
	}, []simulation.Observation{simulation.BusyMachineResponsesLost}, nil},
	{"replacements late, never up or recalled", withReplacement, 200 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(50*second, func() { w.SlowBoots(100 * second) })
		w.At(90*second, func() { w.Inject(simulation.SpotReclaimed, 0) })
		w.At(120*second, func() { w.Inject(simulation.SpotReclaimed, 0) })
	}, nil, nil},
	{"jobs cancelled while their machines are drained", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		for i := range 8 {
			w.At(time.Duration(60+10*i)*second, func() { w.CancelRunning(2, 0) })
		}
		w.At(85*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}, nil},
	{"teams at their limits, a guarantee to be met, a new leader", maintenance, 60 * second, func(w *simulation.Simulation, _ uint64) {
		w.At(90*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, manyTasks},
	{"a node with drains off leads in between", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.DrainsOff(1)
		w.At(80*second, func() { w.CrashLeader(5 * second) })
		w.At(120*second, func() { w.CrashLeader(5 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the previous version leads in between", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) {
		w.VersionFlipRate = 0.6
		for i := range 5 {
			w.At(time.Duration(65+25*i)*second, func() { w.CrashLeader(3 * second) })
		}
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"anything", maintenance, 120 * second, func(w *simulation.Simulation, _ uint64) { w.InjectFaults() }, nil, nil},
	{"anything, replaced", withReplacement, 200 * second, func(w *simulation.Simulation, _ uint64) { w.InjectFaults() }, nil, nil},
}

// playDrain plays a day on which a zone is drained.
func playDrain(t *testing.T, s drainScenario, seed uint64) *simulation.Simulation {
	t.Helper()
	w := simulation.New(3000+seed, 3, drainParams(), machineType)
	w.Cloud.Capacity = 8
	w.FaultRate = 1
	w.EnableDrains(drainBudgets())
	shape := movableWork
	if s.shape != nil {
		shape = s.shape
	}
	submitRandomJobs(w, seed, 30, s.jobsOver, 0.1, shape)
	w.RequestDrain(drainBegins, apply(s.spec()), nil)
	s.inject(w, seed)
	return runToEnd(t, w)
}

// TestDrainWithFaults: whatever fails on the way, no rule is broken, no team's budget is exceeded,
// and the drain ends with the zone empty.
func TestDrainWithFaults(t *testing.T) {
	for _, s := range drainScenarios {
		t.Run(s.name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				w := playDrain(t, s, seed)
				checkObserved(t, w, append([]simulation.Observation{simulation.DrainCharge, simulation.DrainEviction}, s.observed...))
				r := w.DrainRecord("maintenance")
				if r == nil || r.State != drain.Done || w.MachinesInZone("a") > 0 {
					t.Errorf("not drained: %+v, %d machines left", r, w.MachinesInZone("a"))
				}
			})
		})
	}
}

// TestDrainCancelled: a drain that is paused, resumed and cancelled midway, with the leader ending
// in between, leaves nothing cordoned: its zone is used again.
func TestDrainCancelled(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		w := simulation.New(3100+seed, 3, drainParams(), machineType)
		w.FaultRate = 1
		w.EnableDrains(drainBudgets())
		submitRandomJobs(w, seed, 40, 200*second, 0, movableWork)
		var statuses []int
		note := func(r drain.Response) { statuses = append(statuses, r.Status) }
		w.RequestDrain(drainBegins, apply(maintenance()), note)
		w.RequestDrain(70*second, ask(drain.Pause), note)
		w.At(72*second, func() { w.CrashLeader(second) })
		w.RequestDrain(90*second, ask(drain.Resume), note)
		w.RequestDrain(110*second, ask(drain.Cancel), note)
		w.At(111*second, func() { w.CrashLeader(second) })
		later := maintenance()
		later.Name, later.BatchSize = "later", 1
		later.Selector = drain.Selector{Zone: "b"}
		w.RequestDrain(60*second, apply(later), note)
		runToEnd(t, w)
		checkObserved(t, w, []simulation.Observation{simulation.DrainPaused, simulation.SecondTerm})
		r, second := w.DrainRecord("maintenance"), w.DrainRecord("later")
		if r == nil || r.State != drain.Cancelled || second == nil || second.State != drain.Done {
			t.Errorf("%+v, then %+v", r, second)
		}
		if len(statuses) != 5 {
			t.Errorf("answered: %v", statuses)
		}
		for _, status := range statuses {
			if status != http.StatusOK && status != http.StatusCreated {
				t.Errorf("answered: %v", statuses)
			}
		}
	})
}

// TestEachBudgetCheckFires: the watch finds each budget exceeded, and nothing before.
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
		watch := simulation.NewDrainBudgetChecker(&drain.Budgets{Window: time.Minute, Default: c.budget})
		worker := simulation.NewAgent(at, wire.ListedMachine{Name: "m2"}, machineType, time.Hour)
		evict := func(task string) error {
			watch.Evicted(at, "blue", task, 1, c.lostS)
			if c.back {
				worker.Tasks[task] = &simulation.Task{Name: task, Attempt: 2, State: wire.TaskRunning}
			}
			return watch.Check(at, []*simulation.Agent{worker}, running)
		}
		first := evict("job-1/0")
		at = at.Add(59 * time.Second)
		second := evict("job-1/1")
		if first != nil || second == nil || !strings.HasPrefix(second.Error(), want) {
			t.Errorf("%s: first %v, then %v", want, first, second)
		}
	}
}

// TestDrainUnderOverload: no batch begins while new jobs are shed; the drain ends after that, and
// every submission comes to one end.
func TestDrainUnderOverload(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		f := newFlood(t, 800+seed)
		f.EnableDrains(drainBudgets())
		for i := range f.Params.Teams {
			f.Params.Teams[i].CPUs = 0 // a guarantee would hold the batch back, too
		}
		f.normalLoad(120 * second)
		f.submit("blue", "nightly", 30, 20*second, 80*second, nil)
		f.RequestDrain(15*second, apply(maintenance()), nil)
		f.At(48*second, func() {
			if r := f.DrainRecord("maintenance"); r == nil || r.Batch != nil || r.Counts.Batches > 0 {
				t.Errorf("a batch began under overload: %+v", r)
			}
		})
		f.At(50*second, func() { f.CrashLeader(second) })
		f.play(simulation.ShedByFollower, simulation.ShedByLeader)
		if r := f.DrainRecord("maintenance"); r == nil || r.State != drain.Done {
			t.Errorf("not drained: %+v", r)
		}
	})
}
