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

var start = time.Unix(1_700_000_000, 0)

// now is late enough for all machines and attempts to be moved.
var now = start.Add(tuning.MinimumBillingTime + tuning.ConsolidateMinRunTime + time.Hour)

// addMachine returns a machine of eight CPUs with attempts of so many CPUs each.
func addMachine(id string, checkpointIntervalS float64, cpus ...float64) *machines.Machine {
	m := machines.New(start, id, "std-8", "a", "", false)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	for _, c := range cpus {
		j := jobs.New(wire.Job{ID: "job-" + id, Tasks: 1, CPUs: c, CheckpointIntervalS: checkpointIntervalS, CheckpointSaveS: 7}, 0, start)
		a := machines.NewAttempt(m, j, 0, start)
		a.ApplyReport(start, machines.Running)
		m.AddAttempt(a)
	}
	return m
}

// cluster is one whose machines all take work, and which of them were emptied.
type cluster struct {
	machines []*machines.Machine
	waiting  []*jobs.Job
	emptied  []string
}

func (c *cluster) consolidator() *consolidation.Consolidator {
	registry := machines.NewRegistry()
	for _, m := range c.machines {
		registry.Add(m)
	}
	return consolidation.New(consolidation.Cluster{
		Machines:       registry,
		IsSchedulable:  func(time.Time, *machines.Machine) bool { return true },
		ActiveJobs:     func() []*jobs.Job { return c.waiting },
		Price:          func(m *machines.Machine) float64 { return map[string]float64{"dear": 2}[m.ID] },
		RemainingS:     func(time.Time, *machines.Attempt) float64 { return 3600 },
		OnConsolidated: func(m *machines.Machine) { c.emptied = append(c.emptied, m.ID) },
	})
}

// TestDearestMachineIsEmptiedIntoOthers: it is cordoned, and its tasks get time to save.
func TestDearestMachineIsEmptiedIntoOthers(t *testing.T) {
	cheap, dear := addMachine("cheap", 30, 2), addMachine("dear", 30, 2)
	c := &cluster{machines: []*machines.Machine{cheap, dear}}
	consolidator := c.consolidator()
	if n := consolidator.Run(now); n != 1 || !slices.Equal(c.emptied, []string{"dear"}) {
		t.Fatalf("%d: %v", n, c.emptied)
	}
	a := dear.Attempts()[0]
	if !dear.CordonedFor(machines.CordonConsolidated) || !a.IsStopping() || a.GracePeriodS() != 7 {
		t.Errorf("%+v", a)
	}
	dear.Uncordon(machines.CordonConsolidated)
	a.RevertStop()
	if n := consolidator.Run(now.Add(tuning.ConsolidateInterval / 2)); n != 0 {
		t.Error("again before the interval is over")
	}
	if n := consolidator.Run(now.Add(tuning.ConsolidateInterval)); n != 1 {
		t.Errorf("%d afterwards", n)
	}
}

// TestNothingIsMovedWithoutNeed: tasks that would lose progress, find no other place, or would
// take it from waiting work stay where they are.
func TestNothingIsMovedWithoutNeed(t *testing.T) {
	waiting := jobs.New(wire.Job{ID: "job-9", Tasks: 2, CPUs: 6}, 0, start)
	waiting.FillReady()
	for name, test := range map[string]struct {
		all     []*machines.Machine
		waiting []*jobs.Job
	}{
		"no checkpoints": {all: []*machines.Machine{addMachine("cheap", 0, 2), addMachine("dear", 0, 2)}},
		"no capacity":    {all: []*machines.Machine{addMachine("cheap", 30, 7), addMachine("dear", 30, 2)}},
		"waiting work":   {all: []*machines.Machine{addMachine("cheap", 30, 2), addMachine("dear", 30, 2)}, waiting: []*jobs.Job{waiting}},
	} {
		c := &cluster{machines: test.all, waiting: test.waiting}
		if n := c.consolidator().Run(now); n != 0 {
			t.Errorf("%s: emptied %v", name, c.emptied)
		}
	}
}
