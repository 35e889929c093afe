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
	testStart        = time.Unix(1_700_000_000, 0)
	spotOffering     = autoscale.Offering{Type: "std-8", Zone: "a", Spot: true}
	onDemandOffering = autoscale.Offering{Type: "std-8", Zone: "a"}
)

// newScaler returns a scaler for a cluster without machines, with one machine type in one zone. Its
// rate limit of 0 allows a single provision call and a single release call in flight.
func newScaler() (*scaling.Scaler, *scaling.Cluster) {
	cluster := scaling.Cluster{
		Machines:         machines.NewRegistry(),
		Catalogue:        machines.NewCatalogue(),
		Demand:           func(time.Time) []autoscale.Demand { return nil },
		IsCapacity:       func(time.Time, *machines.Machine) bool { return true },
		RemainingS:       func(time.Time, *machines.Attempt) float64 { return 0 },
		IsReplacement:    func(string) bool { return false },
		IsBlockedByDrain: func(o autoscale.Offering) bool { return o.Zone == "drained" },
		IsPartitioned:    func(_ time.Time, zone string) bool { return zone == "partitioned" },
	}
	cluster.Catalogue.SetOfferedTypes([]wire.MachineType{{Name: "std-8", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a"}}})
	return scaling.New(scaling.Config{Term: 5, ScaleInIdleTime: time.Minute}, cluster), &cluster
}

// TestProvisionCallsInFlightAreLimited: the cloud's rate limit bounds the provision calls in flight, spot
// offerings are requested first, and another call is made only after one has returned.
func TestProvisionCallsInFlightAreLimited(t *testing.T) {
	s, _ := newScaler()
	wanted := map[autoscale.Offering]int{onDemandOffering: 3, spotOffering: 2}
	calls := s.ScaleOut(testStart, wanted)
	if len(calls) != 1 || !calls[0].Provision.Spot || calls[0].Provision.RequestID != "r-5-1" || calls[0].Provision.Count != 2 {
		t.Fatalf("calls %+v, want one for 2 spot machines", calls)
	}
	if more := s.ScaleOut(testStart, wanted); len(more) != 0 {
		t.Fatalf("got calls %+v beyond the limit, want none", more)
	}
	if p := s.FinishProvision(testStart, calls[0].Provision, 2); p == nil || p.Offering != spotOffering || p.Count != 2 {
		t.Fatalf("finished call %+v, want the one for 2 spot machines", p)
	}
	if p := s.FinishProvision(testStart, calls[0].Provision, 2); p != nil {
		t.Errorf("a repeated result finished the call %+v, want none", p)
	}
	if more := s.ScaleOut(testStart, wanted); len(more) != 1 || more[0].Provision.RequestID != "r-5-2" {
		t.Errorf("calls after a result: %+v, want the request r-5-2", more)
	}
}

// TestOfferingWithoutCapacityIsNotRequested: if a call returned too few machines, its offering can't be
// provisioned until the backoff is over, but others can. Offerings in drained and partitioned zones
// can't be provisioned either.
func TestOfferingWithoutCapacityIsNotRequested(t *testing.T) {
	s, _ := newScaler()
	call := s.Provision(testStart, spotOffering, 3, "")
	s.FinishProvision(testStart, call.Provision, 2)
	backoffEnd := testStart.Add(tuning.UnavailableOfferingBackoff)
	for name, test := range map[string]struct {
		now      time.Time
		offering autoscale.Offering
		want     bool
	}{
		"at once":          {testStart, spotOffering, false},
		"other offering":   {testStart, onDemandOffering, true},
		"afterwards":       {backoffEnd, spotOffering, true},
		"drained zone":     {testStart, autoscale.Offering{Type: "std-8", Zone: "drained"}, false},
		"partitioned zone": {testStart, autoscale.Offering{Type: "std-8", Zone: "partitioned"}, false},
	} {
		if got := s.CanProvision(test.now, test.offering); got != test.want {
			t.Errorf("%s: CanProvision returned %v, want the opposite", name, got)
		}
	}
}

// TestReleaseCallsInFlightAreLimited: each machine is released only once, machines beyond the limit of
// release calls in flight are not released, and ReleaseInFlight returns true until the calls have
// returned.
func TestReleaseCallsInFlightAreLimited(t *testing.T) {
	s, cluster := newScaler()
	registry := cluster.Machines
	var names []string
	for i := range 2 * tuning.MaxReleaseCount {
		names = append(names, fmt.Sprintf("m%03d", i))
		registry.Add(machines.New(testStart, names[i], "std-8", "a", "", false))
	}
	calls := s.ScaleIn(append([]string{names[0], "unknown"}, names...))
	released := 0
	for _, call := range calls {
		released += len(call.Release)
	}
	if released != tuning.MaxReleaseCount || !registry.Get(names[0]).IsBeingReleased() || registry.Get(names[len(names)-1]).IsBeingReleased() {
		t.Errorf("%d machines released, want as many as one call allows, the first ones of the list", released)
	}
	if !s.ReleaseInFlight() {
		t.Error("ReleaseInFlight returned false before the result, want true")
	}
	for range calls {
		s.FinishRelease()
	}
	if s.ReleaseInFlight() {
		t.Error("ReleaseInFlight returned true after the result, want false")
	}
}

// TestPlanCountsRequestedMachines: a plan counts the machines that provision calls in flight request.
// If it did not, it would provision machines for the same demand again.
func TestPlanCountsRequestedMachines(t *testing.T) {
	_, cluster := newScaler()
	cluster.Demand = func(time.Time) []autoscale.Demand {
		return []autoscale.Demand{{Job: &placement.PendingJob{Request: placement.Resources{CPUs: 2, MemoryGB: 1}}, Tasks: 4, EstimatedRunTimeS: 600, StartWithinS: 10}}
	}
	s := scaling.New(scaling.Config{Term: 5, CloudRPS: 5}, *cluster)
	plan := s.Plan(testStart)
	if len(plan.ScaleOut) == 0 {
		t.Fatal("the plan provisions no machines, want some for the waiting tasks")
	}
	s.ScaleOut(testStart, plan.ScaleOut)
	if again := s.Plan(testStart); len(again.ScaleOut) != 0 {
		t.Errorf("the next plan provisions %v, want none", again.ScaleOut)
	}
}

// TestPlanIsDueOncePerInterval: BeginPlanningIfDue returns true once, and again after an interval.
func TestPlanIsDueOncePerInterval(t *testing.T) {
	s, _ := newScaler()
	if !s.BeginPlanningIfDue(testStart) || s.BeginPlanningIfDue(testStart) || !s.BeginPlanningIfDue(testStart.Add(tuning.ScalingInterval)) {
		t.Error("BeginPlanningIfDue does not return true exactly once per interval")
	}
}

// TestDemandHistoryDecays: the mean of the CPUs in use and the arrival rate decay exponentially.
func TestDemandHistoryDecays(t *testing.T) {
	var h scaling.DemandHistory
	if first := h.AddUsedCPUs(testStart, 100); first != 100 {
		t.Errorf("first value %v, want 100", first)
	}
	later := h.AddUsedCPUs(testStart.Add(tuning.DemandDecay), 0)
	if want := 100 / math.E; math.Abs(later-want) > 0.01 {
		t.Errorf("mean of the CPUs in use is %v after one time constant, want %v", later, want)
	}
	h.AddArrival(testStart, testStart, 60)
	initial, decayed := h.ArrivalCPUs(testStart), h.ArrivalCPUs(testStart.Add(tuning.ArrivalRateDecay))
	if want := 60 / tuning.ArrivalRateDecay.Seconds(); math.Abs(initial-want) > 1e-9 || math.Abs(decayed-want/math.E) > 1e-9 {
		t.Errorf("CPUs for arriving work are %v, then %v; want %v at first, and 1/e of it after one time constant", initial, decayed, want)
	}
}
