package autoscale

import (
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Demand is the work of one job that waits for capacity.
type Demand struct {
	Tasks     int
	Request   placement.Resources
	EstimateS float64
	// MachineTypes lists the allowed types; empty allows all.
	MachineTypes []string
	// Zone is the only allowed zone; empty allows all.
	Zone string
	// Spot allows spot instances.
	Spot bool
	// StartWithinS is the time within which the tasks should start.
	StartWithinS float64
	// AvoidMachines names machines where the job has failed. They are no capacity
	// to it: otherwise a single faulty machine would keep it waiting forever.
	AvoidMachines map[string]bool
}

// allows reports whether the work may run on a machine of the offer.
func (d *Demand) allows(o Offer) bool {
	if o.Spot && !d.Spot || d.Zone != "" && d.Zone != o.Zone {
		return false
	}
	return len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, o.Type)
}

// Machine is a machine as the planner sees it.
type Machine struct {
	ID       string
	Offer    Offer
	Capacity placement.Resources
	Free     placement.Resources
	// RemainingCPUSeconds is the work still to be done there, in CPU seconds.
	RemainingCPUSeconds float64
	// BootRemainingS is the expected time until a booting machine is up.
	BootRemainingS float64
	// Schedulable: it takes new tasks, now or once it has booted.
	Schedulable bool
	// Idle: no task may be there.
	Idle    bool
	IdleFor time.Duration
	Price   float64
}

// Input is a snapshot.
type Input struct {
	// Demand is sorted by NewPlan.
	Demand       []Demand
	Machines     []Machine
	MachineTypes []wire.MachineType
	// Unavailable reports which offers had no capacity recently.
	Unavailable func(Offer) bool
	// ReserveCPUs is the number of CPUs to be kept, by the smoothed demand.
	ReserveCPUs float64
	// InflowCPUs is the number of CPUs that new work keeps busy, by its recent rate.
	InflowCPUs float64
	// ScaleInIdleTime is how long an idle machine is kept.
	ScaleInIdleTime time.Duration
	// MaxMachines bounds the machines, 0 for no bound.
	MaxMachines int
}

// Plan is the number of machines to provision of each offer, and the IDs of
// those to release.
type Plan struct {
	ScaleOut map[Offer]int
	ScaleIn  []string
}

// planner is a plan in the making.
type planner struct {
	in     Input
	plan   Plan
	types  map[string]wire.MachineType
	offers []pricedOffer
	bins   []bin
	// machineCount includes the machines to be provisioned.
	machineCount int
}

// NewPlan plans. It packs the demand, the most urgent first, into the existing
// machines, up to what they can start in time, and provisions the cheapest
// offer for the rest.
func NewPlan(in Input) Plan {
	p := newPlanner(in)
	openCPUs, freeCPUs := p.schedulableCPUs()
	sort.SliceStable(in.Demand, func(i, k int) bool { return in.Demand[i].StartWithinS < in.Demand[k].StartWithinS })
	for i := range in.Demand {
		p.place(&in.Demand[i])
	}
	p.scaleOutForInflow(openCPUs, freeCPUs)
	// With several hundred machines something is provisioned nearly always:
	// machines without demand are released all the same.
	p.plan.ScaleIn = scaleIn(&in, p.bins, openCPUs)
	return p.plan
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, plan: Plan{ScaleOut: map[Offer]int{}}, types: map[string]wire.MachineType{},
		offers: offersByPrice(in.MachineTypes), bins: make([]bin, 0, len(in.Machines)), machineCount: len(in.Machines),
	}
	for _, t := range in.MachineTypes {
		p.types[t.Name] = t
	}
	for i := range in.Machines {
		p.bins = append(p.bins, newBin(&in.Machines[i]))
	}
	return p
}

// schedulableCPUs returns the CPUs of the schedulable machines, and those free now.
func (p *planner) schedulableCPUs() (open, free float64) {
	for _, m := range p.in.Machines {
		if !m.Schedulable {
			continue
		}
		open += m.Capacity.CPUs
		if m.BootRemainingS == 0 {
			free += m.Free.CPUs
		}
	}
	return open, free
}

// mayScaleOut reports whether another machine is within the bound.
func (p *planner) mayScaleOut() bool {
	return p.in.MaxMachines == 0 || p.machineCount < p.in.MaxMachines
}

// place gives the machines what they can start of the demand in time, and
// provisions others for the rest.
func (p *planner) place(d *Demand) {
	tasks := p.fill(d, d.Tasks, d.StartWithinS)
	waited := false
	for tasks > 0 && p.mayScaleOut() {
		offer, ok := p.cheapest(d)
		if !ok {
			return
		}
		if lowest := p.offers[0].price; offer.price > lowest && !waited {
			// The more expensive the offer, the longer the work waits for the
			// existing machines.
			waited = true
			tasks = p.fill(d, tasks, d.StartWithinS*math.Sqrt(offer.price/lowest))
			continue
		}
		tasks -= p.scaleOut(offer.Offer, d, tasks)
	}
}

// fill gives the machines as many of the tasks as they can start within a time,
// and returns how many are left.
func (p *planner) fill(d *Demand, tasks int, withinS float64) int {
	for i := range p.bins {
		b := &p.bins[i]
		if tasks > 0 && b.schedulable && !d.AvoidMachines[b.machine] && d.allows(b.offer) && b.capacity.Fits(d.Request) {
			tasks -= b.add(d, tasks, withinS)
		}
	}
	return tasks
}

// scaleOut provisions one machine, and returns for how many of the tasks it is.
func (p *planner) scaleOut(o Offer, d *Demand, tasks int) int {
	size := placement.MachineCapacity(p.types[o.Type])
	b := bin{offer: o, capacity: size, free: size, schedulable: true}
	added := max(1, b.add(d, tasks, d.StartWithinS))
	p.bins = append(p.bins, b)
	p.plan.ScaleOut[o]++
	p.machineCount++
	return added
}

// scaleOutForInflow provisions for the work that keeps coming. While work waits
// that fits nowhere, fewer CPUs than it needs on average would let the backlog
// grow until all of it is urgent at once: a boot too late, and with more and
// more expensive machines than needed. Only the cheapest offers are provisioned
// this way; expensive ones are for urgent work.
func (p *planner) scaleOutForInflow(openCPUs, freeCPUs float64) {
	for o, n := range p.plan.ScaleOut {
		openCPUs += float64(n) * p.types[o.Type].CPUs
	}
	for i := range p.in.Demand {
		d := &p.in.Demand[i]
		waiting := float64(d.Tasks)*d.Request.CPUs - freeCPUs
		freeCPUs = max(0, -waiting)
		for waiting > 0 && openCPUs < p.in.InflowCPUs && p.mayScaleOut() {
			offer, ok := p.cheapest(d)
			if !ok || offer.price > p.offers[0].price {
				break
			}
			p.plan.ScaleOut[offer.Offer]++
			p.machineCount++
			cpus := p.types[offer.Type].CPUs
			waiting -= cpus
			openCPUs += cpus
		}
	}
}
