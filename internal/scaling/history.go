package scaling

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// DemandHistory smooths recent demand. With it, machines survive a short lull, and new ones are
// provisioned before a backlog becomes urgent.
type DemandHistory struct {
	smoothedCPUs float64
	smoothedAt   time.Time
	// inflow is the smoothed work of arriving jobs at inflowAt, in CPU seconds per second.
	inflow   float64
	inflowAt time.Time
}

// UpdateCPUs adds a sample of the CPUs in use to the exponentially weighted mean and returns
// the new mean.
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

// AddInflow adds work that arrived at the given time, in CPU seconds, to the inflow.
func (h *DemandHistory) AddInflow(now, arrivedAt time.Time, cpuSeconds float64) {
	rate := cpuSeconds / tuning.ArrivalRateDecay.Seconds()
	h.inflow, h.inflowAt = h.InflowCPUs(now)+rate*decayFactor(now.Sub(arrivedAt), tuning.ArrivalRateDecay), now
}

// InflowCPUs returns the number of CPUs that jobs arriving at the recent rate keep busy.
func (h *DemandHistory) InflowCPUs(now time.Time) float64 {
	return h.inflow * decayFactor(now.Sub(h.inflowAt), tuning.ArrivalRateDecay)
}

// decayFactor returns the remaining weight of a smoothed value of the given age.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
