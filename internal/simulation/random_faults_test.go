package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/simulation"
)

// runRandomFaults runs a simulation with random faults of the given kinds, or of all kinds if none
// is given.
func runRandomFaults(t *testing.T, seed uint64, faultRate float64, kinds ...simulation.Fault) *simulation.Simulation {
	t.Helper()
	sim := simulation.New(seed, 3+2*int(seed%2), defaultParams(), machineType)
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

// TestNoFaults: without faults, no invariant is violated and every job ends.
func TestNoFaults(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, 0) })
}

// TestRandomFaults: while faults of all kinds occur, alone and overlapping, no invariant is
// violated and every job ends.
func TestRandomFaults(t *testing.T) {
	forEachSeed(t, 60, func(t *testing.T, seed uint64) { runRandomFaults(t, 100+seed, 1+float64(seed%3)) })
}

// TestSingleFaultKinds: the invariants hold while only one or two kinds of fault occur, but often.
// In a run with all kinds, the protection against one kind of fault may hide that the protection
// against another is missing.
func TestSingleFaultKinds(t *testing.T) {
	for name, c := range map[string]struct {
		kinds    []simulation.Fault
		observed []simulation.Observation // required, see runUntilObserved
	}{
		"isolated leader":   {kinds: []simulation.Fault{simulation.LeaderIsolated}},
		"frozen leader":     {kinds: []simulation.Fault{simulation.LeaderFrozen, simulation.StoreSlow}},
		"partitioned zones": {kinds: []simulation.Fault{simulation.ZonePartitioned, simulation.NodeCrash}},
		"responses lost":    {kinds: []simulation.Fault{simulation.MachineResponsesLost}},
		"replaced agents":   {kinds: []simulation.Fault{simulation.AgentReplaced, simulation.MachinePartitioned}},
		// Guards against ran_twice: a restarted machine's agent executes copies of direct calls to the earlier one.
		"copies to replaced agents": {
			[]simulation.Fault{simulation.AgentReplaced, simulation.DirectCallsDuplicated, simulation.MachineHeartbeatsLost, simulation.FailoversSecondsApart},
			[]simulation.Observation{simulation.DirectCallToNewAgent},
		},
		// Guards against quota: records of starts and completions of leaders that end within seconds.
		"failovers seconds apart": {kinds: []simulation.Fault{simulation.FailoversSecondsApart, simulation.MachineResponsesLost}},
		"flapping nodes":          {kinds: []simulation.Fault{simulation.NodeCrashLoop, simulation.AllNodesCrash}},
		// Guards against ran_twice: an agent executes a copy of a direct call whose tasks it has forgotten.
		"copied direct calls": {
			[]simulation.Fault{simulation.DirectCallsDuplicated, simulation.NodeCrash},
			[]simulation.Observation{simulation.DirectCallRepeated},
		},
		// Guards against stored values that copies of answered transactions set back.
		"copied transactions": {
			[]simulation.Fault{simulation.TransactionsDuplicated, simulation.NodeCrash},
			[]simulation.Observation{simulation.TransactionRepeated},
		},
		// Guards against machines that copies of rentals and releases add or remove.
		"copied cloud calls": {
			[]simulation.Fault{simulation.CloudCallsDuplicated, simulation.NodeCrash, simulation.SpotReclaimed},
			[]simulation.Observation{simulation.CloudCallRepeated},
		},
		// Guards against jobs that copies of users' requests start or end once more.
		"copied peer calls": {
			[]simulation.Fault{simulation.PeerCallsDuplicated, simulation.NodeCrash, simulation.RunningJobsCancelled},
			[]simulation.Observation{simulation.PeerCallRepeated},
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 8, func(t *testing.T, seed uint64) {
				runUntilObserved(t, 500+seed, c.observed, func(seed uint64) *simulation.Simulation {
					return runRandomFaults(t, seed, 2, c.kinds...)
				})
			})
		})
	}
}
