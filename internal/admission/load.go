package admission

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// LeaderLoad is the load of a leader at a time.
type LeaderLoad struct {
	// PendingWrites is the number of writes that users wait for and that are not durable.
	PendingWrites int
	// SentWrites counts such writes sent to the key-value store in this term.
	SentWrites int64
	// Lag is the delay of the leader's periodic work, for want of processor time.
	Lag time.Duration
}

// TaskLoad is the number of unfinished tasks of all teams, and of the submitting one.
type TaskLoad struct {
	Total, Team int
}

// demand is what is submitted under a key per second, smoothed.
type demand struct {
	count, boosted, weight float64
}

// measureDemand adds what was submitted since the last update to the smoothed rates.
func (r *Regulator) measureDemand(passed time.Duration, nodes []NodeOfferedLoad) {
	decay := math.Exp(-passed.Seconds() / tuning.AdmissionOfferedLoadDecay.Seconds())
	for k, d := range r.demands {
		d.count *= decay
		d.boosted *= decay
		d.weight *= decay
		if d.count < tuning.AdmissionMinOfferedRate {
			delete(r.demands, k)
		}
	}
	for _, n := range nodes {
		earlier, known := r.lastReported[n.Node]
		if known && n.olderThan(&earlier) {
			continue
		}
		r.lastReported[n.Node] = n
		if known {
			r.addDemand(earlier, n)
		}
	}
	own := NodeOfferedLoad{}
	for _, o := range r.uncounted {
		own.Loads = append(own.Loads, *o)
	}
	r.addDemand(r.uncountedBefore, own)
	r.uncountedBefore = own
}

// addDemand adds the difference between two counts of a node. A process that was
// started in between counts from zero.
func (r *Regulator) addDemand(earlier, later NodeOfferedLoad) {
	before := map[Key]OfferedLoad{}
	if earlier.Started == later.Started {
		for _, o := range earlier.Loads {
			before[o.Key] = o
		}
	}
	perSecond := 1 / tuning.AdmissionOfferedLoadDecay.Seconds()
	for _, o := range later.Loads {
		was := before[o.Key]
		if key, known := r.settings.Key(o.Team, o.Class); !known || key != o.Key || o.Count <= was.Count {
			continue
		}
		d := r.demands[o.Key]
		if d == nil {
			d = &demand{}
			r.demands[o.Key] = d
		}
		d.count += float64(o.Count-was.Count) * perSecond
		d.boosted += max(0, o.AgingFactorSum-was.AgingFactorSum) * perSecond
		d.weight += max(0, o.PriorityWeightSum-was.PriorityWeightSum) * perSecond
	}
}

// measurePressure relates the load to its targets: above 1 there is too much.
func (r *Regulator) measurePressure(passed time.Duration, load LeaderLoad) {
	if written := load.SentWrites - r.written; load.PendingWrites > 0 && written > 0 && passed > 0 {
		// Only a queue shows the capacity of the key-value store, and nothing does
		// during an outage.
		drained := float64(written) / passed.Seconds()
		r.capacity += (min(drained, r.settings.WritesPerSecond) - r.capacity) * tuning.AdmissionCapacityWeight
	}
	r.written = load.SentWrites
	r.previousPressure = r.pressure
	delay := float64(load.PendingWrites) / max(r.capacity, 1)
	r.pressure = max(delay/tuning.AdmissionTargetDelay.Seconds(), load.Lag.Seconds()/tuning.AdmissionTargetLag.Seconds())
}

// offeredRate is the rate of submissions of all keys, per second.
func (r *Regulator) offeredRate() float64 {
	total := 0.0
	for _, d := range r.demands {
		total += d.count
	}
	return total
}
