package leader_test

import (
	"encoding/json"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/consolidation"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/preemption"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// capacityCase is a waiting job, and a machine that has free resources for one of its tasks.
type capacityCase struct {
	job     *jobs.Job
	machine *machines.Machine
	now     time.Time
}

// drawCapacityCase draws a job and a machine of which the job's constraints, an exclusion or the number
// of tasks may forbid the use.
func drawCapacityCase(rng *rand.Rand) *capacityCase {
	c := &capacityCase{now: startTime.Add(time.Hour)}
	spec := wire.Job{
		ID: "job-1", Team: "blue", Priority: wire.PriorityHigh, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 10,
		Spot: rng.IntN(2) == 0, OneZone: rng.IntN(3) == 0, CheckpointIntervalS: 5, CheckpointSaveS: 1,
	}
	spec.SpreadZones = !spec.OneZone && rng.IntN(3) == 0
	if rng.IntN(4) == 0 && !spec.OneZone && !spec.SpreadZones {
		spec.Zone = []string{"a", "b"}[rng.IntN(2)]
	}
	if rng.IntN(4) == 0 {
		spec.MachineTypes = []string{"other", "std-8"}[rng.IntN(2):]
	}
	c.job = jobs.New(spec, 0, startTime)
	c.job.MarkAccepted()
	c.job.RebuildReadyTasks()
	zone := []string{"a", "b"}[rng.IntN(2)]
	for range rng.IntN(3) {
		c.job.Allocate(c.job.PopReadyTask(c.now), zone)
	}
	c.machine = c.newMachine("m1", rng.IntN(2) == 0)
	tasks := []int{0, 1, tuning.MaxTasksPerMachine}[rng.IntN(3)]
	tiny := jobs.New(wire.Job{ID: "job-2", Tasks: wire.MaxTasks, Priority: wire.PriorityIdle}, 0, startTime)
	for i := range tasks {
		c.machine.AddAttempt(machines.NewPossiblyStartedAttempt(c.machine, tiny, int32(i), startTime))
	}
	if rng.IntN(4) == 0 {
		c.machine.ExcludeJob(c.now, "job-1")
	}
	return c
}

// newMachine returns a machine without tasks.
func (c *capacityCase) newMachine(id string, spot bool) *machines.Machine {
	m := machines.New(startTime, id, "std-8", "a", "", spot)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	m.RecordHeartbeat(c.now, &wire.Heartbeat{})
	m.MarkReconciled(startTime)
	return m
}

// placementUses reports whether a placement pass starts a task of the job on the machine.
func (c *capacityCase) placementUses() bool {
	pending := c.job.PlacementConstraints()
	pending.Team, pending.ReadyTasks, pending.TasksByZone = c.job.Team, 1, maps.Clone(pending.TasksByZone)
	teams := map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: 100, GPUs: 100, MemoryGB: 100}}}
	assignments, _ := placement.Run(0, []*placement.PendingJob{pending}, []*placement.Machine{c.machine.ResetSnapshot()}, teams, 1)
	return len(assignments) > 0
}

// planCounts reports whether the scaling plan counts the machine as capacity for the job, so that it
// provisions no other one.
func (c *capacityCase) planCounts() bool {
	cluster := scaling.Cluster{
		Machines: machines.NewRegistry(), Catalogue: machines.NewCatalogue(),
		Demand: func(time.Time) []autoscale.Demand {
			return []autoscale.Demand{{Job: c.job.PlacementConstraints(), Tasks: 1, EstimatedRunTimeS: 10, StartWithinS: 60}}
		},
		IsCapacity: func(now time.Time, m *machines.Machine) bool {
			return m.IsCapacity(now, &machines.Timing{HeartbeatTimeout: time.Second})
		},
		RemainingS:       func(time.Time, *machines.Attempt) float64 { return 0 },
		IsReplacement:    func(string) bool { return false },
		IsBlockedByDrain: func(autoscale.Offering) bool { return false },
		IsPartitioned:    func(time.Time, string) bool { return false },
	}
	cluster.Machines.Add(c.machine)
	otherType := std8Type
	otherType.Name, otherType.Zones = "other", []string{"a", "b"}
	std8 := std8Type
	std8.Zones = otherType.Zones
	cluster.Catalogue.SetOfferedTypes([]wire.MachineType{std8, otherType})
	return len(scaling.New(scaling.Config{Term: 1}, cluster).Plan(c.now).ScaleOut) == 0
}

