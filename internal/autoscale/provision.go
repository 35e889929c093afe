// Package autoscale decides which machines to rent and which to give back.
// It is pure: it works on a snapshot of demand and machines.
package autoscale

import (
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
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
	Tasks        int
	Request      placement.Resources
	EstimateS    float64
	MachineTypes []string
	Zone         string
	Spot         bool
	// StartWithinS is the time within which the tasks should begin.
	StartWithinS float64
	// AvoidMachines names machines where the job has failed: their room is none to it.
	// Counted as room, a faulty machine that is alone would keep it waiting for ever.
	AvoidMachines map[string]bool
}

// Machine is a machine as the planner sees it.
type Machine struct {
	ID       string
	Offer    Offer
	Capacity placement.Resources
	Free     placement.Resources
	// BusyS is the work in CPU seconds still to be done there.
	BusyS float64
	// BootRemainingS is the time until a booting machine is expected to be up.
	BootRemainingS float64
	Schedulable    bool // takes new tasks now or once booted
	Idle           bool // no task may be there
	IdleFor        time.Duration
	Price          float64
}

// Plan is what to do.
type Plan struct {
	ScaleOut map[Offer]int
	ScaleIn  []string
}

// Input is a snapshot.
type Input struct {
	Demand       []Demand
	Machines     []Machine
	MachineTypes []wire.MachineType
	// Unavailable tells which offers had no capacity just now.
	Unavailable func(Offer) bool
	// Reserve is the number of CPUs wanted on top, by smoothed demand.
	ReserveCPUs float64
	// InflowCPUs are needed for the work that keeps coming, by its recent rate.
	InflowCPUs      float64
	ScaleInIdleTime time.Duration
	// MaxMachines caps the machines, 0 for no cap.
	MaxMachines int
}

// bin is a machine, existing or to be rented, being filled with demand.
type bin struct {
	id          string // empty: not there yet
	offer       Offer
	capacity    placement.Resources
	free        placement.Resources // room that nothing takes yet
	busyS       float64             // CPU seconds of work given to it
	readyS      float64
	schedulable bool
	used        bool // demand was given to it
}

// take gives the bin as many of the tasks as it can start at once or begin
// within the horizon, and returns how many.
func (b *bin) take(d Demand, tasks int, horizonS float64) int {
	each := max(d.EstimateS, tuning.MinimumEstimateS) * d.Request.CPUs
	left := b.capacity.CPUs*usableShare(b.capacity, d.Request)*(horizonS-min(b.readyS, horizonS/2)) - b.busyS
	n := max(parallelTasks(b.free, d.Request), int(left/each))
	n = max(0, min(n, tasks))
	b.used = b.used || n > 0
	b.busyS += float64(n) * each
	b.free = b.free.Add(d.Request, -float64(n))
	return n
}

// planner is a plan in the making.
type planner struct {
	in           Input
	plan         Plan
	types        map[string]wire.MachineType
	offers       []pricedOffer
	bins         []bin
	machineCount int // machines, those to be rented included
}

// NewPlan plans. It fills the demand, the most urgent first, into the machines
// there are, up to what they can begin within the horizon, and rents the
// cheapest offer for the rest.
func NewPlan(in Input) Plan {
	p := newPlanner(in)
	openCPUs, freeCPUs := p.openCPUs()
	sort.SliceStable(in.Demand, func(i, k int) bool { return in.Demand[i].StartWithinS < in.Demand[k].StartWithinS })
	for _, d := range in.Demand {
		p.place(d)
	}
	p.in.scaleOutForInflow(&p.plan, openCPUs, freeCPUs, p.machineCount, p.offers, p.types)
	// At several hundred machines something is rented nearly always, somewhere:
	// machines that the demand has no use for go back all the same.
	p.plan.ScaleIn = scaleIn(in, p.bins, openCPUs)
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
	for _, m := range in.Machines {
		p.bins = append(p.bins, bin{id: m.ID, offer: m.Offer, capacity: m.Capacity, free: m.Free, busyS: m.BusyS, readyS: m.BootRemainingS, schedulable: m.Schedulable})
	}
	return p
}

