package autoscale

import (
	"sort"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Offering is a machine type in a zone, either as a spot instance or on demand.
type Offering struct {
	Type string
	Zone string
	Spot bool
}

type pricedOffer struct {
	Offering
	pricePerCPU float64
}

// offersByPrice returns all offers, sorted by ascending price per CPU.
func offersByPrice(types []wire.MachineType) []pricedOffer {
	var offers []pricedOffer
	for _, t := range types {
		for _, zone := range t.Zones {
			cpus := max(t.CPUs, 1)
			if t.SpotPrice > 0 {
				offers = append(offers, pricedOffer{Offering{t.Name, zone, true}, t.SpotPrice / cpus})
			}
			offers = append(offers, pricedOffer{Offering{t.Name, zone, false}, t.Price / cpus})
		}
	}
	sort.SliceStable(offers, func(i, k int) bool { return offers[i].pricePerCPU < offers[k].pricePerCPU })
	return offers
}

// cheapestOffer returns the cheapest available offer that the demand allows and
// whose machines are large enough for a task. Among equally cheap offers it
// chooses the one with the fewest machines in the plan, to spread machines over
// zones.
func (p *planner) cheapestOffer(d *Demand) (pricedOffer, bool) {
	var best *pricedOffer
	for i := range p.offers {
		o := &p.offers[i]
		if !d.allows(o.Offering) || p.in.Unavailable(o.Offering) || !placement.MachineCapacity(p.types[o.Type]).Fits(d.Request) {
			continue
		}
		if best == nil || o.pricePerCPU == best.pricePerCPU && p.plan.ScaleOut[o.Offering] < p.plan.ScaleOut[best.Offering] {
			best = o
		}
		if o.pricePerCPU > best.pricePerCPU {
			break
		}
	}
	if best == nil {
		return pricedOffer{}, false
	}
	return *best, true
}
