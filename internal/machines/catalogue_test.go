package machines_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// TestCatalogueKeepsTypesThatAreNoLongerOffered: there may still be machines of them.
func TestCatalogueKeepsTypesThatAreNoLongerOffered(t *testing.T) {
	c := machines.NewCatalogue()
	if c.HasTypes() {
		t.Error("known without any type")
	}
	c.Update([]wire.MachineType{{Name: "std-8", CPUs: 8, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}}})
	c.Update([]wire.MachineType{{Name: "big-32", CPUs: 32, Price: 3, Zones: []string{"b"}}})
	if !c.HasTypes() || !c.HasType("std-8") || c.Type("std-8").CPUs != 8 || c.HasType("other") {
		t.Errorf("types %v", c.Names())
	}
	if len(c.OfferedTypes()) != 1 || !slices.Equal(c.Zones(), []string{"b"}) {
		t.Errorf("offers %v in zones %v", c.OfferedTypes(), c.Zones())
	}
	places := c.Offerings(func(string, string) bool { return true })
	if len(places) != 1 || places[0].Type != "big-32" || places[0].Capacity.CPUs != 32 {
		t.Errorf("places %v", places)
	}
	spot := machines.New(time.Time{}, "m1", "std-8", "a", "", true)
	onDemand := machines.New(time.Time{}, "m2", "std-8", "a", "", false)
	if c.Price(spot) != 0.4 || c.Price(onDemand) != 1 {
		t.Errorf("prices %v and %v", c.Price(spot), c.Price(onDemand))
	}
}

// TestStoredCatalogueIsWrittenOnlyWhenItChanges: the cloud is asked again and again.
func TestStoredCatalogueIsWrittenOnlyWhenItChanges(t *testing.T) {
	c := machines.NewCatalogue()
	for i, want := range []bool{true, false} {
		if got := c.SetStored(json.RawMessage(`[]`)); got != want {
			t.Errorf("answer %d: changed is %v", i, got)
		}
	}
}
