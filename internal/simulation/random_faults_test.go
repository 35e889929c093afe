package simulation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

var machineType = wire.MachineType{
	Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 0.5, CacheGB: 20,
	Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a", "b"},
}

func params() config.Params {
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

// drawJob draws a job of any shape the protocol allows.
func drawJob(rng *rand.Rand, number int) *wire.Job {
	j := &wire.Job{
		ID: fmt.Sprintf("job-%06d", number), Class: "c", Team: "blue", Kind: wire.KindArray,
		Priority: []string{wire.PriorityCritical, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityIdle}[rng.IntN(4)],
		Tasks:    1 + rng.IntN(9), CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(1 + rng.IntN(8)),
		Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: rng.Float64() * 2,
		Spot: rng.IntN(3) > 0, OneZone: rng.IntN(4) == 0, EstimateS: 2 + 20*rng.Float64(),
	}
	if rng.IntN(8) == 0 {
		j.EstimateS = 90 // longer than a cancellation may take
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

// runRandomFaults runs a seeded simulation with faults of the given kinds, or of all.
func runRandomFaults(t *testing.T, seed uint64, faultRate float64, kinds ...simulation.Fault) *simulation.Simulation {
	t.Helper()
	sim := simulation.New(seed, 3+2*int(seed%2), params(), machineType)
	sim.FaultRate = faultRate
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range 25 {
		cancel := time.Duration(0)
		if rng.IntN(4) == 0 {
			cancel = time.Duration(1+rng.IntN(60)) * time.Second
		}
		sim.Submit(time.Duration(rng.IntN(200_000))*time.Millisecond, drawJob(rng, i), cancel)
	}
	sim.InjectFaults(kinds...)
	return runToEnd(t, sim)
}

// runToEnd runs a simulation to its end. The test fails if an invariant is violated, if a job does
// not end once faults are over, or if requests about one go unanswered.
func runToEnd(t *testing.T, sim *simulation.Simulation) *simulation.Simulation {
	t.Helper()
	err := sim.Run(1800*time.Second, 300*time.Second)
	logDigest(t, sim)
	if err != nil {
		t.Fatal(err)
	}
	if left := sim.Invariants.Unfinished(); len(left) > 0 {
		t.Fatalf("jobs did not end: %v", left)
	}
	if sim.Invariants.StartCount() == 0 {
		t.Fatal("no task was started")
	}
	return sim
}

// eachSeed runs a test with several seeds in parallel.
func eachSeed(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	for seed := range count {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// TestNoFaults: without faults every job ends and no invariant is violated.
func TestNoFaults(t *testing.T) {
	eachSeed(t, 6, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, 0) })
}

// TestRandomFaults: all kinds of fault, alone and overlapping.
func TestRandomFaults(t *testing.T) {
	eachSeed(t, 60, func(t *testing.T, seed uint64) { runRandomFaults(t, 100+seed, 1+float64(seed%3)) })
}

// TestSingleFaultKinds: single kinds of fault, each often and alone, so that a safeguard against one
// can't hide behind that against another.
func TestSingleFaultKinds(t *testing.T) {
	for name, kinds := range map[string][]simulation.Fault{
		"isolated leader":   {simulation.LeaderIsolated},
		"frozen leader":     {simulation.LeaderFrozen, simulation.StoreSlow},
		"partitioned zones": {simulation.ZonePartitioned, simulation.NodeCrash},
		"responses lost":    {simulation.MachineResponsesLost},
		"replaced agents":   {simulation.AgentReplaced, simulation.MachinePartitioned},
		"flapping nodes":    {simulation.NodesFlap, simulation.AllNodesCrash},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 8, func(t *testing.T, seed uint64) { runRandomFaults(t, 500+seed, 2, kinds...) })
		})
	}
}