// preemptionUses reports whether the preemptor stops a task on the machine, which it first fills, for
// the job.
func (c *capacityCase) preemptionUses() bool {
	filler := jobs.New(wire.Job{ID: "job-3", Team: "blue", Priority: wire.PriorityIdle, Tasks: 1, CPUs: 8, CheckpointIntervalS: 100}, 0, startTime)
	a := machines.NewPossiblyStartedAttempt(c.machine, filler, 0, startTime)
	a.ApplyReport(c.now, machines.Running)
	filler.AddRunningAttempt()
	c.machine.AddAttempt(a)
	defer c.machine.RemoveAttempt(c.now, a)
	registry := machines.NewRegistry()
	registry.Add(c.machine)
	preemptor := preemption.New(preemption.Cluster{
		Machines:        registry,
		IsSchedulable:   func(time.Time, *machines.Machine) bool { return true },
		RemainingS:      func(time.Time, *machines.Attempt) float64 { return 100 },
		RunnableJobs:    func() iter.Seq[*jobs.Job] { return slices.Values([]*jobs.Job{filler}) },
		FetchGBPerS:     func(string) float64 { return 1 },
		TeamFreeCPUs:    func(string) (float64, bool) { return 100, true },
		OnStopRequested: func(*machines.Machine) {},
	})
	pending := c.job.PlacementConstraints()
	pending.PriorityRank = c.job.PriorityRank()
	return preemptor.Run(c.now, []*placement.PendingJob{pending}, map[string]*jobs.Job{"job-1": c.job}) > 0
}

// consolidationUses reports whether the consolidator moves a task of the job from another machine to
// this one.
func (c *capacityCase) consolidationUses() bool {
	source := c.newMachine("m2", false)
	a := machines.NewPossiblyStartedAttempt(source, c.job, 3, startTime)
	a.ApplyReport(startTime, machines.Running)
	source.AddAttempt(a)
	second := c.newMachine("m3", false) // the consolidator needs two machines whose tasks it may move
	long := jobs.New(wire.Job{ID: "job-4", Tasks: 1, CPUs: 4, MemoryGB: 32, CheckpointIntervalS: 5}, 0, startTime)
	b := machines.NewPossiblyStartedAttempt(second, long, 0, startTime)
	b.ApplyReport(startTime, machines.Running)
	second.AddAttempt(b)
	registry := machines.NewRegistry()
	for _, m := range []*machines.Machine{c.machine, source, second} {
		registry.Add(m)
	}
	moved := false
	consolidation.New(consolidation.Cluster{
		Machines:         registry,
		IsSchedulable:    func(time.Time, *machines.Machine) bool { return true },
		RunnableJobs:     func() []*jobs.Job { return nil },
		Price:            func(*machines.Machine) float64 { return 1 },
		RemainingS:       func(time.Time, *machines.Attempt) float64 { return 100 },
		OnStopsRequested: func(m *machines.Machine) { moved = moved || m == source },
	}).Run(c.now)
	return moved
}

