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

// flood is a run in which far more is submitted than the key-value store can write.
type flood struct {
	*simulation.Simulation
	t        *testing.T
	rng      *rand.Rand
	number   int
	outcomes []simulation.SubmissionOutcome
}

// overloadWindow is the time within which every class must make progress.
const overloadWindow = 20 * time.Second

// newFlood returns a simulation of three to five nodes whose key-value store takes a few jobs a
// second, with admission control on.
func newFlood(t *testing.T, seed uint64) *flood {
	p := params()
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
	return &flood{Simulation: sim, t: t, rng: rand.New(rand.NewPCG(seed, 3))}
}

// submit lets a team submit jobs of a class at a rate, in jobs a second.
func (f *flood) submit(team, class string, perSecond float64, from, until time.Duration, shape func(*wire.Job)) {
	for at := from; at < until; at += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		f.number++
		j := &wire.Job{
			ID: fmt.Sprintf("job-%06d", f.number), Class: class, Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-0", ImageGB: 0.1, Spot: true, EstimateS: 1,
		}
		if class == "urgent" {
			j.Priority = wire.PriorityHigh
		}
		if shape != nil {
			shape(j)
		}
		f.SubmitWithRetryWindow(at, j, func(o simulation.SubmissionOutcome) { f.outcomes = append(f.outcomes, o) })
	}
}

// normalLoad is what the three teams submit without overload, three jobs a second in all.
func (f *flood) normalLoad(until time.Duration) {
	for _, team := range []string{"blue", "green", "guests"} {
		for _, class := range []string{"urgent", "nightly"} {
			f.submit(team, class, 0.5, 0, until, nil)
		}
	}
}

// accepted counts the jobs of a team and class accepted in a span, and those submitted.
func (f *flood) accepted(team, class string, from, until time.Duration) (accepted, asked int) {
	for _, o := range f.outcomes {
		if o.Job.Team != team || class != "" && o.Job.Class != class {
			continue
		}
		if o.SubmittedAt >= from && o.SubmittedAt < until {
			asked++
		}
		if o.Accepted && o.FinishedAt >= from && o.FinishedAt < until {
			accepted++
		}
	}
	return accepted, asked
}

// checkProgress fails if no job of a class of a team was accepted in a window of the overload.
func (f *flood) checkProgress(from, until time.Duration) {
	f.t.Helper()
	for _, team := range []string{"blue", "green", "guests"} {
		for _, class := range []string{"urgent", "nightly"} {
			for at := from; at+overloadWindow <= until; at += overloadWindow {
				if n, asked := f.accepted(team, class, at, at+overloadWindow); n == 0 && asked > 0 {
					f.t.Errorf("%s/%s: none of %d accepted from %v", team, class, asked, at)
				}
			}
		}
	}
}

// run runs the simulation; every submission must be settled once, and accepted jobs must end.
func (f *flood) run(observed ...simulation.Observation) {
	f.t.Helper()
	err := f.Run(330*second, 90*second)
	logDigest(f.t, f.Simulation)
	if err != nil {
		f.t.Fatal(err)
	}
	if left := f.Invariants.UnfinishedJobs(); len(left) > 0 {
		f.t.Errorf("jobs did not end: %v", left)
	}
	if len(f.outcomes) != f.number {
		f.t.Errorf("%d of %d submissions were settled", len(f.outcomes), f.number)
	}
	seen := map[string]bool{}
	for _, o := range f.outcomes {
		if seen[o.Job.ID] {
			f.t.Errorf("%s was settled twice", o.Job.ID)
		}
		seen[o.Job.ID] = true
	}
	for _, what := range observed {
		if f.Observed[what] == 0 {
			f.t.Errorf("not observed: %s", what)
		}
	}
}

