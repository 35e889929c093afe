package autoscale

import (
	"sort"

	"switchshore.example/switchshore/wire"
)

// Offering is a machine type in a zone, either as spot or as on-demand instances.
type Offering struct {
	Type string
	Zone string
	Spot bool
}

// pricedOffering is an offering and its price per CPU.
type pricedOffering struct {
	Offering
	pricePerCPU float64
}

// offeringsByPrice returns all offerings of the machine types, by ascending price per CPU.
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

// cheapestOffering returns the cheapest available offering that the demand allows and
// whose machines are large enough for a task, or false if there is none. Among
// equally cheap ones it chooses the offering of which the plan provisions the fewest
// machines, to spread machines over zones.
func (p *planner) cheapestOffering(d *Demand) (pricedOffering, bool) {
	var best *pricedOffering
	for i := range p.offerings {
		o := &p.offerings[i]
		if host := p.newHost(o.Offering); p.input.IsUnavailable(o.Offering) || !d.Job.CanRunOn(&host) {
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
