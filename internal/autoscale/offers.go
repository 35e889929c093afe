package autoscale

import (
	"sort"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Offer is what can be provisioned: a machine type in a zone, as a spot
// instance or on demand.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// pricedOffer is an offer with its price per CPU.
type pricedOffer struct {
	Offer
	price float64
}

// offersByPrice lists all offers, the cheapest first.
func offersByPrice(types []wire.MachineType) []pricedOffer {
	var offers []pricedOffer
	for _, t := range types {
		for _, zone := range t.Zones {
			cpus := max(t.CPUs, 1)
			if t.SpotPrice > 0 {
				offers = append(offers, pricedOffer{Offer{t.Name, zone, true}, t.SpotPrice / cpus})
			}
			offers = append(offers, pricedOffer{Offer{t.Name, zone, false}, t.Price / cpus})
		}
	}
	sort.SliceStable(offers, func(i, k int) bool { return offers[i].price < offers[k].price })
	return offers
}

// cheapest returns the cheapest offer that the demand allows and that has
// capacity; among equals the one that the plan has the fewest of, to spread
// machines over zones.
func (p *planner) cheapest(d *Demand) (pricedOffer, bool) {
	var best *pricedOffer
	for i := range p.offers {
		o := &p.offers[i]
		if !d.allows(o.Offer) || p.in.Unavailable(o.Offer) || !placement.MachineCapacity(p.types[o.Type]).Fits(d.Request) {
			continue
		}
		if best == nil || o.price == best.price && p.plan.ScaleOut[o.Offer] < p.plan.ScaleOut[best.Offer] {
			best = o
		}
		if o.price > best.price {
			break
		}
	}
	if best == nil {
		return pricedOffer{}, false
	}
	return *best, true
}
