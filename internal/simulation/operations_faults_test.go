package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// operationsFaults are faults that operators have reported from production: controllers silent for a minute or more,
// or standing still while their clocks go on; machines that come up late or never;
// users who ask many times as often; a guest team without guarantee and limit, with a
// huge array, many tiny jobs and idle work; jobs that fail on every machine.
var operationsFaults = []faultScenario{
	{"controllers silent for a minute", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.3, nil)
		w.At(40*second, func() { w.EnableFollowUps(150 * second) })
		w.At(60*second, func() { w.CrashAll(70 * second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.FollowUpQuery}},
	{"a leader stands still", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.3, nil)
		w.At(30*second, func() { w.EnableFollowUps(200 * second) })
		for i, span := range []time.Duration{2, 35, 11, 4} {
			w.At(time.Duration(40+40*i)*second, func() { w.Inject(simulation.LeaderFrozen, span*second) })
			w.At(time.Duration(40+40*i)*second, func() { w.CancelRunning(2, 0) })
		}
	}, []simulation.Observation{simulation.SecondTerm, simulation.FollowUpQuery, simulation.CancelledWhileRunning}},
	{"machines late or never up", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 120*second, 0.1, nil)
		w.At(0, func() { w.SlowBoots(150 * second) })
		w.At(50*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"a storm of questions", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 120*second, 0.2, nil)
		w.At(30*second, func() { w.PollStorm(120 * second) })
		w.At(60*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.PollStormQuery}},
	{"guests", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 20, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 6))
		for i := range 60 {
			j := drawJob(rng, 500+i)
			shortSingleTask(rng, j)
			j.Team, j.Priority, j.CPUs = "guests", wire.PriorityIdle, 0.25
			w.Submit(40*second+time.Duration(rng.IntN(20_000))*time.Millisecond, j, 0)
		}
		huge := drawJob(rng, 700)
		shortSingleTask(rng, huge)
		huge.Team, huge.Priority, huge.Tasks, huge.CPUs = "guests", wire.PriorityNormal, 400, 0.5
		w.Submit(50*second, huge, 0)
		w.At(70*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"jobs that fail on every machine", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0, nil)
		rng := rand.New(rand.NewPCG(seed, 7))
		for i := range 6 {
			j := drawJob(rng, 500+i)
			w.FailOnEveryMachine(j)
			w.Submit(time.Duration(rng.IntN(60_000))*time.Millisecond, j, 250*second)
		}
		w.At(60*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancellationConfirmed}},
	{"controllers silent and frozen, machines late or unheard", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.2, nil)
		w.At(0, func() { w.SlowBoots(150 * second) })
		w.At(50*second, func() { w.InjectFaults(simulation.MachineHeartbeatsLost) })
		w.At(60*second, func() { w.CrashAll(65 * second) })
		w.At(160*second, func() { w.Inject(simulation.LeaderFrozen, 30*second) })
		w.At(163*second, func() { w.CancelRunning(4, 15*second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.HeartbeatLost, simulation.CancelledWhileRunning}},
	{"a storm of questions in successions", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.2, nil)
		w.At(30*second, func() { w.PollStorm(150 * second) })
		w.At(30*second, func() { w.EnableFollowUps(150 * second) })
		w.At(30*second, func() { w.CancelAtCompletion(0.3, 150*second) })
		w.At(30*second, func() { w.Inject(simulation.HeartbeatsReplayedToNextLeader, 120*second) })
		for i := range 6 {
			w.At(time.Duration(40+17*i)*second, func() { w.CrashLeader(second / 2) })
		}
	}, []simulation.Observation{simulation.FifthTerm, simulation.PollStormQuery, simulation.FollowUpQuery}},
	{"guests at their limit while a zone is cut off", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 15, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 8))
		for i := range 8 {
			j := drawJob(rng, 500+i)
			atTeamLimit(rng, j)
			j.Team, j.Priority = "limited", wire.PriorityIdle
			w.Submit(time.Duration(rng.IntN(40_000))*time.Millisecond, j, 0)
		}
		w.At(60*second, func() { w.Inject(simulation.ZonePartitioned, 40*second) })
		w.At(62*second, func() { w.CrashLeader(second) })
		w.At(66*second, func() { w.CancelRunning(4, 15*second) })
		w.At(120*second, func() { w.Inject(simulation.LeaderIsolated, 40*second) })
		w.At(124*second, func() { w.CancelRunning(3, 0) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancelledWhileRunning}},
	{"jobs that fail on every machine while spot machines are reclaimed", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 9))
		for i := range 8 {
			j := drawJob(rng, 500+i)
			j.Spot = true
			w.FailOnEveryMachine(j)
			w.Submit(time.Duration(rng.IntN(60_000))*time.Millisecond, j, 250*second)
		}
		w.At(0, func() { w.InvalidRequests(150 * second) })
		for i := range 6 {
			w.At(time.Duration(30+20*i)*second, func() { w.Inject(simulation.SpotReclaimed, 0) })
		}
		w.At(80*second, func() { w.Inject(simulation.StoreOutage, 50*second) })
		w.At(140*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancellationConfirmed, simulation.InvalidRequest}},
}

// TestOperationsFaults: the rules hold, no job waits where it could start, and all that was
// not cancelled ends.
func TestOperationsFaults(t *testing.T) {
	for _, n := range operationsFaults {
		t.Run(n.name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				p := params()
				p.Teams = append(p.Teams, config.Team{Name: "guests"}, config.Team{Name: "limited", CPUsMax: 8})
				w := simulation.New(3000+seed, 3+2*int(seed%2), p, machineType)
				w.FaultRate = 1
				n.inject(w, seed)
				runToEnd(t, w)
				checkObserved(t, w, n.observed)
			})
		})
	}
}
