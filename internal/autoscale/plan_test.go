package autoscale

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// TestScaleInWhileScalingOut: one plan provisions a machine in the zone that the
// demand requires, keeps the idle machine there, and releases the idle machines
// of the other zone.
func TestScaleInWhileScalingOut(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	idle := func(id, zone string) Machine {
		return Machine{ID: id, Offering: Offering{Type: "t", Zone: zone}, Capacity: capacity, Free: capacity, Schedulable: true, Idle: true, IdleFor: time.Minute, Price: 1}
	}
	plan := NewPlan(Input{
		MachineTypes:    []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a", "b"}}},
		Demand:          []Demand{{Tasks: 2, Request: capacity, EstimateS: 100, Zone: "a", StartWithinS: 20}},
		Machines:        []Machine{idle("a1", "a"), idle("b1", "b"), idle("b2", "b")},
		Unavailable:     func(Offering) bool { return false },
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

// TestAvoidedMachineIsNotCapacity: the planner does not count a machine on which a
// job has failed as capacity for the job. Otherwise, if it were the only machine,
// the job would wait forever.
func TestAvoidedMachineIsNotCapacity(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	for _, c := range []struct {
		avoid    map[string]bool
		scaleOut int
	}{{nil, 0}, {map[string]bool{"a1": true}, 1}} {
		plan := NewPlan(Input{
			MachineTypes: []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}},
			Demand:       []Demand{{Tasks: 1, Request: placement.Resources{CPUs: 1}, EstimateS: 10, StartWithinS: 20, AvoidMachines: c.avoid}},
			Machines:     []Machine{{ID: "a1", Offering: Offering{Type: "t", Zone: "a"}, Capacity: capacity, Free: capacity, Schedulable: true, Price: 1}},
			Unavailable:  func(Offering) bool { return false },
		})
		if n := plan.ScaleOut[Offering{Type: "t", Zone: "a"}]; n != c.scaleOut {
			t.Errorf("avoiding %v: %d machines provisioned", c.avoid, n)
		}
	}
}

// TestScaleOutCoversArrivals: while tasks wait that the existing machines could
// start in time, machines of the cheapest offer are provisioned until the CPUs
// cover the inflow. No machines of more expensive offers are provisioned, and none
// at all while the tasks fit into free CPUs.
func TestScaleOutCoversArrivals(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	scaleOut := func(inflow float64, tasks int, unavailable bool) map[Offering]int {
		in := Input{
			MachineTypes: []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 3, SpotPrice: 1, Zones: []string{"a"}}},
			Demand:       []Demand{{Tasks: tasks, Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EstimateS: 1, Spot: true, StartWithinS: 100}},
			Unavailable:  func(o Offering) bool { return o.Spot && unavailable },
		}
		for range 10 {
			in.Machines = append(in.Machines, Machine{Offering: Offering{Type: "t", Zone: "a"}, Capacity: capacity, Free: placement.Resources{CPUs: 1, MemoryGB: 9}, Schedulable: true, Price: 3})
		}
		in.ArrivalCPUs = inflow
		return NewPlan(in).ScaleOut
	}
	spot, onDemand := Offering{Type: "t", Zone: "a", Spot: true}, Offering{Type: "t", Zone: "a"}
	for _, c := range []struct {
		inflow      float64
		tasks       int
		unavailable bool
		spot        int
	}{
		{inflow: 70, tasks: 50},
		{inflow: 104, tasks: 50, spot: 3},
		{inflow: 104, tasks: 10},
		{inflow: 104, tasks: 50, unavailable: true},
	} {
		if got := scaleOut(c.inflow, c.tasks, c.unavailable); got[spot] != c.spot || got[onDemand] != 0 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
