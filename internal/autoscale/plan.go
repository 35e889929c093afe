package autoscale

import (
	"math"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Demand describes the tasks of one job that are waiting for capacity.
type Demand struct {
	// Job decides on which machines the tasks may run, and has the request of a task.
	Job               *placement.PendingJob
	Tasks             int
	EstimatedRunTimeS float64 // of a task, in seconds
	// StartWithinS is the time in seconds within which the tasks should start.
	StartWithinS float64
}

// Machine is the snapshot of an existing machine or of one that a provision call in
// flight requests.
type Machine struct {
	placement.Host
	ID   string              // empty if the machine is only requested
	Free placement.Resources // the part of Capacity that no task uses
	// RemainingCPUSeconds is the estimated remaining work of the machine's tasks: the
	// sum of their remaining run times, each multiplied by its CPUs.
	RemainingCPUSeconds float64
	// BootRemainingS is the expected time in seconds until the machine has booted, 0 if
	// it has.
	BootRemainingS float64
	// Schedulable reports whether new tasks may be assigned to the machine, now or
	// once it has booted.
	Schedulable bool
	// MayBeReleased is set if the machine has no tasks and the caller allows its release.
	MayBeReleased bool
	IdleFor       time.Duration // how long the machine has had no tasks
	Price         float64       // of the machine at the cloud; compared with that of other machines
}

// Input is the snapshot of the cluster that a plan is based on.
type Input struct {
	// Demand is the work that waits for capacity. NewPlan sorts it in place.
	Demand []Demand
	// Machines holds the existing and the requested machines, without those that are being released.
	Machines     []Machine
	MachineTypes []wire.MachineType // that the cloud offers
	// IsUnavailable reports whether an offering cannot be provisioned now.
	IsUnavailable func(Offering) bool
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
	ScaleOut map[Offering]int // number of machines to provision
	ScaleIn  []string         // IDs of the machines to release
}

// planner holds the state of one call of NewPlan. Its bins are in the order of
// input.Machines, followed by the machines that the plan provisions.
type planner struct {
	input       Input
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
		input: in, plan: Plan{ScaleOut: map[Offering]int{}}, typesByName: map[string]wire.MachineType{},
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
	for _, m := range p.input.Machines {
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
	return p.input.MaxMachines == 0 || p.machineCount < p.input.MaxMachines
}

// planDemand assigns tasks of the demand to the bins that can start them in time, and
// provisions machines for the other tasks. If it can't provision enough of them, it keeps machines
// that exclude the job.
func (p *planner) planDemand(d *Demand) {
	p.keepExcluding(d, p.provisionFor(d, p.assignToBins(d, d.Tasks, d.StartWithinS)))
}

// provisionFor provisions machines for tasks of the demand, and returns the number of tasks for which
// it can't.
func (p *planner) provisionFor(d *Demand, tasks int) int {
	retriedWithLongerWait := false
	for tasks > 0 && p.belowMaxMachines() {
		offering, ok := p.cheapestOffering(d)
		if !ok {
			return tasks
		}
		if lowest := p.offerings[0].pricePerCPU; offering.pricePerCPU > lowest && !retriedWithLongerWait {
			// Before provisioning an expensive offering, try once more to assign the tasks
			// to the bins, with a longer wait: the more expensive the offering, the longer.
			retriedWithLongerWait = true
			tasks = p.assignToBins(d, tasks, d.StartWithinS*math.Sqrt(offering.pricePerCPU/lowest))
			continue
		}
		tasks -= p.addMachine(offering.Offering, d, tasks)
	}
	return tasks
}

// keepExcluding marks bins for the tasks that could be placed there but for an earlier failure of their
// job. The exclusion ends before the cloud may have another machine, so they must not be released.
func (p *planner) keepExcluding(d *Demand, tasks int) {
	for i := range p.bins {
		b := &p.bins[i]
		host := b.host
		host.ExcludedJobs = nil
		if tasks > 0 && b.schedulable && d.Job.CanRunOn(&host) {
			tasks -= b.assignTasks(d, tasks, d.StartWithinS)
		}
	}
}

// assignToBins assigns to the bins as many of the tasks as they can start within
// withinS seconds, and returns the number of tasks left.
func (p *planner) assignToBins(d *Demand, tasks int, withinS float64) int {
	for i := range p.bins {
		b := &p.bins[i]
		if tasks > 0 && b.schedulable && d.Job.CanRunOn(&b.host) {
			tasks -= b.assignTasks(d, tasks, withinS)
		}
	}
	return tasks
}

// addMachine adds one machine of the offering to the plan, assigns tasks to it, and
// returns the number of assigned tasks. It returns 1 if the machine can run none in
// time, so that the loop in planDemand ends.
func (p *planner) addMachine(o Offering, d *Demand, tasks int) int {
	host := p.newHost(o)
	b := bin{host: host, free: host.Capacity, schedulable: true}
	assigned := max(1, b.assignTasks(d, tasks, d.StartWithinS))
	p.bins = append(p.bins, b)
	p.plan.ScaleOut[o]++
	p.machineCount++
	return assigned
}

// newHost returns a machine of the offering without tasks.
func (p *planner) newHost(o Offering) placement.Host {
	return placement.Host{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Capacity: placement.MachineCapacity(p.typesByName[o.Type])}
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
	for i := range p.input.Demand {
		d := &p.input.Demand[i]
		waitingCPUs := float64(d.Tasks)*d.Job.Request.CPUs - freeCPUs
		freeCPUs = max(0, -waitingCPUs)
		for waitingCPUs > 0 && schedulableCPUs < p.input.ArrivalCPUs && p.belowMaxMachines() {
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
