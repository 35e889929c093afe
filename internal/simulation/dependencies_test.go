package simulation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// loweredLimitParams returns settings that announce lower limits of the key-value store.
func loweredLimitParams() config.Params {
	p := defaultParams()
	valueKB, ops := 2.0, 8
	p.KVStore.Upcoming = config.UpcomingKVStoreLimits{ValueKB: &valueKB, TxnOps: &ops}
	return p
}

// submitDependentJobs submits random jobs, most of which depend on a few of the jobs before them.
// It cancels a share of them within 90 seconds of their submission.
func submitDependentJobs(sim *simulation.Simulation, seed uint64, from time.Duration, cancelShare float64) {
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
		if rng.Float64() < cancelShare {
			cancel = time.Duration(1+rng.IntN(90_000)) * time.Millisecond
		}
		sim.Submit(from+time.Duration(rng.IntN(120_000))*time.Millisecond, j, cancel)
	}
}

// TestDependentJobs: users submit and cancel jobs with dependencies while faults of all kinds occur
// and the key-value store lowers its limits. No job starts before its dependencies are done, the
// cancellation of a job also cancels its dependents, and all other jobs end.
func TestDependentJobs(t *testing.T) {
	forEachSeed(t, 25, func(t *testing.T, seed uint64) {
		sim := simulation.New(seed, 3+2*int(seed%2), loweredLimitParams(), machineType)
		sim.FaultRate = float64(seed % 4)
		sim.LowerStoreLimits(time.Duration(seed*10) * time.Second)
		submitDependentJobs(sim, seed, 0, 0.2)
		sim.InjectFaults()
		runToEnd(t, sim)
	})
}

// TestRollingUpgrade: all nodes start with the previous version, and then restart with the present
// one, one after the other. A node that crashes before its upgrade restarts with the previous
// version. Once all nodes are upgraded, users submit dependent jobs and the key-value store lowers
// its limits.
func TestRollingUpgrade(t *testing.T) {
	forEachSeed(t, 25, func(t *testing.T, seed uint64) {
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
		upgradedAt := sim.RollingUpgrade(time.Duration(10+rng.IntN(40))*time.Second, time.Duration(5+rng.IntN(15))*time.Second)
		sim.LowerStoreLimits(upgradedAt + time.Duration(rng.IntN(60))*time.Second)
		submitDependentJobs(sim, seed, upgradedAt, 0.2)
		sim.InjectFaults()
		runToEnd(t, sim)
	})
}

// TestVersionsAlternate: a crashed process restarts with the other version in half of the cases,
// also while there are dependent jobs. A leader of the previous version does not know their
// dependencies, so it must neither delete nor start these jobs.
func TestVersionsAlternate(t *testing.T) {
	forEachSeed(t, 25, func(t *testing.T, seed uint64) {
		sim := simulation.New(seed, 3, loweredLimitParams(), machineType)
		sim.FaultRate, sim.VersionFlipRate = 1+float64(seed%3), 0.5
		submitDependentJobs(sim, seed, 0, 0)
		sim.InjectFaults(simulation.NodeCrash, simulation.NodeCrashLoop, simulation.MachineFails, simulation.StoreSlow)
		runToEnd(t, sim)
	})
}
