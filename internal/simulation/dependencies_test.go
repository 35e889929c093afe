package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// loweredLimitParams are the settings of a key-value store that will lower its limits.
func loweredLimitParams() config.Params {
	p := params()
	valueKB, ops := 2.0, 8
	p.KVStore.Upcoming = config.UpcomingKVStoreLimits{ValueKB: &valueKB, TxnOps: &ops}
	return p
}

// submitDependentJobs submits jobs of which most depend on some of the earlier ones, and of which a
// share is cancelled at any moment.
func submitDependentJobs(sim *simulation.Simulation, seed uint64, from time.Duration, cancelled float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var jobs []*wire.Job
	for i := range 30 {
		j := drawJob(rng, 1000+i)
		j.EstimateS = min(j.EstimateS, 20)
		for range rng.IntN(4) {
			if len(jobs) > 0 {
				dependency := jobs[max(0, len(jobs)-1-rng.IntN(6))].ID
				if len(j.DependsOn) == 0 || j.DependsOn[0] != dependency {
					j.DependsOn = append(j.DependsOn, dependency)
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
		sim.Submit(from+time.Duration(rng.IntN(120_000))*time.Millisecond, j, cancel)
	}
}

// TestDependentJobs: jobs with dependencies, cancelled at any moment, with all kinds of fault and with
// the key-value store's limits lowered at any moment. None starts before its dependencies are done,
// none outlives a dependency that was cancelled, all others end.
func TestDependentJobs(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		sim := simulation.New(seed, 3+2*int(seed%2), loweredLimitParams(), machineType)
		sim.FaultRate = float64(seed % 4)
		sim.LowerStoreLimits(time.Duration(seed*10) * time.Second)
		submitDependentJobs(sim, seed, 0, 0.2)
		sim.InjectFaults()
		runToEnd(t, sim)
	})
}

// TestRollingUpgrade: the previous version leads first, and each node restarts with the present one in
// its turn, or before that, after a fault, with the previous one. Dependent jobs are submitted, and
// the key-value store lowers its limits, only when all nodes are upgraded.
func TestRollingUpgrade(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 4))
		sim := simulation.New(seed, 3+2*int(seed%2), loweredLimitParams(), machineType)
		sim.FaultRate = float64(seed % 3)
		for i := range 25 {
			cancel := time.Duration(0)
			if rng.IntN(4) == 0 {
				cancel = time.Duration(1+rng.IntN(60)) * time.Second
			}
			sim.Submit(time.Duration(rng.IntN(200_000))*time.Millisecond, drawJob(rng, i), cancel)
		}
		upgraded := sim.RollingUpgrade(time.Duration(10+rng.IntN(40))*time.Second, time.Duration(5+rng.IntN(15))*time.Second)
		sim.LowerStoreLimits(upgraded + time.Duration(rng.IntN(60))*time.Second)
		submitDependentJobs(sim, seed, upgraded, 0.2)
		sim.InjectFaults()
		runToEnd(t, sim)
	})
}

// TestVersionsAlternate: processes restart with the other version during the whole run, also while
// there are dependent jobs. A leader of the previous version does not know their dependencies; it
// must keep the jobs all the same, and start none of them.
func TestVersionsAlternate(t *testing.T) {
	eachSeed(t, 25, func(t *testing.T, seed uint64) {
		sim := simulation.New(seed, 3, loweredLimitParams(), machineType)
		sim.FaultRate, sim.VersionFlipRate = 1+float64(seed%3), 0.5
		submitDependentJobs(sim, seed, 0, 0)
		sim.InjectFaults(simulation.NodeCrash, simulation.NodeCrashLoop, simulation.MachineFails, simulation.StoreSlow)
		runToEnd(t, sim)
	})
}
