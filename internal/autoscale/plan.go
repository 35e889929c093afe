package autoscale

import (
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Demand describes the tasks of one job that are waiting for capacity.
type Demand struct {
	Tasks     int
	Request   placement.Resources // per task
	EstimateS float64             // estimated run time of a task
	// MachineTypes lists the allowed machine types; empty allows all.
	MachineTypes []string
	// Zone is the only allowed zone; empty allows all.
	Zone string
	// Spot allows spot instances.
	Spot bool
	// StartWithinS is the time in seconds within which the tasks should start.
	StartWithinS float64
	// AvoidMachines contains the machines on which the job has failed. The planner
	// does not count them as capacity for the job: otherwise a single faulty machine
	// could keep the job waiting forever.
	AvoidMachines map[string]bool
}

// allows reports whether the tasks may run on a machine of the offer.
func (d *Demand) allows(o Offering) bool {
	if o.Spot && !d.Spot || d.Zone != "" && d.Zone != o.Zone {
		return false
	}
	return len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, o.Type)
}

// Machine describes an existing or requested machine.
type Machine struct {
	ID       string
	Offering Offering
	Capacity placement.Resources
	Free     placement.Resources
	// RemainingCPUSeconds is the estimated remaining work of the machine's tasks.
	RemainingCPUSeconds float64
	// BootRemainingS is the expected time in seconds until a booting machine is up.
	BootRemainingS float64
	// Schedulable reports whether new tasks may be assigned to the machine, now or
	// once it has booted.
	Schedulable bool
	// Idle reports whether the machine has no tasks and may be released.
	Idle    bool
	IdleFor time.Duration
	Price   float64
}

// Input is the snapshot of the cluster that a plan is based on.
type Input struct {
	// Demand is sorted in place by NewPlan.
	Demand       []Demand
	Machines     []Machine
	MachineTypes []wire.MachineType
	// Unavailable reports whether an offer cannot be provisioned now.
	Unavailable func(Offering) bool
	// ReserveCPUs is the number of CPUs that scale-in must keep. It is the smoothed
	// number of CPUs in use.
	ReserveCPUs float64
	// ArrivalCPUs is the number of CPUs that jobs arriving at the recent rate keep busy.
	ArrivalCPUs float64
	// ScaleInIdleTime is how long a machine must be idle before it is released.
	ScaleInIdleTime time.Duration
	// MaxMachines limits the number of machines; 0 means no limit.
	MaxMachines int
}

// Plan is the number of machines to provision of each offer, and the IDs of the
// machines to release.
type Plan struct {
	ScaleOut map[Offering]int
	ScaleIn  []string
}

// planner holds the state of one call of NewPlan.
type planner struct {
	in        Input
	plan      Plan
	types     map[string]wire.MachineType
	offerings []pricedOffering
	bins      []bin
	// machineCount includes the machines that the plan provisions.
	machineCount int
}

// NewPlan assigns demand, the most urgent first, to the existing machines as far
// as they can start it in time. For the rest it provisions machines of the
// cheapest offers. It releases idle machines to which no demand was assigned.
func NewPlan(in Input) Plan {
	p := newPlanner(in)
	schedulableCPUs, freeCPUs := p.schedulableCPUs()
	sort.SliceStable(in.Demand, func(i, k int) bool { return in.Demand[i].StartWithinS < in.Demand[k].StartWithinS })
	for i := range in.Demand {
		p.planDemand(&in.Demand[i])
	}
	p.scaleOutForArrivals(schedulableCPUs, freeCPUs)
	// Scale-in does not wait for a plan without scale-out: with several hundred
	// machines, nearly every plan provisions some.
	p.plan.ScaleIn = chooseReleases(&in, p.bins, schedulableCPUs)
	return p.plan
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, plan: Plan{ScaleOut: map[Offering]int{}}, types: map[string]wire.MachineType{},
		offerings: offeringsByPrice(in.MachineTypes), bins: make([]bin, 0, len(in.Machines)), machineCount: len(in.Machines),
	}
	for _, t := range in.MachineTypes {
		p.types[t.Name] = t
	}
	for i := range in.Machines {
		p.bins = append(p.bins, newBin(&in.Machines[i]))
	}
	return p
}

