package autoscale

import (
	"math"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// bin is a machine to which the planner assigns waiting tasks: an existing machine, a requested one, or
// one that the plan provisions.
type bin struct {
	host                placement.Host // counts the assigned tasks, too
	free                placement.Resources
	remainingCPUSeconds float64 // estimated work of the machine's tasks and of those assigned to it
	bootRemainingS      float64 // expected time until it has booted
	schedulable         bool
	hasDemand           bool // whether the plan has assigned tasks to it
}

func newBin(m *Machine) bin {
	return bin{
		host: m.Host, free: m.Free,
		remainingCPUSeconds: m.RemainingCPUSeconds, bootRemainingS: m.BootRemainingS, schedulable: m.Schedulable,
	}
}

// assignTasks assigns as many of the tasks to the bin as fit into its free resources now, or as many as
// its CPUs can run within withinS seconds, whichever is more. The remaining boot time shortens withinS,
// but by at most half. The bin gets at most tuning.MaxTasksPerMachine tasks. assignTasks returns the
// number of assigned tasks.
func (b *bin) assignTasks(d *Demand, tasks int, withinS float64) int {
	taskCPUSeconds := max(d.EstimatedRunTimeS, tuning.MinimumEstimateS) * d.Job.Request.CPUs
	availableCPUSeconds := b.host.Capacity.CPUs*usableShare(b.host.Capacity, d.Job.Request)*(withinS-min(b.bootRemainingS, withinS/2)) - b.remainingCPUSeconds
	n := max(parallelTasks(b.free, d.Job.Request), int(availableCPUSeconds/taskCPUSeconds))
	n = max(0, min(n, tasks, tuning.MaxTasksPerMachine-b.host.Tasks))
	b.hasDemand = b.hasDemand || n > 0
	b.remainingCPUSeconds += float64(n) * taskCPUSeconds
	b.free = b.free.Add(d.Job.Request, -float64(n))
	b.host.Tasks += n
	return n
}

// roundingTolerance compensates for floating-point errors when amounts of resources are divided.
const roundingTolerance = 1e-6

// parallelTasks returns how many tasks with the request fit into the free resources at the same time.
func parallelTasks(free, request placement.Resources) int {
	n := math.Inf(1)
	for _, amount := range [][2]float64{{free.CPUs, request.CPUs}, {free.MemoryGB, request.MemoryGB}, {free.GPUs, request.GPUs}} {
		if available, requested := amount[0], amount[1]; requested > 0 {
			n = min(n, math.Floor(available/requested+roundingTolerance))
		}
	}
	return int(max(0, min(n, wire.MaxTasks)))
}

// usableShare returns the share of a machine's CPUs, from 0 to 1, that tasks with the request can use.
// The rest stays unused if memory or GPUs run out first, or if it is too small for another task.
func usableShare(capacity, request placement.Resources) float64 {
	if capacity.CPUs <= 0 {
		return 0
	}
	return min(1, float64(parallelTasks(capacity, request))*request.CPUs/capacity.CPUs)
}
