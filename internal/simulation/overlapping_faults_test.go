package simulation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// faultScenario is a run with particular jobs and faults.
type faultScenario struct {
	name     string
	inject   func(sim *simulation.Simulation, seed uint64)
	observed []simulation.Observation // must all be made for the test to pass
}

// manySmallJobs is the name of the scenario that needs higher limits of the teams.
const manySmallJobs = "07 one-task jobs, four a second"

// overlappingFaults are the combinations of faults that operators have listed, numbered as in
// docs/fault-matrix.md. Where the order of two events matters, it depends on the seed.
var overlappingFaults = []faultScenario{
	{"01 users query all nodes after every response", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 40, 120*second, 0.3, nil)
		sim.ScheduleAt(0, func() { sim.EnableFollowUps(200 * second) })
		sim.ScheduleAt(60*second, func() { sim.CrashLeader(second / 2) })
	}, []simulation.Observation{simulation.FollowUpQuery, simulation.CancellationConfirmed}},
	{"02 an old heartbeat after newer ones", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 150*second, 0.2, nil)
		sim.ScheduleAt(0, func() { sim.Inject(simulation.HeartbeatsDuplicated, 200*second) })
		sim.ScheduleAt(20*second, func() {
			sim.InjectFaults(simulation.MachinePartitioned, simulation.MachineHangs, simulation.MachineResponsesLost)
		})
	}, []simulation.Observation{simulation.StaleHeartbeatIgnored}},
	{"03 a command is delayed and the machine continues", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 150*second, 0.4, nil)
		sim.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned, simulation.RunningJobsCancelled)
	}, []simulation.Observation{simulation.CancelledWhileRunning}},
	{"04 all controllers away for longer than a lease", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.3, makeLongRunning)
		sim.ScheduleAt(50*second, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(51*second, func() { sim.CrashAll(25 * second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}},
	{"05 an isolated leader, cancellations at the new one", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.2, makeLongRunning)
		sim.ScheduleAt(50*second, func() { sim.Inject(simulation.LeaderIsolated, 60*second) })
		sim.ScheduleAt(54*second, func() { sim.CancelRunning(5, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod, simulation.SecondTerm}},
	{"06 failover and back, all crash, one restarts", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 120*second, 0.3, nil)
		for i := range 4 {
			sim.ScheduleAt(time.Duration(30+i*7)*second, func() { sim.CrashLeader(time.Duration(100+seed%7*100) * time.Millisecond) })
		}
		sim.ScheduleAt(65*second, func() { sim.CrashAll(300 * time.Millisecond) })
		sim.ScheduleAt(65*second+400*time.Millisecond, func() { sim.CrashAll(700 * time.Millisecond) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{manySmallJobs, func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 480, 120*second, 0.25, makeShortSingleTask)
		sim.ScheduleAt(50*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(0, func() { sim.CancelAtCompletion(0.1, 120*second) })
	}, []simulation.Observation{simulation.CancelledAtLastTask, simulation.SecondTerm}},
	{"08 executed at once, only the response is lost", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.4, nil)
		sim.ScheduleAt(0, func() { sim.Inject(simulation.WriteResponsesLost, 200*second) })
		sim.ScheduleAt(0, func() { sim.EnableFollowUps(200 * second) })
		sim.ScheduleAt(60*second, func() { sim.Inject(simulation.LeaderStoreUnreachable, 10*second) })
	}, []simulation.Observation{simulation.WriteResponseLost, simulation.FollowUpQuery, simulation.CancellationConfirmed}},
	{"09 tasks of one job complete at different times", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 100*second, 0.2, func(rng *rand.Rand, j *wire.Job) {
			j.Tasks, j.SpreadZones, j.EstimateS = 2+rng.IntN(2), false, 5+60*rng.Float64()
		})
		for _, at := range []time.Duration{30, 60, 90, 120} {
			sim.ScheduleAt(at*second, func() { sim.CrashLeader(second) })
		}
	}, []simulation.Observation{simulation.SecondTerm}},
	{"10 a slow store, then an outage after cancellations", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.3, makeLongRunning)
		sim.ScheduleAt(30*second, func() { sim.Inject(simulation.StoreSlow, 25*second) })
		sim.ScheduleAt(40*second, func() { sim.EnableFollowUps(60 * second) })
		sim.ScheduleAt(60*second, func() { sim.Inject(simulation.OutageAfterCancellation, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod}},
	{"11 a heartbeat is delayed until a new leader has acted", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.2, nil)
		sim.ScheduleAt(20*second, func() { sim.Inject(simulation.HeartbeatsReplayedToNextLeader, 100*second) })
		sim.ScheduleAt(50*second, func() { sim.Inject(simulation.HeartbeatsDuplicated, 60*second) })
		sim.ScheduleAt(60*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(90*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.DuplicateHeartbeatApplied, simulation.SecondTerm}},
	{"12 a transaction is executed after newer ones", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.3, nil)
		sim.ScheduleAt(0, func() { sim.Inject(simulation.WritesDelayed, 200*second) })
		sim.ScheduleAt(70*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.DelayedTransaction, simulation.CancellationConfirmed}},
	{"13 an old heartbeat reaches every controller as a term starts", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 150*second, 0.2, nil)
		sim.ScheduleAt(10*second, func() { sim.Inject(simulation.HeartbeatsReplayedToNextLeader, 150*second) })
		for _, at := range []time.Duration{40, 70, 73, 110} {
			sim.ScheduleAt(at*second, func() { sim.CrashLeader(second / 2) })
		}
		sim.ScheduleAt(80*second, func() { sim.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned) })
	}, []simulation.Observation{simulation.DuplicateHeartbeatApplied, simulation.SecondTerm}},
	{"14 a cancellation meets the end of the last task", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 40, 150*second, 0, nil)
		sim.ScheduleAt(0, func() { sim.CancelAtCompletion(0.7, 300*second) })
		sim.ScheduleAt(0, func() { sim.EnableFollowUps(300 * second) })
		sim.ScheduleAt(0, func() { sim.SendInvalidRequests(200 * second) })
	}, []simulation.Observation{simulation.CancelledAtLastTask, simulation.FollowUpQuery, simulation.InvalidRequest}},
	{"15 agents without heartbeats that direct calls reach", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 150*second, 0.3, nil)
		sim.InjectFaults(simulation.MachineHeartbeatsLost, simulation.MachineHeartbeatsLost, simulation.RunningJobsCancelled)
	}, []simulation.Observation{simulation.HeartbeatLost}},
	{"16 cancelled as the store refuses the leader alone", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 100*second, 0, makeLongRunning)
		sim.ScheduleAt(60*second, func() { sim.Inject(simulation.StoreRefusesLeader, 14*second) })
		// Jobs are cancelled before the leader notices that the store refuses its requests, and
		// again when the next leader has been elected.
		sim.ScheduleAt(60*second-time.Duration(seed%4)*50*time.Millisecond, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(62*second+time.Duration(seed%5)*100*time.Millisecond, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(63*second, func() { sim.Inject(simulation.StoreOutage, 65*second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod}},
	{"17 more work than capacity over slow links", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 45, 100*second, 0.2, nil)
		sim.ScheduleAt(20*second, func() { sim.SlowDownLinks(120 * second) })
		sim.ScheduleAt(60*second, func() { sim.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"18 a zone with agents and a controller is partitioned", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.2, makeLongRunning)
		sim.ScheduleAt(50*second, func() { sim.Inject(simulation.ZonePartitioned, 40*second) })
		sim.ScheduleAt(55*second, func() { sim.CancelRunning(4, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning}},
	{"19 fast boots, slow writes, the leader crashes", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 60*second, 0.2, nil)
		sim.ScheduleAt(0, func() { sim.Inject(simulation.FastBoots, 200*second) })
		sim.ScheduleAt(10*second, func() { sim.Inject(simulation.StoreSlow, 60*second) })
		for i := range 6 {
			sim.ScheduleAt(time.Duration(15+9*i)*second+time.Duration(seed%9)*second, func() { sim.CrashLeader(second / 2) })
		}
	}, []simulation.Observation{simulation.SecondTerm}},
	{"20 jobs of one zone lose machines", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 120*second, 0.1, func(rng *rand.Rand, j *wire.Job) {
			j.OneZone, j.SpreadZones = rng.IntN(2) == 0, false
			if !j.OneZone {
				j.Zone = []string{"a", "b"}[rng.IntN(2)]
			}
		})
		sim.InjectFaults(simulation.MachineFails, simulation.SpotReclaimed, simulation.MachineFails, simulation.ZonePartitioned)
	}, []simulation.Observation{simulation.TermStarted}},
	{"21 cancellations during failovers", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 40, 120*second, 0.1, nil)
		for i := range 5 {
			at := time.Duration(30+15*i) * second
			sim.ScheduleAt(at, func() { sim.CrashLeader(second / 2) })
			for k := range 4 {
				sim.ScheduleAt(at+time.Duration(k)*700*time.Millisecond-300*time.Millisecond, func() { sim.CancelRunning(1, 0) })
			}
		}
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}},
	{"22 the leader crashes, machines with long tasks are partitioned", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 100*second, 0, makeLongRunning)
		sim.ScheduleAt(60*second, func() { sim.PartitionBusyMachines(0.3, 40*second) })
		sim.ScheduleAt(60*second, func() { sim.LoseResponsesToBusyMachines(0.3, 60*second) })
		sim.ScheduleAt(61*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(66*second, func() { sim.CancelRunning(4, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.BusyMachineResponsesLost, simulation.SecondTerm}},
	{"23 a team at its limit, machines that can't be asked, a new leader", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 60*second, 0, exceedTeamLimits)
		sim.ScheduleAt(60*second, func() { sim.PartitionBusyMachines(0.4, 25*second) })
		sim.ScheduleAt(62*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(65*second, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(70*second, func() { sim.CancelRunning(3, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.SecondTerm}},
	{"24 ten leaders in two minutes, also within an outage", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 25, 150*second, 0.3, nil)
		sim.ScheduleAt(30*second, func() { sim.Inject(simulation.RepeatedFailovers, 0) })
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.StoreOutage, 30*second) })
	}, []simulation.Observation{simulation.FifthTerm, simulation.CancellationConfirmed}},
	{"25 all teams at their limits, cancelled on machines that hang", func(sim *simulation.Simulation, seed uint64) {
		submitRandomJobs(sim, seed, 30, 60*second, 0, exceedTeamLimits)
		sim.ScheduleAt(60*second, func() { sim.CancelRunning(5, 20*second) })
		sim.ScheduleAt(61*second, func() { sim.PartitionBusyMachines(0.4, 30*second) })
		sim.ScheduleAt(62*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(80*second, func() { sim.CancelRunning(5, 12*second) })
		sim.ScheduleAt(81*second, func() { sim.Inject(simulation.LeaderFrozen, 6*second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.SecondTerm}},
}

// TestOverlappingFaults: the invariants hold during the combinations of faults that operators have
// listed, and every job that was not cancelled ends.
func TestOverlappingFaults(t *testing.T) {
	for _, scenario := range overlappingFaults {
		t.Run(scenario.name, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				p := defaultParams()
				if scenario.name == manySmallJobs {
					p.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 48}, {Name: "green", CPUs: 8, CPUsMax: 48}}
				}
				sim := simulation.New(1000+seed, 3+2*int(seed%2), p, machineType)
				sim.FaultRate = 1
				scenario.inject(sim, seed)
				runToEnd(t, sim)
				checkObserved(t, sim, scenario.observed)
			})
		})
	}
}