// TestFloodCostsItsTeam: a script of one team submits ten times the normal load, with new ids and
// classes each time. Nearly all jobs of the others are accepted, and every class makes progress.
func TestFloodCostsItsTeam(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		f := newFlood(t, 700+seed)
		f.normalLoad(90 * second)
		f.submit("blue", "nightly", 27, 10*second, 80*second, func(j *wire.Job) {
			if f.rng.IntN(2) == 0 {
				j.Class = fmt.Sprint("made-up-", f.number)
			}
		})
		f.run(simulation.ShedByFollower, simulation.ShedByLeader)
		f.checkProgress(20*second, 80*second)
		blue, _ := f.accepted("blue", "", 20*second, 80*second)
		for _, team := range []string{"green", "guests"} {
			got, asked := f.accepted(team, "", 20*second, 80*second)
			t.Logf("%s: %d of %d; blue: %d", team, got, asked, blue)
			if float64(got) < 0.7*float64(asked) {
				t.Errorf("%s: %d of %d accepted in a flood of blue", team, got, asked)
			}
		}
	})
}

// overloadScenarios are faults during an overload.
var overloadScenarios = map[string]struct {
	inject   func(f *flood)
	terms    int // at least
	observed []simulation.Observation
}{
	"the leader crashes twice": {func(f *flood) {
		f.ScheduleAt(35*second, func() { f.CrashLeader(second) })
		f.ScheduleAt(55*second, func() { f.CrashLeader(second / 5) })
	}, 2, nil},
	"an isolated leader": {func(f *flood) {
		f.ScheduleAt(35*second, func() { f.Inject(simulation.LeaderIsolated, 20*second) })
	}, 2, nil},
	"all controllers crash": {func(f *flood) {
		f.ScheduleAt(40*second, func() { f.CrashAll(2 * second) })
	}, 2, nil},
	"responses to writes are lost": {func(f *flood) {
		f.ScheduleAt(30*second, func() { f.Inject(simulation.WriteResponsesLost, 10*second) })
	}, 1, []simulation.Observation{simulation.WriteResponseLost}},
	"admission control is off at one node": {func(f *flood) { f.DisableAdmission(1) }, 1, nil},
	"a rolling upgrade": {func(f *flood) {
		f.RollingUpgrade(25*second, 12*second)
	}, 2, nil},
	"partitioned nodes": {func(f *flood) {
		f.ScheduleAt(20*second, func() { f.InjectFaults(simulation.NodesPartitioned) })
	}, 1, nil},
}

// TestOverloadWithFaults: all teams submit ten times the normal load, two of them in bursts at
// the same moments, while faults hit the controllers and what they talk to.
func TestOverloadWithFaults(t *testing.T) {
	for name, s := range overloadScenarios {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 1, func(t *testing.T, seed uint64) {
				f := newFlood(t, 800+seed)
				for _, team := range []string{"blue", "green", "guests"} {
					f.submit(team, "urgent", 5, 10*second, 75*second, nil)
					f.submit(team, "nightly", 5, 10*second, 75*second, nil)
				}
				for at := 20 * second; at < 75*second; at += 20 * second {
					f.submit("blue", "nightly", 60, at, at+second, nil)
					f.submit("green", "urgent", 60, at, at+second, nil)
				}
				s.inject(f)
				f.run(append(s.observed, simulation.ShedByLeader)...)
				if n := f.Observed[simulation.TermStarted]; n < s.terms {
					t.Errorf("%d terms, %d wanted", n, s.terms)
				}
				f.checkProgress(30*second, 70*second)
			})
		})
	}
}

// TestNothingIsShedWithoutOverload: with admission control on and a load within capacity no
// submission is rejected, also during a failover.
func TestNothingIsShedWithoutOverload(t *testing.T) {
	f := newFlood(t, 900)
	f.normalLoad(80 * second)
	f.ScheduleAt(40*second, func() { f.CrashLeader(second) })
	f.run()
	if n := f.Observed[simulation.ShedByFollower] + f.Observed[simulation.ShedByLeader]; n > 0 {
		t.Errorf("%d submissions rejected", n)
	}
}
