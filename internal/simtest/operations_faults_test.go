package simtest_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simtest"
	"switchshore.example/switchshore/wire"
)

// operationsFaults are faults that operators have reported from production: controllers silent for a minute or more,
// or standing still while their clocks go on; machines that come up late or never;
// users who ask many times as often; a guest team without guarantee and limit, with a
// huge array, many tiny jobs and idle work; jobs that fail on every machine.
var operationsFaults = []faultScenario{
	{"controllers silent for a minute", func(w *simtest.World, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0.3, nil)
		w.At(40*second, func() { w.FollowUps(150 * second) })
		w.At(60*second, func() { w.CrashAll(70 * second) })
	}, []simtest.Observation{simtest.SecondTerm, simtest.FollowUpQuery}},
	{"a leader stands still", func(w *simtest.World, seed uint64) {
		submitRandomJobs(w, seed, 30, 150*second, 0.3, nil)
		w.At(30*second, func() { w.FollowUps(200 * second) })
		for i, span := range []time.Duration{2, 35, 11, 4} {
			w.At(time.Duration(40+40*i)*second, func() { w.Inject(simtest.LeaderFrozen, span*second) })
			w.At(time.Duration(40+40*i)*second, func() { w.CancelRunning(2, 0) })
		}
	}, []simtest.Observation{simtest.SecondTerm, simtest.FollowUpQuery, simtest.CancelledWhileRunning}},
	{"machines late or never up", func(w *simtest.World, seed uint64) {
		submitRandomJobs(w, seed, 30, 120*second, 0.1, nil)
		w.At(0, func() { w.BootTrouble(150 * second) })
		w.At(50*second, func() { w.CrashLeader(second) })
	}, []simtest.Observation{simtest.SecondTerm}},
	{"a storm of questions", func(w *simtest.World, seed uint64) {
		submitRandomJobs(w, seed, 30, 120*second, 0.2, nil)
		w.At(30*second, func() { w.PollStorm(120 * second) })
		w.At(60*second, func() { w.CrashLeader(second) })
	}, []simtest.Observation{simtest.SecondTerm, simtest.StormPoll}},
	{"guests", func(w *simtest.World, seed uint64) {
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
	}, []simtest.Observation{simtest.SecondTerm}},
	{"jobs that fail on every machine", func(w *simtest.World, seed uint64) {
		submitRandomJobs(w, seed, 25, 120*second, 0, nil)
		rng := rand.New(rand.NewPCG(seed, 7))
		for i := range 6 {
			j := drawJob(rng, 500+i)
			w.FailEverywhere(j)
			w.Submit(time.Duration(rng.IntN(60_000))*time.Millisecond, j, 250*second)
		}
		w.At(60*second, func() { w.CrashLeader(second) })
	}, []simtest.Observation{simtest.SecondTerm, simtest.CancellationConfirmed}},
}

// TestOperationsFaults: the rules hold, no job waits where it could start, and all that was
// not cancelled ends.
func TestOperationsFaults(t *testing.T) {
	for _, n := range operationsFaults {
		t.Run(n.name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				p := params()
				p.Teams = append(p.Teams, config.Team{Name: "guests"})
				w := simtest.NewWorld(3000+seed, 3+2*int(seed%2), p, machineType)
				w.FaultRate = 1
				n.inject(w, seed)
				runToEnd(t, w)
				checkObserved(t, w, n.observed)
			})
		})
	}
}
