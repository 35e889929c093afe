package simulation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

const second = time.Second

var machineType = wire.MachineType{
	Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 0.5, CacheGB: 20,
	Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a", "b"},
}

// defaultParams returns the settings of most runs.
func defaultParams() config.Params {
	return config.Params{
		Teams: []config.Team{
			{Name: "blue", CPUs: 16, CPUsMax: 24},
			{Name: "green", CPUs: 8, CPUsMax: 12},
		},
		Workers: config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, CancelDeadlineS: 45},
		KVStore: config.KVStoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 48},
		Cloud:   config.CloudLimits{RPS: 5, ListLagS: 4},
	}
}

// drawJob returns a random job that the protocol allows.
func drawJob(rng *rand.Rand, number int) *wire.Job {
	j := &wire.Job{
		ID: fmt.Sprintf("job-%06d", number), Class: "c", Team: "blue", Kind: wire.KindArray,
		Priority: []string{wire.PriorityCritical, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityIdle}[rng.IntN(4)],
		Tasks:    1 + rng.IntN(9), CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(1 + rng.IntN(8)),
		Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: rng.Float64() * 2,
		Spot: rng.IntN(3) > 0, OneZone: rng.IntN(4) == 0, EstimateS: 2 + 20*rng.Float64(),
	}
	if rng.IntN(8) == 0 {
		j.EstimateS = 90 // longer than the cancellation deadline
	}
	if rng.IntN(2) == 0 {
		j.Team = "green"
	}
	if rng.IntN(2) == 0 {
		j.CheckpointIntervalS, j.CheckpointSaveS = 5, 2
	}
	if rng.IntN(5) == 0 {
		j.Zone = "b"
	} else if !j.OneZone && rng.IntN(4) == 0 {
		j.SpreadZones = true
	}
	return j
}

// submitRandomJobs submits random jobs at random times within submitSpan, and cancels a share of
// them within a minute of their submission. modify, if set, changes each job first.
func submitRandomJobs(sim *simulation.Simulation, seed uint64, count int, submitSpan time.Duration, cancelShare float64, modify func(*rand.Rand, *wire.Job)) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for i := range count {
		j := drawJob(rng, i)
		if modify != nil {
			modify(rng, j)
		}
		cancel := time.Duration(0)
		if rng.Float64() < cancelShare {
			cancel = time.Duration(1+rng.IntN(60_000)) * time.Millisecond
		}
		sim.Submit(time.Duration(rng.Int64N(int64(submitSpan))), j, cancel)
	}
}

// makeLongRunning makes each task run for longer than the cancellation deadline.
func makeLongRunning(rng *rand.Rand, j *wire.Job) { j.EstimateS = 70 + 40*rng.Float64() }

// makeShortSingleTask gives a job a single task that runs for a few seconds.
func makeShortSingleTask(rng *rand.Rand, j *wire.Job) {
	j.Tasks, j.CPUs, j.MemoryGB, j.ImageGB = 1, 1, 1, 0.2
	j.EstimateS = 1 + 3*rng.Float64()
	j.OneZone, j.SpreadZones = false, false
}

// exceedTeamLimits gives a job so many tasks that a few such jobs need more CPUs than the limit of
// their team.
func exceedTeamLimits(rng *rand.Rand, j *wire.Job) {
	j.Tasks, j.CPUs = 6+rng.IntN(6), 2
	j.EstimateS = 20 + 40*rng.Float64()
	j.OneZone, j.SpreadZones, j.Zone = false, false, ""
}

// runToEnd runs a simulation to its end. It fails the test if an invariant is violated, if an
// accepted job does not end or if no task starts.
func runToEnd(t *testing.T, sim *simulation.Simulation) *simulation.Simulation {
	t.Helper()
	err := sim.Run(1800*time.Second, 300*time.Second)
	appendDigest(t, sim)
	if err != nil {
		t.Fatal(err)
	}
	if unfinished := sim.Invariants.UnfinishedJobs(); len(unfinished) > 0 {
		t.Fatalf("got unfinished jobs %v at the end of the run, want none", unfinished)
	}
	if sim.Invariants.StartCount() == 0 {
		t.Fatal("no task started, want at least one start")
	}
	return sim
}

// forEachSeed runs a parallel subtest for each seed from 0 to count-1. The test itself also runs in
// parallel with others that call forEachSeed.
func forEachSeed(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Parallel()
	for seed := range count {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// Seeds that replace a seed whose run does not make the required observations.
const (
	maxSeedsTried  = 5
	seedReplaceGap = 100 // between a seed and the one that replaces it
)

// runUntilObserved calls run with the seed. If the run does not make all of the observations, it calls
// run with further seeds, and fails the test if none of the runs makes them. Every run is checked in
// full, and one of them makes the observations.
func runUntilObserved(t *testing.T, seed uint64, observed []simulation.Observation, run func(seed uint64) *simulation.Simulation) {
	t.Helper()
	for range maxSeedsTried - 1 {
		if sim := run(seed); len(missingObservations(sim, observed)) == 0 {
			return
		}
		seed += seedReplaceGap
	}
	checkObserved(t, run(seed), observed)
}

// checkObserved fails the test unless each of the observations was made at least once. A run in
// which the tested fault did not occur proves nothing.
func checkObserved(t *testing.T, sim *simulation.Simulation, observed []simulation.Observation) {
	t.Helper()
	for _, observation := range missingObservations(sim, observed) {
		t.Errorf("observation %q was not made, want at least once; got %v", observation, sim.Observed)
	}
}

// missingObservations returns those of the observations that a run has not made.
func missingObservations(sim *simulation.Simulation, observed []simulation.Observation) []simulation.Observation {
	sim.Observed[simulation.CancellationConfirmed] = sim.Invariants.CancelledCount()
	sim.Observed[simulation.SecondTerm] = max(0, sim.Observed[simulation.TermStarted]-1)
	sim.Observed[simulation.FifthTerm] = max(0, sim.Observed[simulation.TermStarted]-4)
	return slices.DeleteFunc(slices.Clone(observed), func(o simulation.Observation) bool { return sim.Observed[o] > 0 })
}
