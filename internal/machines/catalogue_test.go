package machines_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// TestCatalogueKeepsTypesNoLongerOffered: types that the cloud no longer offers stay known, as
// machines of these types may still exist.
func TestCatalogueKeepsTypesNoLongerOffered(t *testing.T) {
	c := machines.NewCatalogue()
	if c.HasAnyType() {
		t.Error("new catalogue has types")
	}
	c.SetOfferedTypes([]wire.MachineType{{Name: "std-8", CPUs: 8, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}}})
	c.SetOfferedTypes([]wire.MachineType{{Name: "big-32", CPUs: 32, Price: 3, Zones: []string{"b"}}})
	if !c.HasAnyType() || !c.HasType("std-8") || c.Type("std-8").CPUs != 8 || c.HasType("other") {
		t.Errorf("types %v, want [big-32 std-8]", c.TypeNames())
	}
	if len(c.OfferedTypes()) != 1 || !slices.Equal(c.OfferedZones(), []string{"b"}) {
		t.Errorf("offered types %v in zones %v, want only big-32 in zone b", c.OfferedTypes(), c.OfferedZones())
	}
	offerings := c.Offerings(func(string, string) bool { return true })
	if len(offerings) != 1 || offerings[0].Type != "big-32" || offerings[0].Capacity.CPUs != 32 {
		t.Errorf("offerings %v, want one, of big-32", offerings)
	}
	spot := machines.New(time.Time{}, "m1", "std-8", "a", "", true)
	onDemand := machines.New(time.Time{}, "m2", "std-8", "a", "", false)
	if c.Price(spot) != 0.4 || c.Price(onDemand) != 1 {
		t.Errorf("spot price %v and on-demand price %v, want 0.4 and 1", c.Price(spot), c.Price(onDemand))
	}
}

// TestSetStoredReportsChanges: the leader requests the types from the cloud periodically, and
// must not write them to the key-value store if they haven't changed.
func TestSetStoredReportsChanges(t *testing.T) {
	c := machines.NewCatalogue()
	for i, want := range []bool{true, false} {
		if got := c.SetStoredTypes(json.RawMessage(`[]`)); got != want {
			t.Errorf("response %d: changed: %v, want a change in the first response only", i, got)
		}
	}
}
