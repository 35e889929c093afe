package leader

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// demandHistory smooths what work has asked for lately, so that machines are neither
// returned in a short lull nor rented only when a backlog presses.
type demandHistory struct {
	smoothedCPUs float64
	smoothedAt   time.Time
	// inflow is the smoothed work of new jobs, in CPU seconds a second, as of
	// inflowAt.
	inflow   float64
	inflowAt time.Time
}

// updateSmoothedCPUs keeps an exponentially weighted mean of the CPUs in use.
func (h *demandHistory) updateSmoothedCPUs(now time.Time, cpus float64) {
	if h.smoothedAt.IsZero() {
		h.smoothedCPUs = cpus
	} else {
		w := 1 - decayFactor(now.Sub(h.smoothedAt), tuning.DemandDecay)
		h.smoothedCPUs += (cpus - h.smoothedCPUs) * w
	}
	h.smoothedAt = now
}

// countInflow counts work, in CPU seconds, that came at the given time into the inflow.
func (h *demandHistory) countInflow(now, came time.Time, work float64) {
	rate := work / tuning.InflowDecay.Seconds()
	h.inflow, h.inflowAt = h.inflowNow(now)+rate*decayFactor(now.Sub(came), tuning.InflowDecay), now
}

// inflowNow is the CPUs that the work that keeps coming needs.
func (h *demandHistory) inflowNow(now time.Time) float64 {
	return h.inflow * decayFactor(now.Sub(h.inflowAt), tuning.InflowDecay)
}

// decayFactor is the weight that a smoothed value has after a time.
func decayFactor(d, decay time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / decay.Seconds())
}
