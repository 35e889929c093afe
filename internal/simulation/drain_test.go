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

// drainParams returns settings with higher limits of the teams, so that their tasks can move to
// machines outside the drained zone.
func drainParams() config.Params {
	p := defaultParams()
	p.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 40}, {Name: "green", CPUs: 8, CPUsMax: 24}}
	return p
}

// drainBudgets returns budgets small enough to delay a drain.
func drainBudgets() *drain.Budgets {
	return &drain.Budgets{
		Window: time.Minute, Default: drain.Budget{MaxUnavailable: 3, MaxEvictions: 8, MaxLostRunTimeS: 400},
		Teams: map[string]drain.Budget{"green": {MaxUnavailable: 2, MaxEvictions: 4, MaxLostRunTimeS: 250}},
	}
}

// maintenanceSpec returns a drain of zone a in batches of two machines.
func maintenanceSpec() *drain.Spec {
	return &drain.Spec{Name: "maintenance", Selector: drain.Selector{Zone: "a"}, BatchSize: 2}
}

// replacementSpec returns the drain of maintenanceSpec, but the drained machines are replaced by
// new ones.
func replacementSpec() *drain.Spec {
	s := maintenanceSpec()
	s.Replace = true
	return s
}

// makeMovable gives a job normal priority and two to six tasks that may run in any zone. Half of
// the random jobs have no checkpoints, so their progress is lost when they are evicted.
func makeMovable(rng *rand.Rand, j *wire.Job) {
	j.Priority, j.Zone, j.OneZone, j.SpreadZones = wire.PriorityNormal, "", false, false
	j.Tasks, j.CPUs, j.EstimateS = 2+rng.IntN(5), float64(1+rng.IntN(2)), 30+60*rng.Float64()
}

// crashLeaderSometimes returns a function that crashes the leader with a probability of one half,
// and at most four times.
func crashLeaderSometimes(sim *simulation.Simulation, seed uint64, down time.Duration) func() {
	rng := rand.New(rand.NewPCG(seed, 11))
	crashesLeft := 4
	return func() {
		if crashesLeft > 0 && rng.IntN(2) == 0 {
			crashesLeft--
			sim.ScheduleNow(func() { sim.CrashLeader(down) })
		}
	}
}

// applyRequest returns the request to start a drain.
func applyRequest(s *drain.Spec) *drain.Request {
	return &drain.Request{Action: drain.Apply, Name: s.Name, Spec: s}
}

// maintenanceRequest returns a request to pause, resume or cancel the drain of maintenanceSpec.
func maintenanceRequest(action drain.Action) *drain.Request {
	return &drain.Request{Action: action, Name: "maintenance"}
}

// drainScenario is a drain during which faults occur.
type drainScenario struct {
	name string
	spec func() *drain.Spec
	// submitSpan is the time from the start within which jobs are submitted.
	submitSpan time.Duration
	inject     func(sim *simulation.Simulation, seed uint64)
	observed   []simulation.Observation
	// modifyJob, if set, is applied to the random jobs instead of makeMovable.
	modifyJob func(*rand.Rand, *wire.Job)
}

// makeMovableExceedingLimits gives a job normal priority and tasks that may run in any zone, so
// many that a few such jobs need more CPUs than the limit of their team.
func makeMovableExceedingLimits(rng *rand.Rand, j *wire.Job) {
	exceedTeamLimits(rng, j)
	j.Priority = wire.PriorityNormal
}

// drainAppliedAt is when an operator applies the drain of a scenario.
const drainAppliedAt = 50 * second

