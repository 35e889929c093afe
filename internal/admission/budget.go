package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// adjustBudget lets the budget grow slowly without pressure and shrink quickly under
// pressure, like the congestion window of TCP.
func (r *Regulator) adjustBudget(now time.Time, passed time.Duration) {
	admitted := float64(r.admitted) / max(passed.Seconds(), tuning.AdmissionInterval.Seconds())
	r.admitted = 0
	switch {
	case !r.shedding:
		// A single high value may follow a suspended process, or be a short burst.
		if min(r.pressure, r.previousPressure) < tuning.AdmissionShedPressure {
			return
		}
		r.shedding = true
		r.budget = admitted / min(r.pressure, tuning.AdmissionMaxDecreaseFactor)
		r.calmSince = now
	case r.pressure > 1:
		r.budget = min(r.budget, max(admitted, 1)) / min(r.pressure, tuning.AdmissionMaxDecreaseFactor)
	default:
		r.budget = r.budget*tuning.AdmissionGrowthFactor + tuning.AdmissionGrowthStep
	}
	r.budget = min(max(r.budget, tuning.AdmissionMinBudget), r.settings.WritesPerSecond)
	if r.pressure > 1 || r.offeredRate() > r.budget {
		r.calmSince = now
	}
	if now.Sub(r.calmSince) >= tuning.AdmissionRecoveryPeriod {
		r.shedding = false
	}
}

// divideBudget divides the budget among teams, and each team's part among its classes.
func (r *Regulator) divideBudget(now time.Time) {
	claimants := make([]claimant, len(r.settings.Teams))
	for i, t := range r.settings.Teams {
		claimants[i] = claimant{reserved: r.teamFloors[t.Name] * r.budget, weight: weightOf(t.Weight)}
		for k, d := range r.demands {
			if k.Team == t.Name {
				claimants[i].demand += d.count
			}
		}
	}
	old := r.limiters
	r.limiters = map[Key]*rate.Limiter{}
	for i, granted := range divide(r.budget, claimants) {
		r.divideTeam(now, &r.settings.Teams[i], granted, old)
	}
}

// divideTeam divides a team's part among its classes: a floor each, and the rest by
// the weights of classes and priorities.
func (r *Regulator) divideTeam(now time.Time, t *Team, granted float64, old map[Key]*rate.Limiter) {
	var keys []Key
	for _, name := range append(slices.Clip(r.settings.Classes), OtherClass) {
		if k := (Key{t.Name, name}); r.demands[k] != nil {
			keys = append(keys, k)
		}
	}
	claimants := make([]claimant, len(keys))
	for i, k := range keys {
		claimants[i] = r.classClaimant(t, k, granted, len(keys))
	}
	for i, part := range divide(granted, claimants) {
		k := keys[i]
		r.limiters[k] = setLimiter(now, old[k], part)
		if part < claimants[i].demand {
			r.policy.Shares = append(r.policy.Shares, Share{k, min(1, part/r.demands[k].boosted)})
		}
	}
}

// classClaimant is the part of a class in the division of what its team was granted
// among a number of classes.
func (r *Regulator) classClaimant(t *Team, k Key, granted float64, classes int) claimant {
	d := r.demands[k]
	weight, floor := 1.0, tuning.AdmissionClassFloorShare/float64(classes)
	for _, c := range t.Classes {
		if c.Name == k.Class {
			weight = weightOf(c.Weight)
			floor = max(floor, c.Floor)
		}
	}
	return claimant{demand: d.count, reserved: floor * granted, weight: weight * max(1, d.weight/d.count)}
}
