package admission

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// LeaderLoad is the current load of a leader.
type LeaderLoad struct {
	// PendingWrites is the number of pending writes that users wait for.
	PendingWrites int
	// SentWrites is the number of such writes sent to the key-value store in this term.
	SentWrites int64
	// Lag is the delay of the leader's periodic work due to lack of CPU time.
	Lag time.Duration
}

// TaskLoad has the numbers of unfinished tasks of all teams and of the submitting team.
type TaskLoad struct {
	Total, Team int
}

// demand has the smoothed rates of submissions under a key, per second: unweighted,
// weighted by aging factor, and weighted by priority.
type demand struct {
	rate, agedRate, weightedRate float64
}

// measureDemand adds the submissions since the last update to the smoothed rates.
func (r *Regulator) measureDemand(elapsed time.Duration, nodes []NodeOfferedLoad) {
	decay := math.Exp(-elapsed.Seconds() / tuning.AdmissionOfferedLoadDecay.Seconds())
	for k, d := range r.demands {
		d.rate *= decay
		d.agedRate *= decay
		d.weightedRate *= decay
		if d.rate < tuning.AdmissionMinOfferedRate {
			delete(r.demands, k)
		}
	}
	for _, n := range nodes {
		earlier, known := r.nodeLoads[n.Node]
		if known && n.olderThan(&earlier) {
			continue
		}
		r.nodeLoads[n.Node] = n
		if known {
			r.addDemand(earlier, n)
		}
	}
	unclaimed := NodeOfferedLoad{}
	for _, o := range r.unclaimed {
		unclaimed.Loads = append(unclaimed.Loads, *o)
	}
	r.addDemand(r.previousUnclaimed, unclaimed)
	r.previousUnclaimed = unclaimed
}

// addDemand adds the difference between two counts of a node. After a restart in
// between, the node counts from zero.
func (r *Regulator) addDemand(earlier, later NodeOfferedLoad) {
	before := map[Key]OfferedLoad{}
	if earlier.Started == later.Started {
		for _, o := range earlier.Loads {
			before[o.Key] = o
		}
	}
	perSecond := 1 / tuning.AdmissionOfferedLoadDecay.Seconds()
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
		d.rate += float64(o.Count-previous.Count) * perSecond
		d.agedRate += max(0, o.AgingFactorSum-previous.AgingFactorSum) * perSecond
		d.weightedRate += max(0, o.PriorityWeightSum-previous.PriorityWeightSum) * perSecond
	}
}

// measurePressure sets the pressure, the ratio of the load to its target: above 1 the
// leader is overloaded.
func (r *Regulator) measurePressure(elapsed time.Duration, load LeaderLoad) {
	if sent := load.SentWrites - r.sentWrites; load.PendingWrites > 0 && sent > 0 && elapsed > 0 {
		// The write rate shows the capacity of the key-value store only while writes
		// are queued, and not during an outage.
		drained := float64(sent) / elapsed.Seconds()
		r.writeCapacity += (min(drained, r.settings.WritesPerSecond) - r.writeCapacity) * tuning.AdmissionCapacityWeight
	}
	r.sentWrites = load.SentWrites
	r.previousPressure = r.pressure
	delay := float64(load.PendingWrites) / max(r.writeCapacity, 1)
	r.pressure = max(delay/tuning.AdmissionTargetDelay.Seconds(), load.Lag.Seconds()/tuning.AdmissionTargetLag.Seconds())
}

// offeredRate returns the rate of submissions of all keys, per second.
func (r *Regulator) offeredRate() float64 {
	total := 0.0
	for _, d := range r.demands {
		total += d.rate
	}
	return total
}
