package autoscale

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// TestScaleInWhileScalingOut: a single plan provisions a machine in the zone that the
// demand requires, keeps the idle machine there, and releases the idle machines of
// the other zone.
func TestScaleInWhileScalingOut(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	idle := func(id, zone string) Machine {
		return Machine{ID: id, Host: placement.Host{Type: "t", Zone: zone, Capacity: capacity}, Free: capacity, Schedulable: true, MayBeReleased: true, IdleFor: time.Minute, Price: 1}
	}
	plan := NewPlan(Input{
		MachineTypes:    []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a", "b"}}},
		Demand:          []Demand{{Job: &placement.PendingJob{Request: capacity, Zone: "a"}, Tasks: 2, EstimatedRunTimeS: 100, StartWithinS: 20}},
		Machines:        []Machine{idle("a1", "a"), idle("b1", "b"), idle("b2", "b")},
		IsUnavailable:   func(Offering) bool { return false },
		ScaleInIdleTime: time.Second,
	})
	if n := plan.ScaleOut[Offering{Type: "t", Zone: "a"}]; n != 1 {
		t.Errorf("%d machines provisioned, want 1", n)
	}
	slices.Sort(plan.ScaleIn)
	if !slices.Equal(plan.ScaleIn, []string{"b1", "b2"}) {
		t.Errorf("released %v, want b1 and b2", plan.ScaleIn)
	}
}

// TestExcludedMachineIsNotCapacity: the planner does not count a machine that excludes a job, or that
// already has its maximum of tasks, as capacity for the job. Otherwise the job would wait forever if
// there were no other machine.
func TestExcludedMachineIsNotCapacity(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	for name, c := range map[string]struct {
		host         placement.Host
		wantMachines int
	}{
		"usable":   {placement.Host{Tasks: tuning.MaxTasksPerMachine - 1}, 0},
		"excludes": {placement.Host{ExcludedJobs: map[string]time.Time{"j": {}}}, 1},
		"full":     {placement.Host{Tasks: tuning.MaxTasksPerMachine}, 1},
	} {
		c.host.Type, c.host.Zone, c.host.Capacity = "t", "a", capacity
		plan := NewPlan(Input{
			MachineTypes:  []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}},
			Demand:        []Demand{{Job: &placement.PendingJob{JobID: "j", Request: placement.Resources{CPUs: 1}}, Tasks: 1, EstimatedRunTimeS: 10, StartWithinS: 20}},
			Machines:      []Machine{{ID: "a1", Host: c.host, Free: capacity, Schedulable: true, Price: 1}},
			IsUnavailable: func(Offering) bool { return false },
		})
		if n := plan.ScaleOut[Offering{Type: "t", Zone: "a"}]; n != c.wantMachines {
			t.Errorf("%s: got %d machines to provision, want %d", name, n, c.wantMachines)
		}
	}
}

// TestScaleOutCoversArrivals: even if the existing machines could start all waiting
// tasks in time, the plan provisions machines of the cheapest offering until there are
// as many CPUs as ArrivalCPUs. It provisions no machines of more expensive offerings,
// and none at all if the tasks fit into the free CPUs.
func TestScaleOutCoversArrivals(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	scaleOut := func(arrivalCPUs float64, tasks int, spotUnavailable bool) map[Offering]int {
		in := Input{
			MachineTypes:  []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 3, SpotPrice: 1, Zones: []string{"a"}}},
			Demand:        []Demand{{Job: &placement.PendingJob{Request: placement.Resources{CPUs: 1, MemoryGB: 1}, AllowsSpot: true}, Tasks: tasks, EstimatedRunTimeS: 1, StartWithinS: 100}},
			IsUnavailable: func(o Offering) bool { return o.Spot && spotUnavailable },
		}
		for range 10 {
			in.Machines = append(in.Machines, Machine{Host: placement.Host{Type: "t", Zone: "a", Capacity: capacity}, Free: placement.Resources{CPUs: 1, MemoryGB: 9}, Schedulable: true, Price: 3})
		}
		in.ArrivalCPUs = arrivalCPUs
		return NewPlan(in).ScaleOut
	}
	spot, onDemand := Offering{Type: "t", Zone: "a", Spot: true}, Offering{Type: "t", Zone: "a"}
	for _, c := range []struct {
		arrivalCPUs      float64
		tasks            int
		spotUnavailable  bool
		wantSpotMachines int
	}{
		{arrivalCPUs: 70, tasks: 50},
		{arrivalCPUs: 104, tasks: 50, wantSpotMachines: 3},
		{arrivalCPUs: 104, tasks: 10},
		{arrivalCPUs: 104, tasks: 50, spotUnavailable: true},
	} {
		if got := scaleOut(c.arrivalCPUs, c.tasks, c.spotUnavailable); got[spot] != c.wantSpotMachines || got[onDemand] != 0 {
			t.Errorf("%+v: got machines %v to provision, want as many spot machines as the case says and no others", c, got)
		}
	}
}
