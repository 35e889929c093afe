package scaling

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// DemandHistory smooths what work has asked for lately, so that machines are neither
// released in a short lull nor provisioned only when a backlog presses.
type DemandHistory struct {
	smoothedCPUs float64
	smoothedAt   time.Time
	// inflow is the smoothed work of new jobs, in CPU seconds a second, as of
	// inflowAt.
	inflow   float64
	inflowAt time.Time
}

// UpdateCPUs keeps an exponentially weighted mean of the CPUs in use, and returns it.
func (h *DemandHistory) UpdateCPUs(now time.Time, cpus float64) float64 {
	if h.smoothedAt.IsZero() {
		h.smoothedCPUs = cpus
	} else {
		weight := 1 - decayFactor(now.Sub(h.smoothedAt), tuning.DemandDecay)
		h.smoothedCPUs += (cpus - h.smoothedCPUs) * weight
	}
	h.smoothedAt = now
	return h.smoothedCPUs
}

// AddInflow counts work, in CPU seconds, that arrived at the given time into the inflow.
func (h *DemandHistory) AddInflow(now, arrived time.Time, work float64) {
	rate := work / tuning.InflowDecay.Seconds()
	h.inflow, h.inflowAt = h.InflowCPUs(now)+rate*decayFactor(now.Sub(arrived), tuning.InflowDecay), now
}

// InflowCPUs is the CPUs that the work that keeps arriving needs.
func (h *DemandHistory) InflowCPUs(now time.Time) float64 {
	return h.inflow * decayFactor(now.Sub(h.inflowAt), tuning.InflowDecay)
}

// decayFactor is the weight that a smoothed value has after a time.
func decayFactor(d, decay time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / decay.Seconds())
}
