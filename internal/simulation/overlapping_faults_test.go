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

const second = time.Second

// submitRandomJobs submits jobs of any shape, a share of them cancelled within a minute.
func submitRandomJobs(w *simulation.Simulation, seed uint64, count int, over time.Duration, cancelled float64, shape func(*rand.Rand, *wire.Job)) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for i := range count {
		j := drawJob(rng, i)
		if shape != nil {
			shape(rng, j)
		}
		cancel := time.Duration(0)
		if rng.Float64() < cancelled {
			cancel = time.Duration(1+rng.IntN(60_000)) * time.Millisecond
		}
		w.Submit(time.Duration(rng.Int64N(int64(over))), j, cancel)
	}
}

// longRunning makes jobs run for longer than a cancellation may take.
func longRunning(rng *rand.Rand, j *wire.Job) { j.EstimateS = 70 + 40*rng.Float64() }

// shortSingleTask makes jobs of one task that runs for a moment.
func shortSingleTask(rng *rand.Rand, j *wire.Job) {
	j.Tasks, j.CPUs, j.MemoryGB, j.ImageGB = 1, 1, 1, 0.2
	j.EstimateS = 1 + 3*rng.Float64()
	j.OneZone, j.SpreadZones = false, false
}

// atTeamLimit makes the teams' limits what holds work back: far more of it than they allow.
func atTeamLimit(rng *rand.Rand, j *wire.Job) {
	j.Tasks, j.CPUs = 6+rng.IntN(6), 2
	j.EstimateS = 20 + 40*rng.Float64()
	j.OneZone, j.SpreadZones, j.Zone = false, false, ""
}

// overlap of faults is a day on which some faults meet.
type faultScenario struct {
	name     string
	inject   func(w *simulation.Simulation, seed uint64)
	observed []simulation.Observation // what must have happened for the day to count
}