// TestAllPartsAgreeWhereATaskMayRun guards against jobs that wait for good because one part of the
// scheduler counts a machine as capacity on which another part places no task of the job.
func TestAllPartsAgreeWhereATaskMayRun(t *testing.T) {
	used := 0
	for seed := range uint64(400) {
		c := drawCapacityCase(rand.New(rand.NewPCG(seed, 7)))
		want := c.placementUses()
		if want {
			used++
		}
		for part, got := range map[string]bool{"scaling": c.planCounts(), "preemption": c.preemptionUses(), "consolidation": c.consolidationUses()} {
			if got != want {
				t.Errorf("seed %d: %s uses the machine: %v, placement: %v", seed, part, got, want)
			}
		}
	}
	if used < 40 || used > 360 {
		t.Errorf("placement uses the machine in %d of 400 cases, want both outcomes often", used)
	}
}

// exitTask sends m1's heartbeat with an exited task and returns the task status.
func (l *testLeader) exitTask(start wire.Command, reason string) {
	l.t.Helper()
	l.sendHeartbeat("m1", 1, wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskExited, ExitReason: reason})
}

// leaderAfterOneFailure returns a leader whose only machine m1 has completed two tasks of job-1, half a
// second after the third one failed there.
func leaderAfterOneFailure(t *testing.T) *testLeader {
	t.Helper()
	spec := newJob("job-1")
	spec.Tasks = 3
	l, starts := leaderWithStarts(t, spec)
	if formatCommands(starts) != "run job-1/0, run job-1/1, run job-1/2" {
		t.Fatalf("got %q, want starts of all tasks", formatCommands(starts))
	}
	l.exitTask(starts[0], wire.ExitError)
	l.tickAfter(500 * time.Millisecond)
	l.exitTask(starts[1], wire.ExitDone)
	l.exitTask(starts[2], wire.ExitDone)
	return l
}

// TestJobThatFailedOnceIsNotLeftWaiting guards against a job that waits for good after a task has
// failed and others are done: the machine excludes it, and yet counted as capacity for it.
func TestJobThatFailedOnceIsNotLeftWaiting(t *testing.T) {
	l := leaderAfterOneFailure(t)
	for range 10 {
		l.tickAfter(time.Second)
		l.commit()
		l.sendHeartbeat("m1", 1)
		if hasProvisionCall(l.PlanScaling(l.now)) {
			return
		}
	}
	t.Error("no machine was provisioned for a job that the only machine excludes")
}

// maxWaitBesideMachine is the longest time for which a job may wait while a machine that fits has
// capacity.
const maxWaitBesideMachine = 90 * time.Second

// TestExcludedMachineIsUsedIfThereIsNoOther guards against a job that waits for more than 90 s beside
// a machine that fits, because every machine excludes it or is quarantined and the cloud has no more.
func TestExcludedMachineIsUsedIfThereIsNoOther(t *testing.T) {
	for name, otherJobsFail := range map[string]bool{"excluded": false, "quarantined": true} {
		t.Run(name, func(t *testing.T) {
			l := leaderAfterOneFailure(t)
			var running []wire.TaskStatus
			if otherJobsFail {
				running = l.startAndFailOtherJobs()
			}
			for waited := time.Duration(0); waited < maxWaitBesideMachine; waited += time.Second {
				l.tickAfter(time.Second)
				l.commit()
				if cs := l.sendHeartbeat("m1", 1, running...); strings.Contains(formatCommands(cs), "run job-1/0") {
					return
				}
				for _, call := range l.PlanScaling(l.now) {
					if call.Op == scaling.CloudProvision {
						l.FinishProvision(l.now, call.Provision, nil) // the cloud has no capacity
					}
				}
			}
			t.Error("job-1 waits beside a machine that fits")
		})
	}
}

