package admission

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// LeaderLoad is the current load of a leader.
type LeaderLoad struct {
	// PendingWrites is the number of queued writes that users wait for.
	PendingWrites int
	// SentWrites is the number of writes that users wait for and that the leader has sent
	// to the key-value store in this term.
	SentWrites int64
	// Lag is how late the leader's periodic work runs for lack of CPU time.
	Lag time.Duration
}

// TaskLoad has the number of unfinished tasks of all teams (Total) and of the team that
// submits a job (Team).
type TaskLoad struct {
	Total, Team int
}

// demand has the smoothed rates of submissions under a key, per second: unweighted (rate),
// weighted by aging factor (agedRate), and weighted by priority (weightedRate).
type demand struct {
	rate, agedRate, weightedRate float64
}

// measureDemand lets the smoothed rates decay over the elapsed time and adds the submissions
// since the last update to them. nodes has the counts that the nodes last reported.
func (r *Regulator) measureDemand(elapsed time.Duration, nodes []NodeOfferedLoad) {
	decayFactor := math.Exp(-elapsed.Seconds() / tuning.AdmissionOfferedLoadDecay.Seconds())
	for k, d := range r.demands {
		d.rate *= decayFactor
		d.agedRate *= decayFactor
		d.weightedRate *= decayFactor
		if d.rate < tuning.AdmissionMinOfferedRate {
			delete(r.demands, k)
		}
	}
	for _, n := range nodes {
		previous, known := r.nodeLoads[n.Node]
		if known && n.olderThan(&previous) {
			continue
		}
		r.nodeLoads[n.Node] = n
		if known {
			r.addDemand(previous, n)
		}
	}
	unclaimed := NodeOfferedLoad{}
	for _, o := range r.unclaimed {
		unclaimed.Loads = append(unclaimed.Loads, *o)
	}
	r.addDemand(r.previousUnclaimed, unclaimed)
	r.previousUnclaimed = unclaimed
}

// addDemand adds the submissions between two reports of a node to the smoothed rates. If the
// node restarted in between, it has counted from zero again.
func (r *Regulator) addDemand(earlier, later NodeOfferedLoad) {
	before := map[Key]OfferedLoad{}
	if earlier.Incarnation == later.Incarnation {
		for _, o := range earlier.Loads {
			before[o.Key] = o
		}
	}
	ratePerSubmission := 1 / tuning.AdmissionOfferedLoadDecay.Seconds()
	for _, o := range later.Loads {
		previous := before[o.Key]
		if key, known := r.settings.Key(o.Team, o.Class); !known || key != o.Key || o.Count <= previous.Count {
			continue
		}
		d := r.demands[o.Key]
		if d == nil {
			d = &demand{}
			r.demands[o.Key] = d
		}
		d.rate += float64(o.Count-previous.Count) * ratePerSubmission
		d.agedRate += max(0, o.AgingFactorSum-previous.AgingFactorSum) * ratePerSubmission
		d.weightedRate += max(0, o.PriorityWeightSum-previous.PriorityWeightSum) * ratePerSubmission
	}
}

// measurePressure sets the pressure, which is the larger of two ratios: the expected delay of
// writes to AdmissionTargetDelay, and the lag to AdmissionTargetLag. Above 1 the leader is
// overloaded.
func (r *Regulator) measurePressure(elapsed time.Duration, load LeaderLoad) {
	if sent := load.SentWrites - r.sentWrites; load.PendingWrites > 0 && sent > 0 && elapsed > 0 {
		// The write rate shows the capacity of the key-value store only while writes
		// are queued. It does not show it during an outage, when no write is sent.
		writeRate := float64(sent) / elapsed.Seconds()
		r.writeCapacity += (min(writeRate, r.settings.WritesPerSecond) - r.writeCapacity) * tuning.AdmissionCapacityWeight
	}
	r.sentWrites = load.SentWrites
	r.previousPressure = r.pressure
	delayS := float64(load.PendingWrites) / max(r.writeCapacity, 1)
	r.pressure = max(delayS/tuning.AdmissionTargetDelay.Seconds(), load.Lag.Seconds()/tuning.AdmissionTargetLag.Seconds())
}

// offeredRate returns the smoothed rate of all submissions, per second.
func (r *Regulator) offeredRate() float64 {
	total := 0.0
	for _, d := range r.demands {
		total += d.rate
	}
	return total
}