var drainScenarios = []drainScenario{
	{"running tasks", maintenanceSpec, 120 * second, func(*simulation.Simulation, uint64) {}, []simulation.Observation{simulation.DrainCheckpoint}, nil},
	{"replaced", replacementSpec, 200 * second, func(*simulation.Simulation, uint64) {}, nil, nil},
	{"the leader crashes between charge and stop", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnCharge = crashLeaderSometimes(sim, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader crashes between stop and heartbeat", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnEviction = crashLeaderSometimes(sim, seed, 300*time.Millisecond)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the leader crashes between release and response", replacementSpec, 200 * second, func(sim *simulation.Simulation, seed uint64) {
		sim.OnRelease = crashLeaderSometimes(sim, seed, second)
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"two failovers within a batch, the old leader in its grace period", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(75*second, func() { sim.Inject(simulation.LeaderIsolated, 25*second) })
		sim.ScheduleAt(82*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"all controllers down for longer than a lease", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(80*second, func() { sim.CrashAll(25 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the store is down during a batch, and refuses the leader alone", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.StoreOutage, 30*second) })
		sim.ScheduleAt(130*second, func() { sim.Inject(simulation.StoreRefusesLeader, 20*second) })
	}, nil, nil},
	{"responses to writes lost, and writes delayed", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(50*second, func() { sim.Inject(simulation.WriteResponsesLost, 60*second) })
		sim.ScheduleAt(110*second, func() { sim.Inject(simulation.WritesDelayed, 60*second) })
	}, []simulation.Observation{simulation.WriteResponseLost, simulation.DelayedTransaction}, nil},
	{"the drained zone is partitioned, machines hang or get no responses", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(70*second, func() { sim.LoseResponsesToBusyMachines(0.3, 40*second) })
		sim.ScheduleAt(90*second, func() { sim.Inject(simulation.ZonePartitioned, 30*second) })
		sim.ScheduleAt(130*second, func() {
			sim.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned, simulation.HeartbeatsDuplicated)
		})
	}, []simulation.Observation{simulation.BusyMachineResponsesLost}, nil},
	{"replacements boot late or never, or are reclaimed", replacementSpec, 200 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(50*second, func() { sim.SlowDownBoots(100 * second) })
		sim.ScheduleAt(90*second, func() { sim.Inject(simulation.SpotReclaimed, 0) })
		sim.ScheduleAt(120*second, func() { sim.Inject(simulation.SpotReclaimed, 0) })
	}, nil, nil},
	{"jobs cancelled while their machines are drained", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		for i := range 8 {
			sim.ScheduleAt(time.Duration(60+10*i)*second, func() { sim.CancelRunning(2, 0) })
		}
		sim.ScheduleAt(85*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}, nil},
	{"teams at their limits, a guarantee, a failover", maintenanceSpec, 60 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.ScheduleAt(90*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}, makeMovableExceedingLimits},
	{"a node with drains off leads in between", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.DisableDrains(1)
		sim.ScheduleAt(80*second, func() { sim.CrashLeader(5 * second) })
		sim.ScheduleAt(120*second, func() { sim.CrashLeader(5 * second) })
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"the previous version leads in between", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) {
		sim.VersionFlipRate = 0.6
		for i := range 5 {
			sim.ScheduleAt(time.Duration(65+25*i)*second, func() { sim.CrashLeader(3 * second) })
		}
	}, []simulation.Observation{simulation.SecondTerm}, nil},
	{"anything", maintenanceSpec, 120 * second, func(sim *simulation.Simulation, _ uint64) { sim.InjectFaults() }, nil, nil},
	{"anything, replaced", replacementSpec, 200 * second, func(sim *simulation.Simulation, _ uint64) { sim.InjectFaults() }, nil, nil},
}

// runDrain runs a scenario to its end.
func runDrain(t *testing.T, s drainScenario, seed uint64) *simulation.Simulation {
	t.Helper()
	sim := simulation.New(3000+seed, 3, drainParams(), machineType)
	sim.Cloud.Capacity = 8
	sim.FaultRate = 1
	sim.EnableDrains(drainBudgets())
	modify := makeMovable
	if s.modifyJob != nil {
		modify = s.modifyJob
	}
	submitRandomJobs(sim, seed, 30, s.submitSpan, 0.1, modify)
	sim.RequestDrain(drainAppliedAt, applyRequest(s.spec()), nil)
	s.inject(sim, seed)
	return runToEnd(t, sim)
}

// TestDrainWithFaults: faults occur during a drain. No invariant is violated, the drain stays
// within every team's budget, and it ends with no machine left in the zone.
func TestDrainWithFaults(t *testing.T) {
	for _, s := range drainScenarios {
		t.Run(s.name, func(t *testing.T) {
			observed := append([]simulation.Observation{simulation.DrainCharge, simulation.DrainEviction}, s.observed...)
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				runUntilObserved(t, seed, observed, func(seed uint64) *simulation.Simulation {
					sim := runDrain(t, s, seed)
					r := sim.DrainRecord("maintenance")
					if r == nil || r.State != drain.Done || sim.MachinesInZone("a") > 0 {
						t.Errorf("seed %d: got drain record %+v and %d machines in the zone, want state done and 0 machines", seed, r, sim.MachinesInZone("a"))
					}
					return sim
				})
			})
		})
	}
}

