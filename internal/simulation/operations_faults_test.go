package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// operationsFaults are faults that operators have reported, alone and overlapping:
//   - controllers are down for a minute or more, or frozen while their clocks continue;
//   - machines boot late or never;
//   - users poll far more often than usual;
//   - a guest team without a quota submits a large job array and many tiny jobs of idle priority;
//   - jobs fail on every machine.
var operationsFaults = []faultScenario{
	{"controllers down for a minute", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.3, nil)
		sim.ScheduleAt(40*second, func() { sim.EnableFollowUps(150 * second) })
		sim.ScheduleAt(60*second, func() { sim.CrashAll(70 * second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.FollowUpQuery}},
	{"a frozen leader", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.3, nil)
		sim.ScheduleAt(30*second, func() { sim.EnableFollowUps(200 * second) })
		for i, span := range []time.Duration{2, 35, 11, 4} {
			sim.ScheduleAt(time.Duration(40+40*i)*second, func() { sim.Inject(simulation.LeaderFrozen, span*second) })
			sim.ScheduleAt(time.Duration(40+40*i)*second, func() { sim.CancelRunning(2, 0) })
		}
	}, []simulation.Observation{simulation.SecondTerm, simulation.FollowUpQuery, simulation.CancelledWhileRunning}},
	{"machines boot late or never", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 120*second, 0.1, nil)
		sim.ScheduleAt(0, func() { sim.SlowDownBoots(150 * second) })
		sim.ScheduleAt(50*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"a poll storm", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 120*second, 0.2, nil)
		sim.ScheduleAt(30*second, func() { sim.StartPollStorm(120 * second) })
		sim.ScheduleAt(60*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.PollStormQuery}},
	{"guests", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 20, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 6))
		for i := range 60 {
			j := drawJob(rng, 500+i)
			makeShortSingleTask(rng, j)
			j.Team, j.Priority, j.CPUs = "guests", wire.PriorityIdle, 0.25
			sim.Submit(40*second+time.Duration(rng.IntN(20_000))*time.Millisecond, j, 0)
		}
		largeJob := drawJob(rng, 700)
		makeShortSingleTask(rng, largeJob)
		largeJob.Team, largeJob.Priority, largeJob.Tasks, largeJob.CPUs = "guests", wire.PriorityNormal, 400, 0.5
		sim.Submit(50*second, largeJob, 0)
		sim.ScheduleAt(70*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"jobs that fail on every machine", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0, nil)
		rng := rand.New(rand.NewPCG(seed, 7))
		for i := range 6 {
			j := drawJob(rng, 500+i)
			sim.FailOnEveryMachine(j)
			sim.Submit(time.Duration(rng.IntN(60_000))*time.Millisecond, j, 250*second)
		}
		sim.ScheduleAt(60*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancellationConfirmed}},
	{"controllers down and frozen, machines late or without heartbeats", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.2, nil)
		sim.ScheduleAt(0, func() { sim.SlowDownBoots(150 * second) })
		sim.ScheduleAt(50*second, func() { sim.InjectFaults(simulation.MachineHeartbeatsLost) })
		sim.ScheduleAt(60*second, func() { sim.CrashAll(65 * second) })
		sim.ScheduleAt(160*second, func() { sim.Inject(simulation.LeaderFrozen, 30*second) })
		sim.ScheduleAt(163*second, func() { sim.CancelRunning(4, 15*second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.HeartbeatLost, simulation.CancelledWhileRunning}},
	{"a poll storm during failovers", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.2, nil)
		sim.ScheduleAt(30*second, func() { sim.StartPollStorm(150 * second) })
		sim.ScheduleAt(30*second, func() { sim.EnableFollowUps(150 * second) })
		sim.ScheduleAt(30*second, func() { sim.CancelAtCompletion(0.3, 150*second) })
		sim.ScheduleAt(30*second, func() { sim.Inject(simulation.HeartbeatsReplayedToNextLeader, 120*second) })
		for i := range 6 {
			sim.ScheduleAt(time.Duration(40+17*i)*second, func() { sim.CrashLeader(second / 2) })
		}
	}, []simulation.Observation{simulation.FifthTerm, simulation.PollStormQuery, simulation.FollowUpQuery}},
	{"guests at their limit while a zone is partitioned", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 15, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 8))
		for i := range 8 {
			j := drawJob(rng, 500+i)
			exceedTeamLimits(rng, j)
			j.Team, j.Priority = "limited", wire.PriorityIdle
			sim.Submit(time.Duration(rng.IntN(40_000))*time.Millisecond, j, 0)
		}
		sim.ScheduleAt(60*second, func() { sim.Inject(simulation.ZonePartitioned, 40*second) })
		sim.ScheduleAt(62*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(66*second, func() { sim.CancelRunning(4, 15*second) })
		sim.ScheduleAt(120*second, func() { sim.Inject(simulation.LeaderIsolated, 40*second) })
		sim.ScheduleAt(124*second, func() { sim.CancelRunning(3, 0) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancelledWhileRunning}},
	{"jobs that fail on every machine while spot machines are reclaimed", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.1, nil)
		rng := rand.New(rand.NewPCG(seed, 9))
		for i := range 8 {
			j := drawJob(rng, 500+i)
			j.Spot = true
			sim.FailOnEveryMachine(j)
			sim.Submit(time.Duration(rng.IntN(60_000))*time.Millisecond, j, 250*second)
		}
		sim.ScheduleAt(0, func() { sim.SendInvalidRequests(150 * second) })
		for i := range 6 {
			sim.ScheduleAt(time.Duration(30+20*i)*second, func() { sim.Inject(simulation.SpotReclaimed, 0) })
		}
		sim.ScheduleAt(80*second, func() { sim.Inject(simulation.StoreOutage, 50*second) })
		sim.ScheduleAt(140*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm, simulation.CancellationConfirmed, simulation.InvalidRequest}},
}

// TestOperationsFaults: the invariants hold during the faults that operators have reported, and
// every job that was not cancelled ends. The invariants include that no job waits for long while it
// can start.
func TestOperationsFaults(t *testing.T) {
	for _, scenario := range operationsFaults {
		t.Run(scenario.name, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				p := defaultParams()
				p.Teams = append(p.Teams, config.Team{Name: "guests"}, config.Team{Name: "limited", CPUsMax: 8})
				sim := simulation.New(3000+seed, 3+2*int(seed%2), p, machineType)
				sim.FaultRate = 1
				scenario.inject(sim, seed)
				runToEnd(t, sim)
				checkObserved(t, sim, scenario.observed)
			})
		})
	}
}
