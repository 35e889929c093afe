package placement

import "switchshore.example/switchshore/wire"

// Resources are amounts of what tasks request and machines have.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// MachineCapacity is what a machine of the type has.
func MachineCapacity(t wire.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// TaskRequest is what one task of the job requests.
func TaskRequest(spec *wire.Job) Resources {
	return Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// epsilon absorbs rounding of sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether the request is at most r.
func (r Resources) Fits(request Resources) bool {
	return request.CPUs <= r.CPUs+epsilon && request.GPUs <= r.GPUs+epsilon && request.MemoryGB <= r.MemoryGB+epsilon
}

// Add returns r plus count times each amount of other.
func (r Resources) Add(other Resources, count float64) Resources {
	return Resources{r.CPUs + other.CPUs*count, r.GPUs + other.GPUs*count, r.MemoryGB + other.MemoryGB*count}
}

// minimum returns the smaller of each amount.
func (r Resources) minimum(other Resources) Resources {
	return Resources{min(r.CPUs, other.CPUs), min(r.GPUs, other.GPUs), min(r.MemoryGB, other.MemoryGB)}
}
