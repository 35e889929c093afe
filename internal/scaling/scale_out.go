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

// ScaleOut returns the provision calls for the wanted machines, up to the limit of calls in
// flight.
func (s *Scaler) ScaleOut(now time.Time, wanted map[autoscale.Offer]int) []CloudCall {
	limit := max(1, int(s.config.CloudRPS*tuning.CloudCallShare*tuning.MaxProvisionsInFlightS))
	var calls []CloudCall
	for _, o := range slices.SortedFunc(maps.Keys(wanted), compareOffers) {
		if len(s.pending) >= limit {
			break
		}
		calls = append(calls, s.Provision(now, o, wanted[o], ""))
	}
	return calls
}

// Provision returns the call that provisions machines of an offer and records it as in flight.
// replacementFor is the name of the drain whose machines they replace, or "".
func (s *Scaler) Provision(now time.Time, o autoscale.Offer, count int, replacementFor string) CloudCall {
	s.lastRequest++
	r := wire.ProvisionRequest{
		RequestID: fmt.Sprintf("r-%d-%d", s.config.Term, s.lastRequest),
		Type:      o.Type,
		Zone:      o.Zone,
		Spot:      o.Spot,
		Count:     min(count, tuning.MaxProvisionCount),
	}
	s.pending[r.RequestID] = &PendingProvision{Offer: o, Count: r.Count, RequestedAt: now, ReplacementFor: replacementFor}
	return CloudCall{Op: CloudProvision, Provision: r}
}

// compareOffers orders spot offers first, then by type and zone.
func compareOffers(a, b autoscale.Offer) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
}

// CanProvision reports whether machines of an offer may be provisioned now: the cloud has not
// recently run out of capacity for the offer, the zone is not partitioned, and no drain blocks
// the offer.
func (s *Scaler) CanProvision(now time.Time, o autoscale.Offer) bool {
	return !now.Before(s.unavailable[o]) && !s.cluster.Partitioned(now, o.Zone) && !s.cluster.BlockedByDrain(o)
}

// FinishProvision records the number of machines that a provision call returned, and returns the
// call, or nil if it is not in flight. If the cloud returned fewer machines than requested, the
// offer counts as unavailable for tuning.UnavailableOfferBackoff.
func (s *Scaler) FinishProvision(now time.Time, r wire.ProvisionRequest, received int) *PendingProvision {
	p := s.pending[r.RequestID]
	delete(s.pending, r.RequestID)
	if p != nil && received < r.Count {
		s.unavailable[p.Offer] = now.Add(tuning.UnavailableOfferingBackoff)
	}
	return p
}

// AnyPending reports whether any provision call in flight matches.
func (s *Scaler) AnyPending(matches func(*PendingProvision) bool) bool {
	for _, p := range s.pending {
		if matches(p) {
			return true
		}
	}
	return false
}
