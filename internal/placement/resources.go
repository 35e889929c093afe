package placement

// Resources are amounts of a machine.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// epsilon absorbs rounding of sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon
}

// Add returns r + o*n.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + o.CPUs*n, r.GPUs + o.GPUs*n, r.MemoryGB + o.MemoryGB*n}
}

// minimum returns the smaller of each amount.
func (r Resources) minimum(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemoryGB, o.MemoryGB)}
}
