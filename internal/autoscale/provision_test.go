package autoscale

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// TestIdleGoesBackWhileOthersAreRented: work for one zone makes the planner
// rent there; idle machines of another, which it has no use for, go back in the
// same plan, and one that the work can use stays.
func TestIdleGoesBackWhileOthersAreRented(t *testing.T) {
	size := placement.Resources{CPUs: 8, MemoryGB: 32}
	idle := func(id, zone string) Machine {
		return Machine{ID: id, Offer: Offer{Type: "t", Zone: zone}, Capacity: size, Free: size, Schedulable: true, Idle: true, IdleFor: time.Minute, Price: 1}
	}
	plan := NewPlan(Input{
		MachineTypes:    []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a", "b"}}},
		Demand:          []Demand{{Tasks: 2, Request: size, EstimateS: 100, Zone: "a", StartWithinS: 20}},
		Machines:        []Machine{idle("a1", "a"), idle("b1", "b"), idle("b2", "b")},
		Unavailable:     func(Offer) bool { return false },
		ScaleInIdleTime: time.Second,
	})
	if n := plan.ScaleOut[Offer{Type: "t", Zone: "a"}]; n != 1 {
		t.Errorf("rent %d", n)
	}
	slices.Sort(plan.ScaleIn)
	if !slices.Equal(plan.ScaleIn, []string{"b1", "b2"}) {
		t.Errorf("return %v", plan.ScaleIn)
	}
}

// TestRoomWhereAJobFailedIsNone: a machine that has failed a job is no room to it;
// alone and with room for others it would keep the job waiting for ever.
func TestRoomWhereAJobFailedIsNone(t *testing.T) {
	size := placement.Resources{CPUs: 8, MemoryGB: 32}
	for _, c := range []struct {
		avoid map[string]bool
		rent  int
	}{{nil, 0}, {map[string]bool{"a1": true}, 1}} {
		plan := NewPlan(Input{
			MachineTypes: []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}},
			Demand:       []Demand{{Tasks: 1, Request: placement.Resources{CPUs: 1}, EstimateS: 10, StartWithinS: 20, AvoidMachines: c.avoid}},
			Machines:     []Machine{{ID: "a1", Offer: Offer{Type: "t", Zone: "a"}, Capacity: size, Free: size, Schedulable: true, Price: 1}},
			Unavailable:  func(Offer) bool { return false },
		})
		if n := plan.ScaleOut[Offer{Type: "t", Zone: "a"}]; n != c.rent {
			t.Errorf("avoiding %v: rent %d", c.avoid, n)
		}
	}
}

// TestRentalsFollowInflow: while work waits that could begin in time on the machines
// there are, machines of the cheapest offer are rented up to what keeps coming;
// none of dearer ones, and none while all fits.
func TestRentalsFollowInflow(t *testing.T) {
	size := placement.Resources{CPUs: 8, MemoryGB: 32}
	rent := func(inflow float64, tasks int, refused bool) map[Offer]int {
		in := Input{
			MachineTypes: []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 3, SpotPrice: 1, Zones: []string{"a"}}},
			Demand:       []Demand{{Tasks: tasks, Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EstimateS: 1, Spot: true, StartWithinS: 100}},
			Unavailable:  func(o Offer) bool { return o.Spot && refused },
		}
		for range 10 {
			in.Machines = append(in.Machines, Machine{Offer: Offer{Type: "t", Zone: "a"}, Capacity: size, Free: placement.Resources{CPUs: 1, MemoryGB: 9}, Schedulable: true, Price: 3})
		}
		in.InflowCPUs = inflow
		return NewPlan(in).ScaleOut
	}
	spot, dear := Offer{Type: "t", Zone: "a", Spot: true}, Offer{Type: "t", Zone: "a"}
	for _, c := range []struct {
		inflow  float64
		tasks   int
		refused bool
		spot    int
	}{
		{inflow: 70, tasks: 50},
		{inflow: 104, tasks: 50, spot: 3},
		{inflow: 104, tasks: 10},
		{inflow: 104, tasks: 50, refused: true},
	} {
		if got := rent(c.inflow, c.tasks, c.refused); got[spot] != c.spot || got[dear] != 0 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
