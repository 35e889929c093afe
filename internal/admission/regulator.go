package admission

import (
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Regulator is the leader's part in admission, for one term: it measures the load,
// publishes the policy, and decides finally.
type Regulator struct {
	settings   *Settings
	teamFloors map[string]float64 // reserved shares of the budget, by team
	weights    float64            // of all teams

	demands         map[Key]*demand
	lastReported    map[string]NodeOfferedLoad // by node, of the latest heartbeats
	uncounted       map[Key]*OfferedLoad       // of nodes that don't count their own
	uncountedBefore NodeOfferedLoad            // the same, as of the last update

	policy           Policy
	limiters         map[Key]*rate.Limiter
	shedding         bool
	budget           float64 // jobs to be admitted per second
	capacity         float64 // writes per second of the key-value store
	pressure         float64 // load relative to the targets, of the last update
	previousPressure float64 // the same, of the update before
	admitted         int     // jobs since the last update
	written          int64   // LeaderLoad.Written of the last update

	updatedAt time.Time
	calmSince time.Time // since when the offered load fits into the budget
}

// NewRegulator returns the regulator of a term that begins now.
func NewRegulator(s *Settings, term uint64, now time.Time) *Regulator {
	r := &Regulator{
		settings:     s,
		teamFloors:   reserveFloors(s.Teams),
		demands:      map[Key]*demand{},
		lastReported: map[string]NodeOfferedLoad{},
		uncounted:    map[Key]*OfferedLoad{},
		policy:       Policy{Term: term},
		capacity:     s.WritesPerSecond,
		updatedAt:    now,
	}
	for _, t := range s.Teams {
		r.weights += weightOf(t.Weight)
	}
	return r
}

// reserveFloors divides the reserved share of the budget: floors that the operators
// have set, and the rest in proportion to the guarantees.
func reserveFloors(teams []Team) map[string]float64 {
	left, guarantees := tuning.AdmissionReservedShare, 0.0
	for _, t := range teams {
		if t.Floor > 0 {
			left -= t.Floor
		} else {
			guarantees += t.GuaranteedCPUs
		}
	}
	floors := map[string]float64{}
	for _, t := range teams {
		switch {
		case t.Floor > 0:
			floors[t.Name] = t.Floor
		case guarantees > 0:
			floors[t.Name] = max(0, left) * t.GuaranteedCPUs / guarantees
		}
	}
	return floors
}

// weightOf is the weight that was set, or the default.
func weightOf(set float64) float64 {
	if set > 0 {
		return set
	}
	return 1
}

// Shedding reports whether new jobs are rejected now.
func (r *Regulator) Shedding() bool { return r.shedding }

// Policy returns the policy to be published.
func (r *Regulator) Policy() Policy { return r.policy }

// Update applies the load and the counts of all nodes, and makes the next policy
// once the present one is AdmissionInterval old. wall is the time of day.
func (r *Regulator) Update(now, wall time.Time, load LeaderLoad, nodes []NodeOfferedLoad) {
	passed := now.Sub(r.updatedAt)
	if passed < tuning.AdmissionInterval && r.policy.Revision > 0 {
		return
	}
	r.updatedAt = now
	r.measureDemand(passed, nodes)
	r.measurePressure(passed, load)
	r.adjustBudget(now, passed)
	r.policy.Revision = max(r.policy.Revision+1, uint64(max(0, wall.Unix())))
	r.policy.TTLMS = tuning.AdmissionPolicyTTL.Milliseconds()
	r.policy.Shares = nil
	if r.shedding {
		r.divideBudget(now)
	} else {
		r.limiters = nil
	}
}

// Summary is what the debug log shows of a regulator.
type Summary struct {
	Shedding         bool
	Pressure, Budget float64
	// OfferedRate is the rate of submissions per second, retries included; Shed are the
	// keys of which not everything is admitted.
	OfferedRate   float64
	ReducedShares []Share
}

// Summary returns the figures of the last update.
func (r *Regulator) Summary() Summary {
	return Summary{Shedding: r.shedding, Pressure: r.pressure, Budget: r.budget, OfferedRate: r.offeredRate(), ReducedShares: r.policy.Shares}
}
