package scaling

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// DemandHistory smooths recent demand. The smoothed CPUs in use keep machines from being released
// during a short dip in demand. The smoothed rate of arriving work makes the planner provision
// machines before the waiting tasks become urgent.
type DemandHistory struct {
	// meanUsedCPUs is the exponentially weighted mean of the CPUs in use, as of meanUsedCPUsAt.
	meanUsedCPUs   float64
	meanUsedCPUsAt time.Time
	// arrivalRate is the smoothed rate of arriving work as of arrivalRateAt, in CPU seconds per
	// second.
	arrivalRate   float64
	arrivalRateAt time.Time
}

// AddUsedCPUs adds a sample of the CPUs in use to the mean and returns the new mean.
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

// AddArrival adds work that arrived at arrivedAt to the arrival rate. cpuSeconds is the estimated run
// time of its tasks times their CPUs.
func (h *DemandHistory) AddArrival(now, arrivedAt time.Time, cpuSeconds float64) {
	rate := cpuSeconds / tuning.InflowDecay.Seconds()
	h.arrivalRate, h.arrivalRateAt = h.ArrivalCPUs(now)+rate*decayFactor(now.Sub(arrivedAt), tuning.InflowDecay), now
}

// ArrivalCPUs returns how many CPUs are needed to run work as fast as it has recently arrived.
func (h *DemandHistory) ArrivalCPUs(now time.Time) float64 {
	return h.arrivalRate * decayFactor(now.Sub(h.arrivalRateAt), tuning.InflowDecay)
}

// decayFactor returns the weight, from 1 down to 0, that a sample of the given age still has.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
