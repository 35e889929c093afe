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

// playRandomFaults runs one seeded day with faults of the given kinds, or of all, and
// returns the world.
func playRandomFaults(t *testing.T, seed uint64, roughness float64, kinds ...simulation.Fault) *simulation.Simulation {
	t.Helper()
	w := simulation.New(seed, 3+2*int(seed%2), params(), machineType)
	w.FaultRate = roughness
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range 25 {
		cancel := time.Duration(0)
		if rng.IntN(4) == 0 {
			cancel = time.Duration(1+rng.IntN(60)) * time.Second
		}
		w.Submit(time.Duration(rng.IntN(200_000))*time.Millisecond, drawJob(rng, i), cancel)
	}
	w.InjectFaults(kinds...)
	return runToEnd(t, w)
}

// runToEnd plays a day to its end. A rule that breaks, a job that doesn't end once it
// is calm, and one about which questions go unanswered fail the test.
func runToEnd(t *testing.T, w *simulation.Simulation) *simulation.Simulation {
	t.Helper()
	err := w.Run(1800*time.Second, 300*time.Second)
	logDigest(t, w)
	if err != nil {
		t.Fatal(err)
	}
	if left := w.Invariants.Unfinished(); len(left) > 0 {
		t.Fatalf("not done: %v", left)
	}
	if w.Invariants.StartCount() == 0 {
		t.Fatal("nothing ran")
	}
	return w
}

// eachSeed plays several seeds side by side.
func eachSeed(t *testing.T, count uint64, play func(t *testing.T, seed uint64)) {
	for seed := range count {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// TestNoFaults: without faults every job ends and no rule is broken.
func TestNoFaults(t *testing.T) {
	eachSeed(t, 6, func(t *testing.T, seed uint64) { playRandomFaults(t, seed, 0) })
}

// TestRandomFaults: all kinds of fault, alone and overlapping.
func TestRandomFaults(t *testing.T) {
	eachSeed(t, 60, func(t *testing.T, seed uint64) { playRandomFaults(t, 100+seed, 1+float64(seed%3)) })
}

// TestSingleFaultKinds: the faults that the users named last, each often and
// alone, so that a safeguard against it can't hide behind that against another.
func TestSingleFaultKinds(t *testing.T) {
	for name, kinds := range map[string][]simulation.Fault{
		"isolated leader": {simulation.LeaderIsolated},
		"frozen leader":   {simulation.LeaderFrozen, simulation.StoreSlow},
		"zones cut off":   {simulation.ZonePartitioned, simulation.NodeCrash},
		"deaf machines":   {simulation.MachineResponsesLost},
		"new workers":     {simulation.AgentReplaced, simulation.MachinePartitioned},
		"flapping nodes":  {simulation.NodesFlap, simulation.AllNodesCrash},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 8, func(t *testing.T, seed uint64) { playRandomFaults(t, 500+seed, 2, kinds...) })
		})
	}
}
