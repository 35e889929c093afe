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
	EstimateS float64             // estimated run time of a task in seconds
	// MachineTypes lists the allowed machine types; empty allows all.
	MachineTypes []string
	// Zone is the only allowed zone; empty allows all.
	Zone string
	// Spot also allows spot instances.
	Spot bool
	// StartWithinS is the time in seconds within which the tasks should start.
	StartWithinS float64
	// AvoidMachines contains the IDs of the machines on which the job has failed. The
	// planner assigns none of the job's tasks to them: if it counted a faulty machine as
	// capacity, it might never provision another one, and the job would wait forever.
	AvoidMachines map[string]bool
}

// allows reports whether the tasks may run on machines of the offering.
func (d *Demand) allows(o Offering) bool {
	if o.Spot && !d.Spot || d.Zone != "" && d.Zone != o.Zone {
		return false
	}
	return len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, o.Type)
}

// Machine is the snapshot of an existing machine or of one that a provision call in
// flight requests.
type Machine struct {
	ID       string // empty if the machine is only requested
	Offering Offering
	Capacity placement.Resources
	Free     placement.Resources
	// RemainingCPUSeconds is the estimated remaining work of the machine's tasks: the
	// sum of their remaining run times, each multiplied by its CPUs.
	RemainingCPUSeconds float64
	// BootRemainingS is the expected time in seconds until the machine has booted, 0 if
	// it has.
	BootRemainingS float64
	// Schedulable reports whether new tasks may be assigned to the machine, now or
	// once it has booted.
	Schedulable bool
	// Idle reports whether the machine has no tasks and may be released.
	Idle    bool
	IdleFor time.Duration // how long the machine has had no tasks
	Price   float64
}

// Input is the snapshot of the cluster that a plan is based on.
type Input struct {
	// Demand is the work that waits for capacity. NewPlan sorts it in place.
	Demand       []Demand
	Machines     []Machine
	MachineTypes []wire.MachineType
	// Unavailable reports whether an offering cannot be provisioned now.
	Unavailable func(Offering) bool
	// ReserveCPUs is the number of schedulable CPUs that scale-in must keep. It is the
	// smoothed number of CPUs in use.
	ReserveCPUs float64
	// ArrivalCPUs is how many CPUs are needed to run work as fast as it has recently
	// arrived.
	ArrivalCPUs float64
	// ScaleInIdleTime is how long a machine must have been idle before it is released.
	ScaleInIdleTime time.Duration
	// MaxMachines limits the number of machines; 0 means no limit.
	MaxMachines int
}

// Plan is the number of machines to provision of each offering, and the IDs of the
// machines to release.
type Plan struct {
	ScaleOut map[Offering]int
	ScaleIn  []string
}

// planner holds the state of one call of NewPlan. Its bins are in the order of
// in.Machines, followed by the machines that the plan provisions.
type planner struct {
	in          Input
	plan        Plan
	typesByName map[string]wire.MachineType
	offerings   []pricedOffering
	bins        []bin
	// machineCount is the number of existing and requested machines and of those that
	// the plan provisions.
	machineCount int
}

// NewPlan returns a plan for the input. It assigns the waiting tasks, the most
// urgent first, to existing and requested machines that can start them in time.
// For the other tasks it provisions machines of the cheapest offerings. It releases
// idle machines to which it assigned no tasks.
func NewPlan(in Input) Plan {
	p := newPlanner(in)
	schedulableCPUs, freeCPUs := p.schedulableCPUs()
	sort.SliceStable(in.Demand, func(i, k int) bool { return in.Demand[i].StartWithinS < in.Demand[k].StartWithinS })
	for i := range in.Demand {
		p.planDemand(&in.Demand[i])
	}
	p.scaleOutForArrivals(schedulableCPUs, freeCPUs)
	// A plan may both provision and release machines. With several hundred machines,
	// nearly every plan provisions some, so releases could otherwise wait for very long.
	p.plan.ScaleIn = chooseReleases(&in, p.bins, schedulableCPUs)
	return p.plan
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, plan: Plan{ScaleOut: map[Offering]int{}}, typesByName: map[string]wire.MachineType{},
		offerings: offeringsByPrice(in.MachineTypes), bins: make([]bin, 0, len(in.Machines)), machineCount: len(in.Machines),
	}
	for _, t := range in.MachineTypes {
		p.typesByName[t.Name] = t
	}
	for i := range in.Machines {
		p.bins = append(p.bins, newBin(&in.Machines[i]))
	}
	return p
}

