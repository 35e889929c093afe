package autoscale

import (
	"math"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// bin is a machine, existing or to be provisioned, into which demand is packed.
type bin struct {
	machine     string // its ID; empty if it is to be provisioned
	offer       Offer
	capacity    placement.Resources
	free        placement.Resources
	busyS       float64 // CPU seconds of the work given to it
	readyS      float64 // until it is up
	schedulable bool
	used        bool // demand was given to it
}

func newBin(m *Machine) bin {
	return bin{
		machine: m.ID, offer: m.Offer, capacity: m.Capacity, free: m.Free,
		busyS: m.RemainingCPUSeconds, readyS: m.BootRemainingS, schedulable: m.Schedulable,
	}
}

// add gives the bin as many of the tasks as fit at once or can start within a
// time, and returns how many.
func (b *bin) add(d *Demand, tasks int, withinS float64) int {
	taskS := max(d.EstimateS, tuning.MinimumEstimateS) * d.Request.CPUs
	leftS := b.capacity.CPUs*usableShare(b.capacity, d.Request)*(withinS-min(b.readyS, withinS/2)) - b.busyS
	n := max(parallelTasks(b.free, d.Request), int(leftS/taskS))
	n = max(0, min(n, tasks))
	b.used = b.used || n > 0
	b.busyS += float64(n) * taskS
	b.free = b.free.Add(d.Request, -float64(n))
	return n
}

// epsilon absorbs rounding of divided decimal amounts.
const epsilon = 1e-6

// parallelTasks is how many tasks with the request fit into the free resources.
func parallelTasks(free, request placement.Resources) int {
	n := math.Inf(1)
	for _, amount := range [][2]float64{{free.CPUs, request.CPUs}, {free.MemoryGB, request.MemoryGB}, {free.GPUs, request.GPUs}} {
		if available, each := amount[0], amount[1]; each > 0 {
			n = min(n, math.Floor(available/each+epsilon))
		}
	}
	return int(max(0, min(n, wire.MaxTasks)))
}

// usableShare is the share of a machine's CPUs that tasks with the request can use.
func usableShare(capacity, request placement.Resources) float64 {
	if capacity.CPUs <= 0 {
		return 0
	}
	return min(1, float64(parallelTasks(capacity, request))*request.CPUs/capacity.CPUs)
}
