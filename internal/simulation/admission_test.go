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

// overloadSimulation is a simulation in which users submit far more jobs than the key-value store
// can write.
type overloadSimulation struct {
	*simulation.Simulation
	t        *testing.T
	rng      *rand.Rand
	jobCount int
	outcomes []simulation.SubmissionOutcome
}

// progressWindow is the time within which at least one job of every team and class must be accepted
// during an overload.
const progressWindow = 20 * time.Second

// newOverloadSimulation returns a simulation of three or five nodes with admission control enabled.
// Its key-value store can write only a few jobs per second.
func newOverloadSimulation(t *testing.T, seed uint64) *overloadSimulation {
	p := defaultParams()
	p.Teams = []config.Team{
		{Name: "blue", CPUs: 40, CPUsMax: 60},
		{Name: "green", CPUs: 16, CPUsMax: 60},
		{Name: "guests"},
	}
	p.Objectives = []config.Objective{{Kind: "finished", Class: "urgent", WithinS: 60}, {Kind: "finished", Class: "nightly", WithinS: 250}}
	p.KVStore.WriteRPS = 30
	sim := simulation.New(seed, 3+2*int(seed%2), p, machineType)
	sim.Operator = config.OperatorSettings{Admission: &config.Admission{}}
	sim.LimitWriteRate = true
	sim.ExchangeNodeHeartbeats()
	return &overloadSimulation{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(seed, 3))}
}

// submit makes a team submit jobs of a class at random times, at a mean rate in jobs per second.
// modify, if set, changes each job first.
func (sim *overloadSimulation) submit(team, class string, rate float64, from, until time.Duration, modify func(*wire.Job)) {
	for at := from; at < until; at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second)) {
		sim.jobCount++
		j := &wire.Job{
			ID: fmt.Sprintf("job-%06d", sim.jobCount), Class: class, Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-0", ImageGB: 0.1, Spot: true, EstimateS: 1,
		}
		if class == "urgent" {
			j.Priority = wire.PriorityHigh
		}
		if modify != nil {
			modify(j)
		}
		sim.SubmitWithRetryWindow(at, j, func(o simulation.SubmissionOutcome) { sim.outcomes = append(sim.outcomes, o) })
	}
}

// submitNormalLoad makes the three teams submit three jobs per second in total, which does not
// overload the key-value store.
func (sim *overloadSimulation) submitNormalLoad(until time.Duration) {
	for _, team := range []string{"blue", "green", "guests"} {
		for _, class := range []string{"urgent", "nightly"} {
			sim.submit(team, class, 0.5, 0, until, nil)
		}
	}
}

// countAccepted returns how many jobs of a team and class were accepted from one time until
// another, and how many were submitted in that time. An empty class means all classes.
func (sim *overloadSimulation) countAccepted(team, class string, from, until time.Duration) (accepted, submitted int) {
	for _, o := range sim.outcomes {
		if o.Job.Team != team || class != "" && o.Job.Class != class {
			continue
		}
		if o.SubmittedAt >= from && o.SubmittedAt < until {
			submitted++
		}
		if o.Accepted && o.FinishedAt >= from && o.FinishedAt < until {
			accepted++
		}
	}
	return accepted, submitted
}

// checkProgress fails the test if a team submitted jobs of a class in a progressWindow and none was
// accepted in it.
func (sim *overloadSimulation) checkProgress(from, until time.Duration) {
	sim.t.Helper()
	for _, team := range []string{"blue", "green", "guests"} {
		for _, class := range []string{"urgent", "nightly"} {
			for at := from; at+progressWindow <= until; at += progressWindow {
				if n, submitted := sim.countAccepted(team, class, at, at+progressWindow); n == 0 && submitted > 0 {
					sim.t.Errorf("%s/%s: 0 of %d submitted jobs accepted in the window from %v, want at least 1", team, class, submitted, at)
				}
			}
		}
	}
}

// runAndCheck runs the simulation. It fails the test if an invariant is violated, if an accepted
// job does not end, if a submission does not have exactly one outcome, or if an observation was not
// made.
func (sim *overloadSimulation) runAndCheck(observed ...simulation.Observation) {
	sim.t.Helper()
	err := sim.Run(330*second, 90*second)
	appendDigest(sim.t, sim.Simulation)
	if err != nil {
		sim.t.Fatal(err)
	}
	if unfinished := sim.Invariants.UnfinishedJobs(); len(unfinished) > 0 {
		sim.t.Errorf("got unfinished jobs %v at the end of the run, want none", unfinished)
	}
	if len(sim.outcomes) != sim.jobCount {
		sim.t.Errorf("got %d outcomes of %d submissions, want one each", len(sim.outcomes), sim.jobCount)
	}
	outcomeSeen := map[string]bool{}
	for _, o := range sim.outcomes {
		if outcomeSeen[o.Job.ID] {
			sim.t.Errorf("got two outcomes of the submission of %s, want one", o.Job.ID)
		}
		outcomeSeen[o.Job.ID] = true
	}
	for _, observation := range observed {
		if sim.Observed[observation] == 0 {
			sim.t.Errorf("observation %q was not made, want at least once", observation)
		}
	}
}

