package scaling_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	spot     = autoscale.Offer{Type: "std-8", Zone: "a", Spot: true}
	onDemand = autoscale.Offer{Type: "std-8", Zone: "a"}
)

// newScaler returns a scaler for an empty cluster with one machine type in one zone. Its call
// budget allows a single call of each kind in flight.
func newScaler() (*scaling.Scaler, *scaling.Cluster) {
	cluster := scaling.Cluster{
		Machines:         machines.NewRegistry(),
		Catalogue:        machines.NewCatalogue(),
		Demand:           func(time.Time) []autoscale.Demand { return nil },
		HeartbeatOverdue: func(time.Time, *machines.Machine) bool { return false },
		RemainingS:       func(time.Time, *machines.Attempt) float64 { return 0 },
		IsReplacement:    func(string) bool { return false },
		BlockedByDrain:   func(o autoscale.Offer) bool { return o.Zone == "drained" },
		Partitioned:      func(_ time.Time, zone string) bool { return zone == "partitioned" },
	}
	cluster.Catalogue.Update([]wire.MachineType{{Name: "std-8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a"}}})
	return scaling.New(scaling.Config{Term: 5, ScaleInIdleTime: time.Minute}, cluster), &cluster
}

// TestProvisionCallsInFlightAreLimited: the call budget limits the provision calls in flight, spot
// offers are requested first, and the next call may be made once one has returned.
func TestProvisionCallsInFlightAreLimited(t *testing.T) {
	s, _ := newScaler()
	wanted := map[autoscale.Offer]int{onDemand: 3, spot: 2}
	calls := s.ScaleOut(start, wanted)
	if len(calls) != 1 || !calls[0].Provision.Spot || calls[0].Provision.RequestID != "r-5-1" || calls[0].Provision.Count != 2 {
		t.Fatalf("calls %+v, want one for 2 spot machines", calls)
	}
	if more := s.ScaleOut(start, wanted); len(more) != 0 {
		t.Fatalf("calls beyond the limit: %+v", more)
	}
	if p := s.FinishProvision(start, calls[0].Provision, 2); p == nil || p.Offer != spot || p.Count != 2 {
		t.Fatalf("finished call %+v, want the one for 2 spot machines", p)
	}
	if p := s.FinishProvision(start, calls[0].Provision, 2); p != nil {
		t.Errorf("a repeated result finished another call: %+v", p)
	}
	if more := s.ScaleOut(start, wanted); len(more) != 1 || more[0].Provision.RequestID != "r-5-2" {
		t.Errorf("calls after a result: %+v, want the request r-5-2", more)
	}
}

// TestOfferWithoutCapacityIsNotRequested: after a call that returned too few machines, its offer,
// and no other, cannot be provisioned until the backoff is over. Offers in drained and partitioned
// zones cannot be provisioned either.
func TestOfferWithoutCapacityIsNotRequested(t *testing.T) {
	s, _ := newScaler()
	call := s.Provision(start, spot, 3, "")
	s.FinishProvision(start, call.Provision, 2)
	backoffEnd := start.Add(tuning.UnavailableOfferingBackoff)
	for name, test := range map[string]struct {
		now   time.Time
		offer autoscale.Offer
		want  bool
	}{
		"at once":          {start, spot, false},
		"other offer":      {start, onDemand, true},
		"afterwards":       {backoffEnd, spot, true},
		"drained zone":     {start, autoscale.Offer{Type: "std-8", Zone: "drained"}, false},
		"partitioned zone": {start, autoscale.Offer{Type: "std-8", Zone: "partitioned"}, false},
	} {
		if got := s.CanProvision(test.now, test.offer); got != test.want {
			t.Errorf("%s: CanProvision %v", name, got)
		}
	}
}

// TestReleaseCallsInFlightAreLimited: each machine is released once, machines beyond the limit of
// calls in flight are not released, and ReleaseInFlight is true until the calls have returned.
func TestReleaseCallsInFlightAreLimited(t *testing.T) {
	s, cluster := newScaler()
	registry := cluster.Machines
	var names []string
	for i := range 2 * tuning.MaxReleaseCount {
		names = append(names, fmt.Sprintf("m%03d", i))
		registry.Add(machines.New(start, names[i], "std-8", "a", "", false))
	}
	calls := s.ScaleIn(append([]string{names[0], "unknown"}, names...))
	released := 0
	for _, call := range calls {
		released += len(call.Release)
	}
	if released != tuning.MaxReleaseCount || !registry.Get(names[0]).IsReleasing() || registry.Get(names[len(names)-1]).IsReleasing() {
		t.Errorf("%d released, want as many as one call allows, the first ones of the list", released)
	}
	if !s.ReleaseInFlight() {
		t.Error("no release call in flight before the result")
	}
	for range calls {
		s.FinishRelease()
	}
	if s.ReleaseInFlight() {
		t.Error("a release call is in flight after the result")
	}
}

// TestPlanCountsPendingMachines: a plan counts the machines of provision calls in flight, so that it
// does not provision for the same demand again.
func TestPlanCountsPendingMachines(t *testing.T) {
	_, cluster := newScaler()
	cluster.Demand = func(time.Time) []autoscale.Demand {
		return []autoscale.Demand{{Tasks: 4, Request: placement.Resources{CPUs: 2, MemoryGB: 1}, EstimateS: 600, StartWithinS: 10}}
	}
	s := scaling.New(scaling.Config{Term: 5, CloudRPS: 5}, *cluster)
	plan := s.Plan(start)
	if len(plan.ScaleOut) == 0 {
		t.Fatal("no machines are provisioned for waiting tasks")
	}
	s.ScaleOut(start, plan.ScaleOut)
	if again := s.Plan(start); len(again.ScaleOut) != 0 {
		t.Errorf("provisioned again: %v", again.ScaleOut)
	}
}

// TestPlanIsDueOncePerInterval: Due is true once and then again after an interval.
func TestPlanIsDueOncePerInterval(t *testing.T) {
	s, _ := newScaler()
	if !s.Due(start) || s.Due(start) || !s.Due(start.Add(tuning.ScalingInterval)) {
		t.Error("Due is not true exactly once per interval")
	}
}

// TestDemandHistoryDecays: the smoothed CPUs in use and the inflow decay exponentially.
func TestDemandHistoryDecays(t *testing.T) {
	var h scaling.DemandHistory
	if first := h.UpdateCPUs(start, 100); first != 100 {
		t.Errorf("first value %v, want 100", first)
	}
	later := h.UpdateCPUs(start.Add(tuning.DemandDecay), 0)
	if want := 100 / math.E; math.Abs(later-want) > 0.01 {
		t.Errorf("%v after one decay time, want %v", later, want)
	}
	h.AddInflow(start, start, 60)
	initial, decayed := h.InflowCPUs(start), h.InflowCPUs(start.Add(tuning.ArrivalRateDecay))
	if want := 60 / tuning.ArrivalRateDecay.Seconds(); math.Abs(initial-want) > 1e-9 || math.Abs(decayed-want/math.E) > 1e-9 {
		t.Errorf("inflow %v, then %v, want %v at first", initial, decayed, want)
	}
}