// startAndFailOtherJobs makes a task of each of three jobs run on m1. Two of them then fail, so that m1
// is quarantined. It returns the task that goes on running.
func (l *testLeader) startAndFailOtherJobs() []wire.TaskStatus {
	l.t.Helper()
	for _, id := range []string{"job-2", "job-3", "job-4"} {
		l.submit(id)
	}
	l.tickAfter(time.Second)
	l.commit()
	var tasks []wire.TaskStatus
	for _, start := range l.sendHeartbeat("m1", 1) {
		tasks = append(tasks, wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskExited, ExitReason: wire.ExitError})
	}
	if len(tasks) != 3 {
		l.t.Fatalf("got starts of %v, want those of three jobs", tasks)
	}
	tasks[0].State, tasks[0].ExitReason = wire.TaskRunning, ""
	l.sendHeartbeat("m1", 1, tasks...)
	l.submit("job-5")
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1, tasks[0]); len(cs) != 0 {
		l.t.Fatalf("a quarantined machine got %q, want no command", formatCommands(cs))
	}
	for _, id := range []string{"job-3", "job-4", "job-5"} { // their tasks would fill the machine
		l.Cancel(l.now, id, func(leader.JobResponse) {})
	}
	return tasks[:1]
}

// TestAgedJobGetsAMachineBesideOverrunningTasks guards against a job that waits for as long as other tasks
// exceed their estimates, although machines can be provisioned.
func TestAgedJobGetsAMachineBesideOverrunningTasks(t *testing.T) {
	long := newJob("job-1")
	long.CPUs, long.MemoryGB = 8, 32
	l, starts := leaderWithStarts(t, long)
	if formatCommands(starts) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0", formatCommands(starts))
	}
	running := wire.TaskStatus{Task: starts[0].Task, Attempt: starts[0].Attempt, State: wire.TaskRunning}
	for range 60 { // twice the estimate
		l.tickAfter(time.Second)
		l.sendHeartbeat("m1", 1, running)
	}
	l.submit("job-2")
	for waited := time.Duration(0); waited < maxWaitBesideMachine; waited += time.Second {
		l.tickAfter(time.Second)
		l.commit()
		l.sendHeartbeat("m1", 1, running)
		if hasProvisionCall(l.PlanScaling(l.now)) {
			return
		}
	}
	t.Error("no machine was provisioned for job-2")
}

// TestJobThatFailedEverywhereIsNotStarved guards against a job that waits for more than 90 s beside machines that
// fit: its tasks have failed on two machines, for which wide jobs of a higher priority wait.
func TestJobThatFailedEverywhereIsNotStarved(t *testing.T) {
	original := testParams
	t.Cleanup(func() { testParams = original })
	testParams.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 64}}
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	tasks := map[string][]wire.TaskStatus{"m1": nil, "m2": nil}
	// exchange exchanges a heartbeat with each machine, and returns the tasks that it starts.
	exchange := func() (started []string) {
		l.tickAfter(time.Second)
		l.commit()
		for _, m := range []string{"m1", "m2"} {
			for _, c := range l.sendHeartbeat(m, 1, tasks[m]...) {
				status := wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
				switch {
				case c.Op == wire.OpForget:
					tasks[m] = slices.DeleteFunc(tasks[m], func(s wire.TaskStatus) bool { return s.Task == c.Task })
					continue
				case c.Task == "job-1/0":
					status.State, status.ExitReason = wire.TaskExited, wire.ExitError
				}
				started = append(started, c.Task)
				tasks[m] = append(tasks[m], status)
			}
		}
		return started
	}
	l.submit("job-1")
	for failures := 0; failures < tuning.FaultyJobMachines && l.now.Before(startTime.Add(time.Minute)); {
		failures += len(exchange())
	}
	running, wide, otherWide := newJob("job-2"), newJob("job-3"), newJob("job-4")
	running.Tasks, running.CPUs, running.EstimateS = 2, 6, 1000
	wide.CPUs, wide.Priority = 8, wire.PriorityCritical
	otherWide.CPUs, otherWide.Priority = 8, wire.PriorityCritical
	for _, j := range []*wire.Job{running, wide, otherWide} {
		l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
		l.commit()
		exchange()
		exchange()
	}
	lastStart := l.now
	for range 400 {
		if slices.Contains(exchange(), "job-1/0") {
			lastStart = l.now
		}
		if l.now.Sub(lastStart) > maxWaitBesideMachine {
			t.Fatal("job-1 waits beside machines that fit")
		}
	}
}
