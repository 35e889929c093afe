package admission

import (
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Regulator is the leader's part in admission control, for one term: it measures the
// load, makes the policy, and makes the final decision on each job.
type Regulator struct {
	settings      *Settings
	teamFloors    map[string]float64 // reserved shares of the budget, by team
	teamWeightSum float64            // sum of the weights of all teams

	demands           map[Key]*demand
	nodeLoads         map[string]NodeOfferedLoad // by node, as last reported
	unclaimed         map[Key]*OfferedLoad       // submissions without a claim
	previousUnclaimed NodeOfferedLoad            // unclaimed at the last update

	policy           Policy
	limiters         map[Key]*rate.Limiter
	shedding         bool
	budget           float64 // jobs to be admitted per second
	writeCapacity    float64 // smoothed write rate of the key-value store, per second
	pressure         float64 // load relative to the targets, at the last update
	previousPressure float64 // pressure at the update before
	admitted         int     // jobs since the last update
	sentWrites       int64   // LeaderLoad.SentWrites at the last update

	updatedAt         time.Time
	withinBudgetSince time.Time // last time of pressure, or of an offered load above the budget
}

// NewRegulator returns the regulator of a term that begins now.
func NewRegulator(s *Settings, term uint64, now time.Time) *Regulator {
	r := &Regulator{
		settings:      s,
		teamFloors:    reserveFloors(s.Teams),
		demands:       map[Key]*demand{},
		nodeLoads:     map[string]NodeOfferedLoad{},
		unclaimed:     map[Key]*OfferedLoad{},
		policy:        Policy{Term: term},
		writeCapacity: s.WritesPerSecond,
		updatedAt:     now,
	}
	for _, t := range s.Teams {
		r.teamWeightSum += weightOf(t.Weight)
	}
	return r
}

// reserveFloors divides AdmissionReservedShare of the budget among the teams: the
// floors set by the operators, and the rest in proportion to the guarantees of the
// other teams.
func reserveFloors(teams []Team) map[string]float64 {
	unassigned, guarantees := tuning.AdmissionReservedShare, 0.0
	for _, t := range teams {
		if t.Floor > 0 {
			unassigned -= t.Floor
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
			floors[t.Name] = max(0, unassigned) * t.GuaranteedCPUs / guarantees
		}
	}
	return floors
}

// weightOf returns the weight that is set, or the default of 1.
func weightOf(set float64) float64 {
	if set > 0 {
		return set
	}
	return 1
}

// Shedding reports whether new jobs are currently rejected to reduce the load.
func (r *Regulator) Shedding() bool { return r.shedding }

// Policy returns the current policy.
func (r *Regulator) Policy() Policy { return r.policy }

// Update makes the next policy from the leader's load and the offered load of all
// nodes, once the current policy is AdmissionInterval old. wall is the wall-clock time.
func (r *Regulator) Update(now, wall time.Time, load LeaderLoad, nodes []NodeOfferedLoad) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed < tuning.AdmissionInterval && r.policy.Revision > 0 {
		return
	}
	r.updatedAt = now
	r.measureDemand(elapsed, nodes)
	r.measurePressure(elapsed, load)
	r.adjustBudget(now, elapsed)
	r.policy.Revision = max(r.policy.Revision+1, uint64(max(0, wall.Unix())))
	r.policy.TTLMS = tuning.AdmissionPolicyTTL.Milliseconds()
	r.policy.Shares = nil
	if r.shedding {
		r.divideBudget(now)
	} else {
		r.limiters = nil
	}
}

// Summary has the figures of a regulator that are logged.
type Summary struct {
	Shedding         bool
	Pressure, Budget float64
	// OfferedRate is the rate of submissions per second, including retries.
	// ReducedShares has the keys of which not all submissions are admitted.
	OfferedRate   float64
	ReducedShares []Share
}

// Summary returns the figures of the last update.
func (r *Regulator) Summary() Summary {
	return Summary{Shedding: r.shedding, Pressure: r.pressure, Budget: r.budget, OfferedRate: r.offeredRate(), ReducedShares: r.policy.Shares}
}
