package placement

import "switchshore.example/switchshore/wire"

// Resources are the amounts of resources that a task requests or a machine has.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// MachineCapacity returns the resources of a machine of the type.
func MachineCapacity(t wire.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// TaskRequest returns the resources that one task of the job requests.
func TaskRequest(spec *wire.Job) Resources {
	return Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// epsilon is the tolerance for rounding errors in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether the request fits into r: none of its amounts exceeds that of r.
func (r Resources) Fits(request Resources) bool {
	return request.CPUs <= r.CPUs+epsilon && request.GPUs <= r.GPUs+epsilon && request.MemoryGB <= r.MemoryGB+epsilon
}

// Add returns r plus count times other, for each amount.
func (r Resources) Add(other Resources, count float64) Resources {
	return Resources{r.CPUs + other.CPUs*count, r.GPUs + other.GPUs*count, r.MemoryGB + other.MemoryGB*count}
}

// minimum returns the smaller value of each amount.
func (r Resources) minimum(other Resources) Resources {
	return Resources{min(r.CPUs, other.CPUs), min(r.GPUs, other.GPUs), min(r.MemoryGB, other.MemoryGB)}
}
