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

// ScaleOut returns the calls for the wanted machines, as many as may be under way.
func (s *Scaler) ScaleOut(now time.Time, wanted map[autoscale.Offer]int) []CloudCall {
	most := max(1, int(s.config.CloudRPS*tuning.CloudShare*tuning.ProvisionsInFlight))
	var calls []CloudCall
	for _, o := range slices.SortedFunc(maps.Keys(wanted), compareOffers) {
		if len(s.pending) >= most {
			break
		}
		calls = append(calls, s.Provision(now, o, wanted[o], ""))
	}
	return calls
}

// Provision returns the call for machines of an offer; replacementFor is the drain that they
// are for, or "".
func (s *Scaler) Provision(now time.Time, o autoscale.Offer, count int, replacementFor string) CloudCall {
	s.provisionsNamed++
	r := wire.ProvisionRequest{
		RequestID: fmt.Sprintf("r-%d-%d", s.config.Term, s.provisionsNamed),
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
// lacked capacity for them lately, their zone is not cut off, and none is drained.
func (s *Scaler) CanProvision(now time.Time, o autoscale.Offer) bool {
	return !now.Before(s.unavailable[o]) && !s.cluster.Partitioned(now, o.Zone) && !s.cluster.BlockedByDrain(o)
}

// FinishProvision ends a call, with the number of machines received; nil if the call is not
// known. An offer of which fewer came than were requested is without capacity for a while.
func (s *Scaler) FinishProvision(now time.Time, r wire.ProvisionRequest, received int) *PendingProvision {
	p := s.pending[r.RequestID]
	delete(s.pending, r.RequestID)
	if p != nil && received < r.Count {
		s.unavailable[p.Offer] = now.Add(tuning.UnavailableOfferBackoff)
	}
	return p
}

// AnyPending reports whether a provisioning call without an answer is such as is asked for.
func (s *Scaler) AnyPending(is func(*PendingProvision) bool) bool {
	for _, p := range s.pending {
		if is(p) {
			return true
		}
	}
	return false
}
