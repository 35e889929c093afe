package scaling

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// ScaleOut returns provision calls for the wanted number of machines of each offering, up to the limit
// of provision calls in flight.
func (s *Scaler) ScaleOut(now time.Time, wanted map[autoscale.Offering]int) []CloudCall {
	maxCalls := max(1, int(s.config.CloudRPS*tuning.CloudCallShare*tuning.ProvisionsInFlight))
	var calls []CloudCall
	for _, o := range slices.SortedFunc(maps.Keys(wanted), compareOfferings) {
		if len(s.provisionsInFlight) >= maxCalls {
			break
		}
		calls = append(calls, s.Provision(now, o, wanted[o], ""))
	}
	return calls
}

// Provision returns a call that provisions machines of an offering, and records it as in flight. It
// requests at most tuning.MaxProvisionCount machines. replacementFor is the name of the drain whose
// machines they replace, or "".
func (s *Scaler) Provision(now time.Time, o autoscale.Offering, count int, replacementFor string) CloudCall {
	s.lastRequestNumber++
	r := wire.ProvisionRequest{
		RequestID: fmt.Sprintf("r-%d-%d", s.config.Term, s.lastRequestNumber),
		Type:      o.Type,
		Zone:      o.Zone,
		Spot:      o.Spot,
		Count:     min(count, tuning.MaxProvisionCount),
	}
	s.provisionsInFlight[r.RequestID] = &InFlightProvision{Offering: o, Count: r.Count, RequestedAt: now, ReplacementFor: replacementFor}
	return CloudCall{Op: CloudProvision, Provision: r}
}

// compareOfferings sorts spot offerings before on-demand ones, and then by type and zone.
func compareOfferings(a, b autoscale.Offering) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
}

// CanProvision reports whether machines of an offering may be provisioned now: the cloud has not
// recently run out of capacity for the offering, its zone is not partitioned, and no drain forbids it.
func (s *Scaler) CanProvision(now time.Time, o autoscale.Offering) bool {
	return !now.Before(s.unavailableUntil[o]) && !s.cluster.Partitioned(now, o.Zone) && !s.cluster.BlockedByDrain(o)
}

// FinishProvision records that a provision call has returned, with the number of received machines. It
// returns the call, or nil if the call is not in flight. If the cloud returned fewer machines than
// requested, the offering can't be provisioned for tuning.UnavailableOfferingBackoff.
func (s *Scaler) FinishProvision(now time.Time, r wire.ProvisionRequest, received int) *InFlightProvision {
	p := s.provisionsInFlight[r.RequestID]
	delete(s.provisionsInFlight, r.RequestID)
	if p != nil && received < r.Count {
		s.unavailableUntil[p.Offering] = now.Add(tuning.UnavailableOfferingBackoff)
	}
	return p
}

// AnyProvisionInFlight reports whether matches returns true for any provision call in flight.
func (s *Scaler) AnyProvisionInFlight(matches func(*InFlightProvision) bool) bool {
	for _, p := range s.provisionsInFlight {
		if matches(p) {
			return true
		}
	}
	return false
}