// TestFloodCostsItsTeam: a script of one team raises the total load to ten times the normal load.
// Each of its jobs has a new id, and half of them a new class. At least 70 % of the other teams'
// jobs are accepted, and every class makes progress.
func TestFloodCostsItsTeam(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		sim := newOverloadSimulation(t, 700+seed)
		sim.submitNormalLoad(90 * second)
		sim.submit("blue", "nightly", 27, 10*second, 80*second, func(j *wire.Job) {
			if sim.rng.IntN(2) == 0 {
				j.Class = fmt.Sprint("made-up-", sim.jobCount)
			}
		})
		sim.runAndCheck(simulation.ShedByFollower, simulation.ShedByLeader)
		sim.checkProgress(20*second, 80*second)
		blue, _ := sim.countAccepted("blue", "", 20*second, 80*second)
		for _, team := range []string{"green", "guests"} {
			got, submitted := sim.countAccepted(team, "", 20*second, 80*second)
			t.Logf("%s: %d of %d jobs accepted; blue: %d accepted", team, got, submitted, blue)
			if float64(got) < 0.7*float64(submitted) {
				t.Errorf("%s: %d of %d jobs accepted while blue overloads the cluster, want at least 70%%", team, got, submitted)
			}
		}
	})
}

// overloadScenarios are faults injected during an overload, with the terms and observations that
// each must cause.
var overloadScenarios = map[string]struct {
	inject   func(sim *overloadSimulation)
	minTerms int
	observed []simulation.Observation
}{
	"the leader crashes twice": {func(sim *overloadSimulation) {
		sim.ScheduleAt(35*second, func() { sim.CrashLeader(second) })
		sim.ScheduleAt(55*second, func() { sim.CrashLeader(second / 5) })
	}, 2, nil},
	"an isolated leader": {func(sim *overloadSimulation) {
		sim.ScheduleAt(35*second, func() { sim.Inject(simulation.LeaderIsolated, 20*second) })
	}, 2, nil},
	"all controllers crash": {func(sim *overloadSimulation) {
		sim.ScheduleAt(40*second, func() { sim.CrashAll(2 * second) })
	}, 2, nil},
	"responses to writes are lost": {func(sim *overloadSimulation) {
		sim.ScheduleAt(30*second, func() { sim.Inject(simulation.WriteResponsesLost, 10*second) })
	}, 1, []simulation.Observation{simulation.WriteResponseLost}},
	"admission control is off at one node": {func(sim *overloadSimulation) { sim.DisableAdmission(1) }, 1, nil},
	"a rolling upgrade": {func(sim *overloadSimulation) {
		sim.RollingUpgrade(25*second, 12*second)
	}, 2, nil},
	"partitioned nodes": {func(sim *overloadSimulation) {
		sim.ScheduleAt(20*second, func() { sim.InjectFaults(simulation.NodesPartitioned) })
	}, 1, nil},
}

// TestOverloadWithFaults: all teams together submit ten times the normal load, and two of them
// additional bursts at the same times, while faults of the controllers, their network and the
// key-value store occur. Every team and class makes progress.
func TestOverloadWithFaults(t *testing.T) {
	for name, s := range overloadScenarios {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 1, func(t *testing.T, seed uint64) {
				sim := newOverloadSimulation(t, 800+seed)
				for _, team := range []string{"blue", "green", "guests"} {
					sim.submit(team, "urgent", 5, 10*second, 75*second, nil)
					sim.submit(team, "nightly", 5, 10*second, 75*second, nil)
				}
				for at := 20 * second; at < 75*second; at += 20 * second {
					sim.submit("blue", "nightly", 60, at, at+second, nil)
					sim.submit("green", "urgent", 60, at, at+second, nil)
				}
				s.inject(sim)
				sim.runAndCheck(append(s.observed, simulation.ShedByLeader)...)
				if n := sim.Observed[simulation.TermStarted]; n < s.minTerms {
					t.Errorf("got %d terms, want at least %d", n, s.minTerms)
				}
				sim.checkProgress(30*second, 70*second)
			})
		})
	}
}

// TestNothingIsShedWithoutOverload: with admission control enabled and a load within the capacity,
// no submission is rejected, not even during a failover.
func TestNothingIsShedWithoutOverload(t *testing.T) {
	sim := newOverloadSimulation(t, 900)
	sim.submitNormalLoad(80 * second)
	sim.ScheduleAt(40*second, func() { sim.CrashLeader(second) })
	sim.runAndCheck()
	if n := sim.Observed[simulation.ShedByFollower] + sim.Observed[simulation.ShedByLeader]; n > 0 {
		t.Errorf("got %d rejections, want 0", n)
	}
}