// outageVariants are faults that overlap with an outage of the key-value store after cancellations.
var outageVariants = []struct {
	name     string
	inject   func(sim *simulation.Simulation)
	observed []simulation.Observation
}{
	{"refused", func(sim *simulation.Simulation) {
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.OutageAfterCancellation, 0) })
	}, []simulation.Observation{simulation.HeartbeatInGracePeriod, simulation.SecondTerm}},
	{"isolated, responses to machines lost", func(sim *simulation.Simulation) {
		sim.ScheduleAt(66*second, func() { sim.LoseResponsesToBusyMachines(0.3, 60*second) })
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.LeaderIsolated, 60*second) })
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.OutageAfterCancellation, 0) })
	}, []simulation.Observation{simulation.BusyMachineResponsesLost, simulation.SecondTerm}},
	{"frozen, machines hang", func(sim *simulation.Simulation) {
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.LeaderFrozen, 14*second) })
		sim.ScheduleAt(74*second, func() { sim.CancelRunning(4, 12*second) })
		sim.ScheduleAt(75*second, func() { sim.Inject(simulation.StoreOutage, 65*second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"restarted at once", func(sim *simulation.Simulation) {
		sim.ScheduleAt(70*second, func() { sim.Inject(simulation.StoreRefusesLeader, 4*second) })
		sim.ScheduleAt(73*second, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(73*second+300*time.Millisecond, func() { sim.CrashLeader(200 * time.Millisecond) })
		sim.ScheduleAt(75*second, func() { sim.CancelRunning(3, 0) })
		sim.ScheduleAt(76*second, func() { sim.Inject(simulation.StoreOutage, 65*second) })
	}, []simulation.Observation{simulation.SecondTerm}},
}

// TestOutageAfterCancellation: a deposed leader that responds to heartbeats for too long keeps
// cancelled tasks running. The key-value store refuses the leader alone, the next leader confirms
// cancellations, and then the store is down for all controllers, for longer than the cancellation
// deadline, while agents send their heartbeats to the old leader. The tasks must stop in time for
// every grace period that results from the cancellation deadline. In the variants, the leader is
// isolated, frozen or, together with the next leader, restarted within a fraction of a second, and
// machines hang or get no responses. One seed uses jobs of one task.
func TestOutageAfterCancellation(t *testing.T) {
	for _, cancelDeadlineS := range []float64{45, 32, 21, 18} {
		for _, v := range outageVariants {
			t.Run(fmt.Sprintf("cancel_s=%v, %s", cancelDeadlineS, v.name), func(t *testing.T) {
				forEachSeed(t, 3, func(t *testing.T, seed uint64) {
					p := defaultParams()
					p.Workers.CancelDeadlineS = cancelDeadlineS
					sim := simulation.New(2000+seed, 3, p, machineType)
					modify := makeLongRunning
					if seed == 2 {
						modify = func(rng *rand.Rand, j *wire.Job) { makeShortSingleTask(rng, j); makeLongRunning(rng, j) }
					}
					submitRandomJobs(sim, seed, 25, 60*second, 0, modify)
					v.inject(sim)
					runToEnd(t, sim)
					observed := append([]simulation.Observation{simulation.CancelledWhileRunning, simulation.CancellationConfirmed}, v.observed...)
					if leader.GracePeriod(p.Workers) < 5*second && v.observed[0] == simulation.HeartbeatInGracePeriod {
						observed = append(observed[:2], v.observed[1:]...) // the grace period is too short to expect a heartbeat in it
					}
					checkObserved(t, sim, observed)
				})
			})
		}
	}
}
