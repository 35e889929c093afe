// Package provision decides which machines to rent and which to give back.
// It is pure: it works on a snapshot of demand and machines.
package provision

import (
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Offer is a type in a zone, spot or ordinary.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Demand is the work of one job that waits for room.
type Demand struct {
	Tasks     int
	Need      sched.Resources
	EstimateS float64
	Types     []string
	Zone      string
	Spot      bool
	// Limit is how many of the tasks the team's limit lets run at once.
	Limit int
	// HorizonS overrides the planning horizon for pressing work, 0 for none.
	HorizonS float64
}

// Machine is a machine as the planner sees it.
type Machine struct {
	ID    string
	Offer Offer
	Total sched.Resources
	// BusyS is the work in CPU seconds still to be done there.
	BusyS float64
	// ReadyInS is the time until a booting machine is expected to be up.
	ReadyInS float64
	Open     bool // takes new tasks now or once booted
	Idle     bool // no task may be there
	IdleFor  time.Duration
	Price    float64
}

// Plan is what to do.
type Plan struct {
	Rent   map[Offer]int
	Return []string
}

// Input is a snapshot.
type Input struct {
	Demand   []Demand
	Machines []Machine
	Types    []wire.MachineType
	// Refused tells which offers had no capacity just now.
	Refused  func(Offer) bool
	HorizonS float64
	// Reserve is the number of CPUs wanted on top, by smoothed demand.
	ReserveCPUs float64
	KeepIdle    time.Duration
	// MaxMachines caps the machines, 0 for no cap.
	MaxMachines int
}

// bin is a machine, existing or to be rented, being filled with demand.
type bin struct {
	offer Offer
	total sched.Resources
	left  float64 // CPU seconds left within the horizon
	open  bool
}

// Make plans. It fills the demand into the machines there are, up to what
// they can do within the horizon, and rents the cheapest offer for the rest.
func Make(in Input) Plan {
	plan := Plan{Rent: map[Offer]int{}}
	types := map[string]wire.MachineType{}
	for _, t := range in.Types {
		types[t.Name] = t
	}
	bins := make([]bin, 0, len(in.Machines))
	openCPUs := 0.0
	for _, m := range in.Machines {
		b := bin{offer: m.Offer, total: m.Total, open: m.Open}
		b.left = m.Total.CPUs*(in.HorizonS-min(m.ReadyInS, in.HorizonS*0.5)) - m.BusyS
		bins = append(bins, b)
		if m.Open {
			openCPUs += m.Total.CPUs
		}
	}
	offers := offersByPrice(in.Types)
	count := len(in.Machines)
	rented := 0.0
	for _, d := range in.Demand {
		tasks := min(d.Tasks, d.Limit)
		each := max(d.EstimateS, tuning.MinimumEstimate) * d.Need.CPUs
		for i := range bins {
			b := &bins[i]
			if tasks == 0 {
				break
			}
			if !b.open || !allowed(d, b.offer) || !b.total.Fits(d.Need) || b.left <= 0 {
				continue
			}
			n := min(tasks, max(1, int(b.left*usable(b.total, d.Need)/each)))
			tasks -= n
			b.left -= float64(n) * each
		}
		for tasks > 0 {
			if in.MaxMachines > 0 && count >= in.MaxMachines {
				break
			}
			o, ok := cheapest(offers, d, types, in.Refused, plan.Rent)
			if !ok {
				break
			}
			t := types[o.Type]
			b := bin{offer: o, total: total(t), open: true}
			b.left = b.total.CPUs * in.HorizonS
			n := min(tasks, max(1, int(b.left*usable(b.total, d.Need)/each)))
			tasks -= n
			b.left -= float64(n) * each
			bins = append(bins, b)
			plan.Rent[o]++
			count++
			rented += b.total.CPUs
		}
	}
	if rented == 0 {
		plan.Return = surplus(in, openCPUs)
	}
	return plan
}

// usable is the share of a machine's CPUs that tasks of this shape can use.
func usable(total, need sched.Resources) float64 {
	if need.CPUs <= 0 || total.CPUs <= 0 {
		return 1
	}
	slots := int(total.CPUs/need.CPUs + 1e-6)
	if need.MemoryGB > 0 {
		slots = min(slots, int(total.MemoryGB/need.MemoryGB+1e-6))
	}
	if need.GPUs > 0 {
		slots = min(slots, int(total.GPUs/need.GPUs+1e-6))
	}
	return float64(slots) * need.CPUs / total.CPUs
}

func total(t wire.MachineType) sched.Resources {
	return sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

func allowed(d Demand, o Offer) bool {
	return (!o.Spot || d.Spot) && (d.Zone == "" || d.Zone == o.Zone) && (len(d.Types) == 0 || slices.Contains(d.Types, o.Type))
}

type priced struct {
	Offer
	price float64 // per CPU
}

func offersByPrice(types []wire.MachineType) []priced {
	var all []priced
	for _, t := range types {
		for _, z := range t.Zones {
			cpus := max(t.CPUs, 1)
			if t.SpotPrice > 0 {
				all = append(all, priced{Offer{t.Name, z, true}, t.SpotPrice / cpus})
			}
			all = append(all, priced{Offer{t.Name, z, false}, t.Price / cpus})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].price < all[j].price })
	return all
}

// cheapest picks the cheapest offer that the demand allows and that was not
// refused just now; among equals the one rented least, to spread over zones.
func cheapest(offers []priced, d Demand, types map[string]wire.MachineType, refused func(Offer) bool, rent map[Offer]int) (Offer, bool) {
	var best *priced
	for i := range offers {
		o := &offers[i]
		if !allowed(d, o.Offer) || refused(o.Offer) || !total(types[o.Type]).Fits(d.Need) {
			continue
		}
		if best == nil || o.price == best.price && rent[o.Offer] < rent[best.Offer] {
			best = o
		}
		if o.price > best.price {
			break
		}
	}
	if best == nil {
		return Offer{}, false
	}
	return best.Offer, true
}

// surplus picks idle machines to return, dearest first, as long as the rest
// covers the smoothed demand.
func surplus(in Input, openCPUs float64) []string {
	idle := make([]Machine, 0)
	for _, m := range in.Machines {
		if m.Idle && (m.IdleFor >= in.KeepIdle || !m.Open) {
			idle = append(idle, m)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return idle[i].Price > idle[j].Price })
	var out []string
	for _, m := range idle {
		if m.Open {
			if openCPUs-m.Total.CPUs < in.ReserveCPUs {
				continue
			}
			openCPUs -= m.Total.CPUs
		}
		out = append(out, m.ID)
	}
	return out
}
