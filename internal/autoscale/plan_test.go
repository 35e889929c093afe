package autoscale

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// TestScaleInWhileScalingOut: a single plan provisions a machine in the zone that the
// demand requires, keeps the idle machine there, and releases the idle machines of
// the other zone.
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

// TestAvoidedMachineIsNotCapacity: the planner does not count a machine on which a job
// has failed as capacity for that job. Otherwise the job would wait forever if there
// were no other machine.
func TestAvoidedMachineIsNotCapacity(t *testing.T) {
	capacity := placement.Resources{CPUs: 8, MemoryGB: 32}
	for _, c := range []struct {
		avoid        map[string]bool
		wantMachines int
	}{{nil, 0}, {map[string]bool{"a1": true}, 1}} {
		plan := NewPlan(Input{
			MachineTypes: []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}},
			Demand:       []Demand{{Tasks: 1, Request: placement.Resources{CPUs: 1}, EstimateS: 10, StartWithinS: 20, AvoidMachines: c.avoid}},
			Machines:     []Machine{{ID: "a1", Offering: Offering{Type: "t", Zone: "a"}, Capacity: capacity, Free: capacity, Schedulable: true, Price: 1}},
			Unavailable:  func(Offering) bool { return false },
		})
		if n := plan.ScaleOut[Offering{Type: "t", Zone: "a"}]; n != c.wantMachines {
			t.Errorf("avoiding machines %v: got %d machines to provision, want 1 only if a1 is avoided", c.avoid, n)
		}
	}
}

// TestScaleOutCoversArrivals: even if the existing machines could start all waiting
// tasks in time, the plan provisions machines of the cheapest offering until there are
// as many CPUs as ArrivalCPUs. It provisions no machines of more expensive offerings,
// and none at all if the tasks fit into the free CPUs.
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
		inflow           float64
		tasks            int
		unavailable      bool
		wantSpotMachines int
	}{
		{inflow: 70, tasks: 50},
		{inflow: 104, tasks: 50, wantSpotMachines: 3},
		{inflow: 104, tasks: 10},
		{inflow: 104, tasks: 50, unavailable: true},
	} {
		if got := scaleOut(c.inflow, c.tasks, c.unavailable); got[spot] != c.wantSpotMachines || got[onDemand] != 0 {
			t.Errorf("%+v: got machines %v to provision, want as many spot machines as the case says and no others", c, got)
		}
	}
}