// overlapping faults are those that the operators named, in the order of docs/overlapping faults.md.
// Where the order of two moments decides, the seeds draw it.
var overlappingFaults = []faultScenario{
	{"01 everybody asks at every news", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 40, 120*second, 0.3, nil)
		w.At(0, func() { w.EnableFollowUps(200 * second) })
		w.At(60*second, func() { w.CrashLeader(second / 2) })
	}, []simulation.Observation{simulation.FollowUpQuery, simulation.CancellationConfirmed}},
	{"02 an old report after newer ones", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 150*second, 0.2, nil)
		w.At(0, func() { w.Inject(simulation.HeartbeatsDuplicated, 200*second) })
		w.At(20*second, func() {
			w.InjectFaults(simulation.MachinePartitioned, simulation.MachineHangs, simulation.MachineResponsesLost)
		})
	}, []simulation.Observation{simulation.StaleHeartbeatIgnored}},
	{"03 a command is held up and the machine goes on", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 150*second, 0.4, nil)
		w.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned, simulation.RunningJobsCancelled)
	}, []simulation.Observation{simulation.CancelledWhileRunning}},
	{"04 all controllers away for longer than a lease", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.3, longRunning)
		w.At(50*second, func() { w.CancelRunning(3, 0) })
		w.At(51*second, func() { w.CrashAll(25 * second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}},
	{"05 an isolated leader, cancellations at the new one", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.2, longRunning)
		w.At(50*second, func() { w.Inject(simulation.LeaderIsolated, 60*second) })
		w.At(54*second, func() { w.CancelRunning(5, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod, simulation.SecondTerm}},
	{"06 handing over and back, all end, one returns", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 120*second, 0.3, nil)
		for i := range 4 {
			w.At(time.Duration(30+i*7)*second, func() { w.CrashLeader(time.Duration(100+seed%7*100) * time.Millisecond) })
		}
		w.At(65*second, func() { w.CrashAll(300 * time.Millisecond) })
		w.At(65*second+400*time.Millisecond, func() { w.CrashAll(700 * time.Millisecond) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"07 one-task jobs, four a second", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 480, 120*second, 0.25, shortSingleTask)
		w.At(50*second, func() { w.CrashLeader(second) })
		w.At(0, func() { w.CancelAtCompletion(0.1, 120*second) })
	}, []simulation.Observation{simulation.CancelledAtLastTask, simulation.SecondTerm}},
	{"08 carried out at once, only the answer is lost", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.4, nil)
		w.At(0, func() { w.Inject(simulation.WriteResponsesLost, 200*second) })
		w.At(0, func() { w.EnableFollowUps(200 * second) })
		w.At(60*second, func() { w.Inject(simulation.LeaderStoreUnreachable, 10*second) })
	}, []simulation.Observation{simulation.WriteResponseLost, simulation.FollowUpQuery, simulation.CancellationConfirmed}},
	{"09 jobs of two or three tasks end far apart", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 100*second, 0.2, func(rng *rand.Rand, j *wire.Job) {
			j.Tasks, j.SpreadZones, j.EstimateS = 2+rng.IntN(2), false, 5+60*rng.Float64()
		})
		for _, at := range []time.Duration{30, 60, 90, 120} {
			w.At(at*second, func() { w.CrashLeader(second) })
		}
	}, []simulation.Observation{simulation.SecondTerm}},
	{"10 a slow state service, then the gap", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.3, longRunning)
		w.At(30*second, func() { w.Inject(simulation.StoreSlow, 25*second) })
		w.At(40*second, func() { w.EnableFollowUps(60 * second) })
		w.At(60*second, func() { w.Inject(simulation.OutageAfterCancellation, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod}},
	{"11 a report is held back until a new leader has acted", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.2, nil)
		w.At(20*second, func() { w.Inject(simulation.HeartbeatsReplayedToNextLeader, 100*second) })
		w.At(50*second, func() { w.Inject(simulation.HeartbeatsDuplicated, 60*second) })
		w.At(60*second, func() { w.CrashLeader(second) })
		w.At(90*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.DuplicateHeartbeatApplied, simulation.SecondTerm}},
	{"12 a transaction is carried out after newer ones", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.3, nil)
		w.At(0, func() { w.Inject(simulation.WritesDelayed, 200*second) })
		w.At(70*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.DelayedTransaction, simulation.CancellationConfirmed}},
	{"13 an old report reaches every controller as a leader begins", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.2, nil)
		w.At(10*second, func() { w.Inject(simulation.HeartbeatsReplayedToNextLeader, 150*second) })
		for _, at := range []time.Duration{40, 70, 73, 110} {
			w.At(at*second, func() { w.CrashLeader(second / 2) })
		}
		w.At(80*second, func() { w.InjectFaults(simulation.MachineHangs, simulation.MachinePartitioned) })
	}, []simulation.Observation{simulation.DuplicateHeartbeatApplied, simulation.SecondTerm}},
	{"14 a cancellation meets the end of the last task", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 40, 150*second, 0, nil)
		w.At(0, func() { w.CancelAtCompletion(0.7, 300*second) })
		w.At(0, func() { w.EnableFollowUps(300 * second) })
		w.At(0, func() { w.InvalidRequests(200 * second) })
	}, []simulation.Observation{simulation.CancelledAtLastTask, simulation.FollowUpQuery, simulation.InvalidRequest}},
	{"15 mute workers that direct commands reach", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 150*second, 0.3, nil)
		w.InjectFaults(simulation.MachineHeartbeatsLost, simulation.MachineHeartbeatsLost, simulation.RunningJobsCancelled)
	}, []simulation.Observation{simulation.HeartbeatLost}},
	{"16 cancelled as the state service refuses the leader alone", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 100*second, 0, longRunning)
		w.At(60*second, func() { w.Inject(simulation.StoreRefusesLeader, 14*second) })
		// Before the refusal is felt, and once the next leader is there.
		w.At(60*second-time.Duration(seed%4)*50*time.Millisecond, func() { w.CancelRunning(3, 0) })
		w.At(62*second+time.Duration(seed%5)*100*time.Millisecond, func() { w.CancelRunning(3, 0) })
		w.At(63*second, func() { w.Inject(simulation.StoreOutage, 65*second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.HeartbeatInGracePeriod}},
	{"17 more work than room over slow links", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 45, 100*second, 0.2, nil)
		w.At(20*second, func() { w.SlowLinks(120 * second) })
		w.At(60*second, func() { w.CrashLeader(second) })
	}, []simulation.Observation{simulation.SecondTerm}},
	{"18 a zone with workers and a controller is cut off", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.2, longRunning)
		w.At(50*second, func() { w.Inject(simulation.ZonePartitioned, 40*second) })
		w.At(55*second, func() { w.CancelRunning(4, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning}},
	{"19 machines up at once, writes lag, the leader ends", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 60*second, 0.2, nil)
		w.At(0, func() { w.Inject(simulation.FastBoots, 200*second) })
		w.At(10*second, func() { w.Inject(simulation.StoreSlow, 60*second) })
		for i := range 6 {
			w.At(time.Duration(15+9*i)*second+time.Duration(seed%9)*second, func() { w.CrashLeader(second / 2) })
		}
	}, []simulation.Observation{simulation.SecondTerm}},
	{"20 jobs of one zone lose machines", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.1, func(rng *rand.Rand, j *wire.Job) {
			j.OneZone, j.SpreadZones = rng.IntN(2) == 0, false
			if !j.OneZone {
				j.Zone = []string{"a", "b"}[rng.IntN(2)]
			}
		})
		w.InjectFaults(simulation.MachineDies, simulation.SpotReclaimed, simulation.MachineDies, simulation.ZonePartitioned)
	}, []simulation.Observation{simulation.TermStarted}},
	{"21 cancelled while the work changes hands", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 40, 120*second, 0.1, nil)
		for i := range 5 {
			at := time.Duration(30+15*i) * second
			w.At(at, func() { w.CrashLeader(second / 2) })
			for k := range 4 {
				w.At(at+time.Duration(k)*700*time.Millisecond-300*time.Millisecond, func() { w.CancelRunning(1, 0) })
			}
		}
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.SecondTerm}},
	{"22 the leader ends, machines with long tasks can't be reached", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 100*second, 0, longRunning)
		w.At(60*second, func() { w.PartitionBusyMachines(0.3, 40*second) })
		w.At(60*second, func() { w.LoseResponsesToBusyMachines(0.3, 60*second) })
		w.At(61*second, func() { w.CrashLeader(second) })
		w.At(66*second, func() { w.CancelRunning(4, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.BusyMachineResponsesLost, simulation.SecondTerm}},
	{"23 a team at its limit, machines that can't be asked, a new leader", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 60*second, 0, atTeamLimit)
		w.At(60*second, func() { w.PartitionBusyMachines(0.4, 25*second) })
		w.At(62*second, func() { w.CrashLeader(second) })
		w.At(65*second, func() { w.CancelRunning(3, 0) })
		w.At(70*second, func() { w.CancelRunning(3, 0) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.SecondTerm}},
	{"24 ten leaders in two minutes, also within an outage", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 25, 150*second, 0.3, nil)
		w.At(30*second, func() { w.Inject(simulation.RepeatedFailovers, 0) })
		w.At(70*second, func() { w.Inject(simulation.StoreOutage, 30*second) })
	}, []simulation.Observation{simulation.FifthTerm, simulation.CancellationConfirmed}},
	{"25 all teams at their limits, cancelled on machines that hang", func(w *simulation.Simulation, seed uint64) {
		submitRandomJobs(w, seed, 30, 60*second, 0, atTeamLimit)
		w.At(60*second, func() { w.CancelRunning(5, 20*second) })
		w.At(61*second, func() { w.PartitionBusyMachines(0.4, 30*second) })
		w.At(62*second, func() { w.CrashLeader(second) })
		w.At(80*second, func() { w.CancelRunning(5, 12*second) })
		w.At(81*second, func() { w.Inject(simulation.LeaderFrozen, 6*second) })
	}, []simulation.Observation{simulation.CancelledWhileRunning, simulation.BusyMachinePartitioned, simulation.SecondTerm}},
}