// TestDrainCancelled: a drain is paused, resumed and cancelled, with failovers in between. The
// cancelled drain leaves no machine cordoned, so its zone is used again: all jobs end, and a drain
// of the other zone is completed.
func TestDrainCancelled(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		sim := simulation.New(3100+seed, 3, drainParams(), machineType)
		sim.FaultRate = 1
		sim.EnableDrains(drainBudgets())
		submitRandomJobs(sim, seed, 40, 200*second, 0, makeMovable)
		var statuses []int
		recordStatus := func(r drain.Response) { statuses = append(statuses, r.HTTPStatus) }
		sim.RequestDrain(drainAppliedAt, applyRequest(maintenanceSpec()), recordStatus)
		sim.RequestDrain(70*second, maintenanceRequest(drain.Pause), recordStatus)
		sim.ScheduleAt(72*second, func() { sim.CrashLeader(second) })
		sim.RequestDrain(90*second, maintenanceRequest(drain.Resume), recordStatus)
		sim.RequestDrain(110*second, maintenanceRequest(drain.Cancel), recordStatus)
		sim.ScheduleAt(111*second, func() { sim.CrashLeader(second) })
		laterSpec := maintenanceSpec()
		laterSpec.Name, laterSpec.BatchSize = "later", 1
		laterSpec.Selector = drain.Selector{Zone: "b"}
		sim.RequestDrain(60*second, applyRequest(laterSpec), recordStatus)
		runToEnd(t, sim)
		checkObserved(t, sim, []simulation.Observation{simulation.DrainPaused, simulation.SecondTerm})
		record, laterRecord := sim.DrainRecord("maintenance"), sim.DrainRecord("later")
		if record == nil || record.State != drain.Cancelled || laterRecord == nil || laterRecord.State != drain.Done {
			t.Errorf("got drain records %+v and %+v, want states cancelled and done", record, laterRecord)
		}
		if len(statuses) != 5 {
			t.Errorf("got response statuses %v, want 5 of them", statuses)
		}
		for _, status := range statuses {
			if status != http.StatusOK && status != http.StatusCreated {
				t.Errorf("got response statuses %v, want only 200 and 201", statuses)
			}
		}
	})
}

// TestEveryDrainBudgetLimitIsChecked: the checker reports a violation for each of the three limits
// of a budget when the second eviction exceeds it, and none after the first.
func TestEveryDrainBudgetLimitIsChecked(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	ended := func(string) bool { return false }
	for want, c := range map[string]struct {
		budget    drain.Budget
		lostS     float64
		runsAgain bool // whether an evicted task runs again at once
	}{
		"budget: 2 tasks of blue are unavailable": {drain.Budget{MaxUnavailable: 1, MaxEvictions: 9, MaxLostRunTimeS: 99}, 1, false},
		"budget: 2 evictions of blue":             {drain.Budget{MaxUnavailable: 9, MaxEvictions: 1, MaxLostRunTimeS: 99}, 1, true},
		"budget: 20 s of blue lost":               {drain.Budget{MaxUnavailable: 9, MaxEvictions: 9, MaxLostRunTimeS: 19}, 10, true},
	} {
		checker := simulation.NewDrainBudgetChecker(&drain.Budgets{Window: time.Minute, Default: c.budget})
		agent := simulation.NewAgent(at, wire.ListedMachine{Name: "m2"}, machineType, time.Hour)
		evict := func(task string) error {
			checker.RecordEviction(at, "blue", task, 1, c.lostS)
			if c.runsAgain {
				agent.Tasks[task] = &simulation.Task{Name: task, Attempt: 2, State: wire.TaskRunning}
			}
			return checker.Check(at, []*simulation.Agent{agent}, ended)
		}
		firstErr := evict("job-1/0")
		at = at.Add(59 * time.Second)
		secondErr := evict("job-1/1")
		if firstErr != nil || secondErr == nil || !strings.HasPrefix(secondErr.Error(), want) {
			t.Errorf("want violation %q after the second eviction only; got %v after the first, %v after the second", want, firstErr, secondErr)
		}
	}
}

// TestDrainUnderOverload: no batch of a drain starts while submissions are shed. The drain ends
// after the overload, and every submission has exactly one outcome.
func TestDrainUnderOverload(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		sim := newOverloadSimulation(t, 800+seed)
		sim.EnableDrains(drainBudgets())
		for i := range sim.Params.Teams {
			sim.Params.Teams[i].CPUs = 0 // without guaranteed CPUs, only the overload delays the batch
		}
		sim.submitNormalLoad(120 * second)
		sim.submit("blue", "nightly", 30, 20*second, 80*second, nil)
		sim.RequestDrain(15*second, applyRequest(maintenanceSpec()), nil)
		sim.ScheduleAt(48*second, func() {
			if r := sim.DrainRecord("maintenance"); r == nil || r.Batch != nil || r.Counts.Batches > 0 {
				t.Errorf("got drain record %+v during the overload, want one without a batch", r)
			}
		})
		sim.ScheduleAt(50*second, func() { sim.CrashLeader(second) })
		sim.runAndCheck(simulation.ShedByFollower, simulation.ShedByLeader)
		if r := sim.DrainRecord("maintenance"); r == nil || r.State != drain.Done {
			t.Errorf("got drain record %+v, want state done", r)
		}
	})
}