// openCPUs are the CPUs of the machines that take work, and those free now.
func (p *planner) openCPUs() (open, free float64) {
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

// place gives the demand what the machines can begin in time, and rents for the rest.
func (p *planner) place(d Demand) {
	tasks := p.fill(d, d.Tasks, d.StartWithinS)
	waited := false
	for tasks > 0 && (p.in.MaxMachines == 0 || p.machineCount < p.in.MaxMachines) {
		o, price, ok := cheapest(p.offers, d, p.types, p.in.Unavailable, p.plan.ScaleOut)
		if !ok {
			return
		}
		if price > p.offers[0].price && !waited {
			// The dearer the offer, the longer the work waits for the
			// machines there are.
			waited = true
			tasks = p.fill(d, tasks, d.StartWithinS*math.Sqrt(price/p.offers[0].price))
			continue
		}
		tasks -= p.scaleOut(o, d, tasks)
	}
}

// fill gives the machines what they can begin of the tasks within the horizon, and
// returns how many are left.
func (p *planner) fill(d Demand, tasks int, horizonS float64) int {
	for i := range p.bins {
		b := &p.bins[i]
		if tasks > 0 && b.schedulable && !d.AvoidMachines[b.id] && allowed(d, b.offer) && b.capacity.Fits(d.Request) {
			tasks -= b.take(d, tasks, horizonS)
		}
	}
	return tasks
}

// scaleOut adds one machine, and returns for how many of the tasks it is.
func (p *planner) scaleOut(o Offer, d Demand, tasks int) int {
	size := capacity(p.types[o.Type])
	b := bin{offer: o, capacity: size, free: size, schedulable: true}
	taken := max(1, b.take(d, tasks, d.StartWithinS))
	p.bins = append(p.bins, b)
	p.plan.ScaleOut[o]++
	p.machineCount++
	return taken
}

// scaleOutForInflow rents for the work that keeps coming: while work waits that finds no
// room, fewer CPUs than it needs on average would only let the backlog grow
// until it presses, and then all of it would press at once: by a boot too late,
// and with more and dearer machines than it takes. Only the cheapest offers are
// rented so: dear ones are for what presses.
func (in *Input) scaleOutForInflow(plan *Plan, openCPUs, freeCPUs float64, count int, offers []pricedOffer, types map[string]wire.MachineType) {
	for o, n := range plan.ScaleOut {
		openCPUs += float64(n) * types[o.Type].CPUs
	}
	for _, d := range in.Demand {
		waiting := float64(d.Tasks)*d.Request.CPUs - freeCPUs
		freeCPUs = max(0, -waiting)
		for waiting > 0 && openCPUs < in.InflowCPUs && (in.MaxMachines == 0 || count < in.MaxMachines) {
			o, price, ok := cheapest(offers, d, types, in.Unavailable, plan.ScaleOut)
			if !ok || price > offers[0].price {
				break
			}
			plan.ScaleOut[o]++
			count++
			cpus := types[o.Type].CPUs
			waiting -= cpus
			openCPUs += cpus
		}
	}
}

// parallelTasks is how many tasks of this shape fit side by side.
func parallelTasks(room, need placement.Resources) int {
	n := math.Inf(1)
	for _, x := range [][2]float64{{room.CPUs, need.CPUs}, {room.MemoryGB, need.MemoryGB}, {room.GPUs, need.GPUs}} {
		if x[1] > 0 {
			n = min(n, math.Floor(x[0]/x[1]+1e-6))
		}
	}
	return int(max(0, min(n, wire.MaxTasks)))
}

// usableShare is the share of a machine's CPUs that tasks of this shape can use.
func usableShare(total, need placement.Resources) float64 {
	if total.CPUs <= 0 {
		return 0
	}
	return min(1, float64(parallelTasks(total, need))*need.CPUs/total.CPUs)
}

func capacity(t wire.MachineType) placement.Resources {
	return placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

func allowed(d Demand, o Offer) bool {
	return (!o.Spot || d.Spot) && (d.Zone == "" || d.Zone == o.Zone) && (len(d.MachineTypes) == 0 || slices.Contains(d.MachineTypes, o.Type))
}

type pricedOffer struct {
	Offer
	price float64 // per CPU
}

func offersByPrice(types []wire.MachineType) []pricedOffer {
	var all []pricedOffer
	for _, t := range types {
		for _, z := range t.Zones {
			cpus := max(t.CPUs, 1)
			if t.SpotPrice > 0 {
				all = append(all, pricedOffer{Offer{t.Name, z, true}, t.SpotPrice / cpus})
			}
			all = append(all, pricedOffer{Offer{t.Name, z, false}, t.Price / cpus})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].price < all[j].price })
	return all
}

// cheapest picks the cheapest offer that the demand allows and that was not
// refused just now; among equals the one rented least, to spread over zones.
func cheapest(offers []pricedOffer, d Demand, types map[string]wire.MachineType, refused func(Offer) bool, rent map[Offer]int) (Offer, float64, bool) {
	var best *pricedOffer
	for i := range offers {
		o := &offers[i]
		if !allowed(d, o.Offer) || refused(o.Offer) || !capacity(types[o.Type]).Fits(d.Request) {
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
		return Offer{}, 0, false
	}
	return best.Offer, best.price, true
}

// scaleIn picks idle machines to return that no demand was given to, dearest
// first, as long as the rest covers the smoothed demand.
func scaleIn(in Input, bins []bin, openCPUs float64) []string {
	idle := make([]Machine, 0)
	for i, m := range in.Machines {
		if m.Idle && !bins[i].used && (m.IdleFor >= in.ScaleInIdleTime || !m.Schedulable) {
			idle = append(idle, m)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool { return idle[i].Price > idle[j].Price })
	var out []string
	for _, m := range idle {
		if m.Schedulable {
			// A smoothed demand never quite reaches zero: less than a CPU is none.
			if openCPUs-m.Capacity.CPUs < in.ReserveCPUs-1 {
				continue
			}
			openCPUs -= m.Capacity.CPUs
		}
		out = append(out, m.ID)
	}
	return out
}
