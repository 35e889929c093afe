package consolidation_test

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/consolidation"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// baseTime is when the machines are provisioned and their attempts begin to run.
var baseTime = time.Unix(1_700_000_000, 0)

// consolidationTime is a time at which the minimum billing time of every machine and the minimum run
// time of every attempt are over.
var consolidationTime = baseTime.Add(tuning.MinimumBillingTime + tuning.ConsolidateMinRunTime + time.Hour)

// newMachine returns a machine with eight CPUs and one running attempt for each element of cpus,
// which is the number of CPUs that the attempt uses.
func newMachine(id string, checkpointIntervalS float64, cpus ...float64) *machines.Machine {
	m := machines.New(baseTime, id, "std-8", "a", "", false)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	for _, c := range cpus {
		j := jobs.New(wire.Job{ID: "job-" + id, Tasks: 1, CPUs: c, CheckpointIntervalS: checkpointIntervalS, CheckpointSaveS: 7}, 0, baseTime)
		a := machines.NewPossiblyStartedAttempt(m, j, 0, baseTime)
		a.ApplyReport(baseTime, machines.Running)
		m.AddAttempt(a)
	}
	return m
}

// cluster contains schedulable machines and the jobs with waiting tasks.
type cluster struct {
	machines        []*machines.Machine
	waiting         []*jobs.Job
	consolidatedIDs []string // IDs of the machines passed to OnStopsRequested
}

// consolidator returns a consolidator for the cluster. The machine "expensive" has a price of 2, all
// others of 0.
func (c *cluster) consolidator() *consolidation.Consolidator {
	registry := machines.NewRegistry()
	for _, m := range c.machines {
		registry.Add(m)
	}
	return consolidation.New(consolidation.Cluster{
		Machines:         registry,
		IsSchedulable:    func(time.Time, *machines.Machine) bool { return true },
		RunnableJobs:     func() []*jobs.Job { return c.waiting },
		Price:            func(m *machines.Machine) float64 { return map[string]float64{"expensive": 2}[m.ID] },
		RemainingS:       func(time.Time, *machines.Attempt) float64 { return 3600 },
		OnStopsRequested: func(m *machines.Machine) { c.consolidatedIDs = append(c.consolidatedIDs, m.ID) },
	})
}

// TestMostExpensiveMachineIsConsolidated: the most expensive machine is cordoned, and its tasks are
// stopped with a grace period to save a checkpoint. This happens at most once per interval.
func TestMostExpensiveMachineIsConsolidated(t *testing.T) {
	cheap, expensive := newMachine("cheap", 30, 2), newMachine("expensive", 30, 2)
	c := &cluster{machines: []*machines.Machine{cheap, expensive}}
	consolidator := c.consolidator()
	if n := consolidator.Run(consolidationTime); n != 1 || !slices.Equal(c.consolidatedIDs, []string{"expensive"}) {
		t.Fatalf("consolidated %d machines: %v, want 1: [expensive]", n, c.consolidatedIDs)
	}
	a := expensive.Attempts()[0]
	if !expensive.IsCordonedFor(machines.CordonConsolidated) || !a.IsStopping() || a.GracePeriodS() != 7 {
		t.Errorf("machine not cordoned, or attempt not stopped with a grace period of 7 s: %+v", a)
	}
	expensive.Uncordon(machines.CordonConsolidated)
	a.RevertStop()
	if n := consolidator.Run(consolidationTime.Add(tuning.ConsolidateInterval / 2)); n != 0 {
		t.Error("a machine was consolidated before the interval was over, want none")
	}
	if n := consolidator.Run(consolidationTime.Add(tuning.ConsolidateInterval)); n != 1 {
		t.Errorf("consolidated %d machines after the interval, want 1", n)
	}
}

// TestTasksAreNotMoved: tasks are not moved if they save no checkpoints, if they fit on no other
// machine, or if waiting tasks need the capacity there.
func TestTasksAreNotMoved(t *testing.T) {
	waiting := jobs.New(wire.Job{ID: "job-9", Tasks: 2, CPUs: 6}, 0, baseTime)
	waiting.RebuildReadyTasks()
	for name, test := range map[string]struct {
		machines []*machines.Machine
		waiting  []*jobs.Job
	}{
		"no checkpoints": {machines: []*machines.Machine{newMachine("cheap", 0, 2), newMachine("expensive", 0, 2)}},
		"no capacity":    {machines: []*machines.Machine{newMachine("cheap", 30, 7), newMachine("expensive", 30, 2)}},
		"waiting work":   {machines: []*machines.Machine{newMachine("cheap", 30, 2), newMachine("expensive", 30, 2)}, waiting: []*jobs.Job{waiting}},
	} {
		c := &cluster{machines: test.machines, waiting: test.waiting}
		if n := c.consolidator().Run(consolidationTime); n != 0 {
			t.Errorf("%s: consolidated %v, want none", name, c.consolidatedIDs)
		}
	}
}