// schedulableCPUs returns the total CPUs of the schedulable machines, and the free
// CPUs of the schedulable machines that have booted.
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

// belowMaxMachines reports whether MaxMachines allows another machine.
func (p *planner) belowMaxMachines() bool {
	return p.in.MaxMachines == 0 || p.machineCount < p.in.MaxMachines
}

// planDemand assigns tasks of the demand to the bins that can start them in time, and
// provisions machines for the other tasks.
func (p *planner) planDemand(d *Demand) {
	tasks := p.assignToBins(d, d.Tasks, d.StartWithinS)
	retriedWithLongerWait := false
	for tasks > 0 && p.belowMaxMachines() {
		offering, ok := p.cheapestOffering(d)
		if !ok {
			return
		}
		if lowest := p.offerings[0].pricePerCPU; offering.pricePerCPU > lowest && !retriedWithLongerWait {
			// Before provisioning an expensive offering, try once more to assign the tasks
			// to the bins, with a longer wait: the more expensive the offering, the longer.
			retriedWithLongerWait = true
			tasks = p.assignToBins(d, tasks, d.StartWithinS*math.Sqrt(offering.pricePerCPU/lowest))
			continue
		}
		tasks -= p.scaleOut(offering.Offering, d, tasks)
	}
}

// assignToBins assigns to the bins as many of the tasks as they can start within
// withinS seconds, and returns the number of tasks left.
func (p *planner) assignToBins(d *Demand, tasks int, withinS float64) int {
	for i := range p.bins {
		b := &p.bins[i]
		if tasks > 0 && b.schedulable && !d.AvoidMachines[b.machineID] && d.allows(b.offering) && b.capacity.Fits(d.Request) {
			tasks -= b.assignTasks(d, tasks, withinS)
		}
	}
	return tasks
}

// scaleOut adds one machine of the offering to the plan, assigns tasks to it, and
// returns the number of assigned tasks. It returns 1 if the machine can run none in
// time, so that the loop in planDemand ends.
func (p *planner) scaleOut(o Offering, d *Demand, tasks int) int {
	capacity := placement.MachineCapacity(p.typesByName[o.Type])
	b := bin{offering: o, capacity: capacity, free: capacity, schedulable: true}
	assigned := max(1, b.assignTasks(d, tasks, d.StartWithinS))
	p.bins = append(p.bins, b)
	p.plan.ScaleOut[o]++
	p.machineCount++
	return assigned
}

// scaleOutForArrivals provisions machines until there are as many schedulable CPUs as
// ArrivalCPUs, but only while more tasks wait than fit into the free CPUs. With fewer
// CPUs, the backlog would grow until all of it became urgent at once. Machines
// provisioned only then would be ready one boot time too late, and more of them would
// be needed, at higher prices. The planner provisions only the cheapest offerings here;
// more expensive ones are reserved for urgent work.
func (p *planner) scaleOutForArrivals(schedulableCPUs, freeCPUs float64) {
	for o, n := range p.plan.ScaleOut {
		schedulableCPUs += float64(n) * p.typesByName[o.Type].CPUs
	}
	for i := range p.in.Demand {
		d := &p.in.Demand[i]
		waitingCPUs := float64(d.Tasks)*d.Request.CPUs - freeCPUs
		freeCPUs = max(0, -waitingCPUs)
		for waitingCPUs > 0 && schedulableCPUs < p.in.ArrivalCPUs && p.belowMaxMachines() {
			offering, ok := p.cheapestOffering(d)
			if !ok || offering.pricePerCPU > p.offerings[0].pricePerCPU {
				break
			}
			p.plan.ScaleOut[offering.Offering]++
			p.machineCount++
			cpus := p.typesByName[offering.Type].CPUs
			waitingCPUs -= cpus
			schedulableCPUs += cpus
		}
	}
}
