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

type pricedOffering struct {
	Offering
	pricePerCPU float64
}

// offeringsByPrice returns all offers, sorted by ascending price per CPU.
func offeringsByPrice(types []wire.MachineType) []pricedOffering {
	var offerings []pricedOffering
	for _, t := range types {
		for _, zone := range t.Zones {
			cpus := max(t.CPUs, 1)
			if t.SpotPrice > 0 {
				offerings = append(offerings, pricedOffering{Offering{t.Name, zone, true}, t.SpotPrice / cpus})
			}
			offerings = append(offerings, pricedOffering{Offering{t.Name, zone, false}, t.Price / cpus})
		}
	}
	sort.SliceStable(offerings, func(i, k int) bool { return offerings[i].pricePerCPU < offerings[k].pricePerCPU })
	return offerings
}

// cheapestOffering returns the cheapest available offer that the demand allows and
// whose machines are large enough for a task. Among equally cheap offers it
// chooses the one with the fewest machines in the plan, to spread machines over
// zones.
func (p *planner) cheapestOffering(d *Demand) (pricedOffering, bool) {
	var best *pricedOffering
	for i := range p.offerings {
		o := &p.offerings[i]
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
		return pricedOffering{}, false
	}
	return *best, true
}
