package admission

import (
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Regulator is the leader's part in admission control, for one term. It measures the
// load, makes the policies, and makes the final decision on each job.
type Regulator struct {
	settings      *Settings
	teamFloors    map[string]float64 // share of the budget that is reserved, by team
	teamWeightSum float64            // sum of the weights of all teams

	demands           map[Key]*demand
	nodeLoads         map[string]NodeOfferedLoad // last report of each node
	unclaimed         map[Key]*OfferedLoad       // submissions without a claim
	previousUnclaimed NodeOfferedLoad            // copy of unclaimed at the last update

	policy           Policy
	limiters         map[Key]*rate.Limiter
	shedding         bool
	budget           float64 // jobs to be admitted per second during load shedding
	writeCapacity    float64 // smoothed write rate of the key-value store, per second
	pressure         float64 // load relative to its targets at the last update; see measurePressure
	previousPressure float64 // pressure at the last update but one
	admitted         int     // number of jobs admitted since the last update
	sentWrites       int64   // LeaderLoad.SentWrites at the last update

	updatedAt         time.Time
	withinBudgetSince time.Time // last update with a pressure above 1 or an offered load above the budget
}

// NewRegulator returns the regulator for a term that begins now.
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

// reserveFloors returns the share of the budget that is reserved for each team. Their sum is
// at most AdmissionReservedShare. Teams for which the operators set a floor get it, and the
// rest is divided among the other teams in proportion to their guaranteed CPUs.
func reserveFloors(teams []Team) map[string]float64 {
	unassignedShare, guaranteedCPUs := tuning.AdmissionReservedShare, 0.0
	for _, t := range teams {
		if t.Floor > 0 {
			unassignedShare -= t.Floor
		} else {
			guaranteedCPUs += t.GuaranteedCPUs
		}
	}
	floors := map[string]float64{}
	for _, t := range teams {
		switch {
		case t.Floor > 0:
			floors[t.Name] = t.Floor
		case guaranteedCPUs > 0:
			floors[t.Name] = max(0, unassignedShare) * t.GuaranteedCPUs / guaranteedCPUs
		}
	}
	return floors
}

// weightOf returns the weight that the operators set, or the default of 1 if it is 0.
func weightOf(configured float64) float64 {
	if configured > 0 {
		return configured
	}
	return 1
}

// IsShedding reports whether new jobs are currently rejected to reduce the load.
func (r *Regulator) IsShedding() bool { return r.shedding }

// Policy returns the current policy, whose revision is 0 before the first update.
func (r *Regulator) Policy() Policy { return r.policy }

// Update makes the next policy from the leader's load and the offered load of the nodes. It
// does nothing if the current policy is younger than AdmissionInterval. wall is the
// wall-clock time, from which the policy's revision is derived.
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

// Summary has the state of a regulator that is logged.
type Summary struct {
	// Shedding is Regulator.IsShedding.
	Shedding bool
	// Pressure is the load relative to its targets, and Budget the number of jobs to be
	// admitted per second.
	Pressure, Budget float64
	// OfferedRate is the rate of submissions per second, including retries.
	OfferedRate float64
	// ReducedShares has the keys whose submissions are not all admitted.
	ReducedShares []Share
}

// Summary returns the state after the last update.
func (r *Regulator) Summary() Summary {
	return Summary{Shedding: r.shedding, Pressure: r.pressure, Budget: r.budget, OfferedRate: r.offeredRate(), ReducedShares: r.policy.Shares}
}
