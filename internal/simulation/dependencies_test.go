package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// tightening is the settings of a state service that will lower its limits.
func tightening() config.Params {
	p := params()
	valueKB, ops := 2.0, 8
	p.KVStore.Upcoming = config.UpcomingKVStoreLimits{ValueKB: &valueKB, TxnOps: &ops}
	return p
}

// submitChains submits jobs of which most need some of the earlier ones, and of
// which a share is cancelled at any moment.
func submitChains(w *simulation.Simulation, seed uint64, from time.Duration, cancelled float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var jobs []*wire.Job
	for i := range 30 {
		j := drawJob(rng, 1000+i)
		j.EstimateS = min(j.EstimateS, 20)
		for range rng.IntN(4) {
			if len(jobs) > 0 {
				need := jobs[max(0, len(jobs)-1-rng.IntN(6))].ID
				if len(j.DependsOn) == 0 || j.DependsOn[0] != need {
					j.DependsOn = append(j.DependsOn, need)
				}
			}
		}
		if rng.IntN(4) == 0 {
			d := 60 + 200*rng.Float64()
			j.DeadlineS = &d
		}
		jobs = append(jobs, j)
		cancel := time.Duration(0)
		if rng.Float64() < cancelled {
			cancel = time.Duration(1+rng.IntN(90_000)) * time.Millisecond
		}
		w.Submit(from+time.Duration(rng.IntN(120_000))*time.Millisecond, j, cancel)
	}
}

// TestDependentJobs: jobs that need others, cancelled at every moment, through all
// faults and with the state service's limits lowered at any moment: none starts too early, none outlives one that it needs and that was
// cancelled, all others end.
func TestDependentJobs(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		w := simulation.New(seed, 3+2*int(seed%2), tightening(), machineType)
		w.FaultRate = float64(seed % 4)
		w.LowerStoreLimits(time.Duration(seed*10) * time.Second)
		submitChains(w, seed, 0, 0.2)
		w.InjectFaults()
		runToEnd(t, w)
	})
}

// TestRollingUpgrade: the previous version leads when the day begins, each node comes back
// with the present one in its turn, or before it, after a fault, with the
// former. Dependent jobs come, and the state service lowers its limits, only when
// all are new.
func TestRollingUpgrade(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 4))
		w := simulation.New(seed, 3+2*int(seed%2), tightening(), machineType)
		w.FaultRate = float64(seed % 3)
		for i := range 25 {
			cancel := time.Duration(0)
			if rng.IntN(4) == 0 {
				cancel = time.Duration(1+rng.IntN(60)) * time.Second
			}
			w.Submit(time.Duration(rng.IntN(200_000))*time.Millisecond, drawJob(rng, i), cancel)
		}
		upgraded := w.RollingUpgrade(time.Duration(10+rng.IntN(40))*time.Second, time.Duration(5+rng.IntN(15))*time.Second)
		w.LowerStoreLimits(upgraded + time.Duration(rng.IntN(60))*time.Second)
		submitChains(w, seed, upgraded, 0.2)
		w.InjectFaults()
		runToEnd(t, w)
	})
}

// TestVersionsAlternate: processes come back with the other version all day, also
// when dependent jobs are there. A leader of the previous version can't know what
// they need; it must keep them all the same, and start none of them.
func TestVersionsAlternate(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		w := simulation.New(seed, 3, tightening(), machineType)
		w.FaultRate, w.VersionFlipRate = 1+float64(seed%3), 0.5
		submitChains(w, seed, 0, 0)
		w.InjectFaults(simulation.NodeCrash, simulation.NodesFlap, simulation.MachineDies, simulation.StoreSlow)
		runToEnd(t, w)
	})
}