// schedulableCPUs returns the total CPUs of the schedulable machines, and the free
// CPUs of those that have booted.
func (p *planner) schedulableCPUs() (total, free float64) {
	for _, m := range p.in.Machines {
		if !m.Schedulable {
			continue
		}
		total += m.Capacity.CPUs
		if m.BootRemainingS == 0 {
			free += m.Free.CPUs
		}
	}
	return total, free
}

// belowMaxMachines reports whether another machine is within MaxMachines.
func (p *planner) belowMaxMachines() bool {
	return p.in.MaxMachines == 0 || p.machineCount < p.in.MaxMachines
}

// planDemand assigns to the bins the tasks that they can start in time, and
// provisions machines for the rest.
func (p *planner) planDemand(d *Demand) {
	tasks := p.assignToBins(d, d.Tasks, d.StartWithinS)
	retriedWithLongerWait := false
	for tasks > 0 && p.belowMaxMachines() {
		offering, ok := p.cheapestOffering(d)
		if !ok {
			return
		}
		if lowest := p.offerings[0].pricePerCPU; offering.pricePerCPU > lowest && !retriedWithLongerWait {
			// Before it provisions an expensive offer, the planner lets the tasks wait
			// longer for existing machines: the more expensive the offer, the longer.
			retriedWithLongerWait = true
			tasks = p.assignToBins(d, tasks, d.StartWithinS*math.Sqrt(offering.pricePerCPU/lowest))
			continue
		}
		tasks -= p.scaleOut(offering.Offering, d, tasks)
	}
}

// assignToBins assigns as many of the tasks as the bins can start within withinS,
// and returns the number of tasks left.
func (p *planner) assignToBins(d *Demand, tasks int, withinS float64) int {
	for i := range p.bins {
		b := &p.bins[i]
		if tasks > 0 && b.schedulable && !d.AvoidMachines[b.machineID] && d.allows(b.offering) && b.capacity.Fits(d.Request) {
			tasks -= b.assignTasks(d, tasks, withinS)
		}
	}
	return tasks
}

// scaleOut adds one machine of the offer to the plan, assigns tasks to it, and
// returns their number.
func (p *planner) scaleOut(o Offering, d *Demand, tasks int) int {
	capacity := placement.MachineCapacity(p.types[o.Type])
	b := bin{offering: o, capacity: capacity, free: capacity, schedulable: true}
	assigned := max(1, b.assignTasks(d, tasks, d.StartWithinS))
	p.bins = append(p.bins, b)
	p.plan.ScaleOut[o]++
	p.machineCount++
	return assigned
}

// scaleOutForArrivals provisions machines until the schedulable CPUs cover the
// inflow, as long as tasks are waiting that do not fit into free CPUs. With
// fewer CPUs, the backlog would grow until all of it is urgent at once; machines
// would then be up one boot time too late, and more of them, at higher prices,
// would be needed. It uses only the cheapest offers; expensive offers are
// reserved for urgent work.
func (p *planner) scaleOutForArrivals(schedulableCPUs, freeCPUs float64) {
	for o, n := range p.plan.ScaleOut {
		schedulableCPUs += float64(n) * p.types[o.Type].CPUs
	}
	for i := range p.in.Demand {
		d := &p.in.Demand[i]
		waitingCPUs := float64(d.Tasks)*d.Request.CPUs - freeCPUs
		freeCPUs = max(0, -waitingCPUs)
		for waitingCPUs > 0 && schedulableCPUs < p.in.ArrivalCPUs && p.belowMaxMachines() {
			offer, ok := p.cheapestOffering(d)
			if !ok || offer.pricePerCPU > p.offerings[0].pricePerCPU {
				break
			}
			p.plan.ScaleOut[offer.Offering]++
			p.machineCount++
			cpus := p.types[offer.Type].CPUs
			waitingCPUs -= cpus
			schedulableCPUs += cpus
		}
	}
}
