package scaling

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// DemandHistory smooths recent demand. With it, machines survive a short lull, and new ones are
// provisioned before a backlog becomes urgent.
type DemandHistory struct {
	meanUsedCPUs   float64
	meanUsedCPUsAt time.Time
	// arrivalRate is the smoothed work of arriving jobs at inflowAt, in CPU seconds per second.
	arrivalRate   float64
	arrivalRateAt time.Time
}

// AddUsedCPUs adds a sample of the CPUs in use to the exponentially weighted mean and returns
// the new mean.
func (h *DemandHistory) AddUsedCPUs(now time.Time, cpus float64) float64 {
	if h.meanUsedCPUsAt.IsZero() {
		h.meanUsedCPUs = cpus
	} else {
		weight := 1 - decayFactor(now.Sub(h.meanUsedCPUsAt), tuning.DemandDecay)
		h.meanUsedCPUs += (cpus - h.meanUsedCPUs) * weight
	}
	h.meanUsedCPUsAt = now
	return h.meanUsedCPUs
}

// AddArrival adds work that arrived at the given time, in CPU seconds, to the inflow.
func (h *DemandHistory) AddArrival(now, arrivedAt time.Time, cpuSeconds float64) {
	rate := cpuSeconds / tuning.InflowDecay.Seconds()
	h.arrivalRate, h.arrivalRateAt = h.ArrivalCPUs(now)+rate*decayFactor(now.Sub(arrivedAt), tuning.InflowDecay), now
}

// ArrivalCPUs returns the number of CPUs that jobs arriving at the recent rate keep busy.
func (h *DemandHistory) ArrivalCPUs(now time.Time) float64 {
	return h.arrivalRate * decayFactor(now.Sub(h.arrivalRateAt), tuning.InflowDecay)
}

// decayFactor returns the remaining weight of a smoothed value of the given age.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