// TestOverlappingFaults: the rules hold wherever two of the faults that the operators
// named meet.
func TestOverlappingFaults(t *testing.T) {
	for _, m := range overlappingFaults {
		t.Run(m.name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				p := params()
				if m.name[:2] == "07" {
					p.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 48}, {Name: "green", CPUs: 8, CPUsMax: 48}}
				}
				w := simulation.New(1000+seed, 3+2*int(seed%2), p, machineType)
				w.FaultRate = 1
				m.inject(w, seed)
				runToEnd(t, w)
				checkObserved(t, w, m.observed)
			})
		})
	}
}

// checkObserved fails the test unless all of it has happened.
func checkObserved(t *testing.T, w *simulation.Simulation, met []simulation.Observation) {
	t.Helper()
	w.Observed[simulation.CancellationConfirmed] = w.Invariants.CancelledCount()
	w.Observed[simulation.SecondTerm] = max(0, w.Observed[simulation.TermStarted]-1)
	w.Observed[simulation.FifthTerm] = max(0, w.Observed[simulation.TermStarted]-4)
	for _, what := range met {
		if w.Observed[what] == 0 {
			t.Errorf("no %s came about: %v", what, w.Observed)
		}
	}
}

// TestOutageAfterCancellation: the state service refuses the leader alone, another controller confirms
// cancellations, and then the state service is down for all, for longer than a
// cancellation may take, while the workers go on reporting to the old leader.
// Whatever room the settings leave for a grace, the tasks are gone in time: with
// machines that hang or lose answers, the leader frozen, isolated or restarted within a
// fraction of a second, the next one ended, too, and jobs of one task.
func TestOutageAfterCancellation(t *testing.T) {
	variants := []struct {
		name string
		day  func(w *simulation.Simulation)
		met  []simulation.Observation
	}{
		{"refused", func(w *simulation.Simulation) {
			w.At(70*second, func() { w.Inject(simulation.OutageAfterCancellation, 0) })
		}, []simulation.Observation{simulation.HeartbeatInGracePeriod, simulation.SecondTerm}},
		{"isolated, machines deaf", func(w *simulation.Simulation) {
			w.At(66*second, func() { w.LoseResponsesToBusyMachines(0.3, 60*second) })
			w.At(70*second, func() { w.Inject(simulation.LeaderIsolated, 60*second) })
			w.At(70*second, func() { w.Inject(simulation.OutageAfterCancellation, 0) })
		}, []simulation.Observation{simulation.BusyMachineResponsesLost, simulation.SecondTerm}},
		{"frozen, machines hang", func(w *simulation.Simulation) {
			w.At(70*second, func() { w.Inject(simulation.LeaderFrozen, 14*second) })
			w.At(74*second, func() { w.CancelRunning(4, 12*second) })
			w.At(75*second, func() { w.Inject(simulation.StoreOutage, 65*second) })
		}, []simulation.Observation{simulation.SecondTerm}},
		{"restarted at once", func(w *simulation.Simulation) {
			w.At(70*second, func() { w.Inject(simulation.StoreRefusesLeader, 4*second) })
			w.At(73*second, func() { w.CancelRunning(3, 0) })
			w.At(73*second+300*time.Millisecond, func() { w.CrashLeader(200 * time.Millisecond) })
			w.At(75*second, func() { w.CancelRunning(3, 0) })
			w.At(76*second, func() { w.Inject(simulation.StoreOutage, 65*second) })
		}, []simulation.Observation{simulation.SecondTerm}},
	}
	for _, cancel := range []float64{45, 32, 21, 18} {
		for _, v := range variants {
			t.Run(fmt.Sprintf("cancel_s=%v, %s", cancel, v.name), func(t *testing.T) {
				eachSeed(t, 3, func(t *testing.T, seed uint64) {
					p := params()
					p.Workers.CancelDeadlineS = cancel
					w := simulation.New(2000+seed, 3, p, machineType)
					shape := longRunning
					if seed == 2 {
						shape = func(rng *rand.Rand, j *wire.Job) { shortSingleTask(rng, j); longRunning(rng, j) }
					}
					submitRandomJobs(w, seed, 25, 60*second, 0, shape)
					v.day(w)
					runToEnd(t, w)
					met := append([]simulation.Observation{simulation.CancelledWhileRunning, simulation.CancellationConfirmed}, v.met...)
					if leader.GracePeriod(p.Workers) < 5*second && v.met[0] == simulation.HeartbeatInGracePeriod {
						met = append(met[:2], v.met[1:]...) // hardly any room for a grace
					}
					checkObserved(t, w, met)
				})
			})
		}
	}
}
