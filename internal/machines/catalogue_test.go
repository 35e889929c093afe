package machines_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// TestCatalogueKeepsTypesNoLongerOffered: types that the cloud no longer offers are
// needed for the machines of these types that still exist.
func TestCatalogueKeepsTypesNoLongerOffered(t *testing.T) {
	c := machines.NewCatalogue()
	if c.HasAnyType() {
		t.Error("new catalogue has types")
	}
	c.SetOfferedTypes([]wire.MachineType{{Name: "std-8", CPUs: 8, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}}})
	c.SetOfferedTypes([]wire.MachineType{{Name: "big-32", CPUs: 32, Price: 3, Zones: []string{"b"}}})
	if !c.HasAnyType() || !c.HasType("std-8") || c.Type("std-8").CPUs != 8 || c.HasType("other") {
		t.Errorf("types %v", c.TypeNames())
	}
	if len(c.OfferedTypes()) != 1 || !slices.Equal(c.OfferedZones(), []string{"b"}) {
		t.Errorf("offered types %v in zones %v", c.OfferedTypes(), c.OfferedZones())
	}
	offerings := c.Offerings(func(string, string) bool { return true })
	if len(offerings) != 1 || offerings[0].Type != "big-32" || offerings[0].Capacity.CPUs != 32 {
		t.Errorf("offerings %v", offerings)
	}
	spot := machines.New(time.Time{}, "m1", "std-8", "a", "", true)
	onDemand := machines.New(time.Time{}, "m2", "std-8", "a", "", false)
	if c.Price(spot) != 0.4 || c.Price(onDemand) != 1 {
		t.Errorf("prices %v and %v", c.Price(spot), c.Price(onDemand))
	}
}

// TestSetStoredReportsChanges: unchanged types must not be written to the key-value store
// after each of the repeated requests to the cloud.
func TestSetStoredReportsChanges(t *testing.T) {
	c := machines.NewCatalogue()
	for i, want := range []bool{true, false} {
		if got := c.SetStoredTypes(json.RawMessage(`[]`)); got != want {
			t.Errorf("response %d: changed: %v", i, got)
		}
	}
}
