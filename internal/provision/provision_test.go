package provision

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/wire"
)

// TestIdleGoesBackWhileOthersAreRented: work for one zone makes the planner
// rent there; idle machines of another, which it has no use for, go back in the
// same plan, and one that the work can use stays.
func TestIdleGoesBackWhileOthersAreRented(t *testing.T) {
	size := sched.Resources{CPUs: 8, MemoryGB: 32}
	idle := func(id, zone string) Machine {
		return Machine{ID: id, Offer: Offer{Type: "t", Zone: zone}, Total: size, Free: size, Open: true, Idle: true, IdleFor: time.Minute, Price: 1}
	}
	plan := Make(Input{
		Types:    []wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a", "b"}}},
		Demand:   []Demand{{Tasks: 2, Need: size, EstimateS: 100, Zone: "a", HorizonS: 20}},
		Machines: []Machine{idle("a1", "a"), idle("b1", "b"), idle("b2", "b")},
		Refused:  func(Offer) bool { return false },
		KeepIdle: time.Second,
	})
	if n := plan.Rent[Offer{Type: "t", Zone: "a"}]; n != 1 {
		t.Errorf("rent %d", n)
	}
	slices.Sort(plan.Return)
	if !slices.Equal(plan.Return, []string{"b1", "b2"}) {
		t.Errorf("return %v", plan.Return)
	}
}
