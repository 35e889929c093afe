package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// adjustBudget increases the budget slowly without pressure and decreases it quickly
// under pressure, like the congestion window of TCP. It also starts and ends shedding.
func (r *Regulator) adjustBudget(now time.Time, elapsed time.Duration) {
	admitted := float64(r.admitted) / max(elapsed.Seconds(), tuning.AdmissionInterval.Seconds())
	r.admitted = 0
	switch {
	case !r.shedding:
		// A single high value may be due to a suspended process or a short burst.
		if min(r.pressure, r.previousPressure) < tuning.AdmissionShedPressure {
			return
		}
		r.shedding = true
		r.budget = admitted / min(r.pressure, tuning.AdmissionMaxDecreaseFactor)
		r.withinBudgetSince = now
	case r.pressure > 1:
		r.budget = min(r.budget, max(admitted, 1)) / min(r.pressure, tuning.AdmissionMaxDecreaseFactor)
	default:
		r.budget = r.budget*tuning.AdmissionGrowthFactor + tuning.AdmissionGrowthStep
	}
	r.budget = min(max(r.budget, tuning.AdmissionMinBudget), r.settings.WritesPerSecond)
	if r.pressure > 1 || r.offeredRate() > r.budget {
		r.withinBudgetSince = now
	}
	if now.Sub(r.withinBudgetSince) >= tuning.AdmissionRecoveryPeriod {
		r.shedding = false
	}
}

// divideBudget divides the budget among teams, and each team's budget among its classes.
func (r *Regulator) divideBudget(now time.Time) {
	claimants := make([]claimant, len(r.settings.Teams))
	for i, t := range r.settings.Teams {
		claimants[i] = claimant{reserved: r.teamFloors[t.Name] * r.budget, weight: weightOf(t.Weight)}
		for k, d := range r.demands {
			if k.Team == t.Name {
				claimants[i].demand += d.rate
			}
		}
	}
	oldLimiters := r.limiters
	r.limiters = map[Key]*rate.Limiter{}
	for i, granted := range divide(r.budget, claimants) {
		r.divideTeamBudget(now, &r.settings.Teams[i], granted, oldLimiters)
	}
}

// divideTeamBudget divides a team's budget among its classes: a floor for each, and
// the rest by the weights of classes and priorities.
func (r *Regulator) divideTeamBudget(now time.Time, team *Team, teamBudget float64, oldLimiters map[Key]*rate.Limiter) {
	var keys []Key
	for _, name := range append(slices.Clip(r.settings.Classes), OtherClass) {
		if k := (Key{team.Name, name}); r.demands[k] != nil {
			keys = append(keys, k)
		}
	}
	claimants := make([]claimant, len(keys))
	for i, k := range keys {
		claimants[i] = r.classClaimant(team, k, teamBudget, len(keys))
	}
	for i, share := range divide(teamBudget, claimants) {
		k := keys[i]
		r.limiters[k] = configureLimiter(now, oldLimiters[k], share)
		if share < claimants[i].demand {
			r.policy.Shares = append(r.policy.Shares, Share{k, min(1, share/r.demands[k].agedRate)})
		}
	}
}

// classClaimant returns the claimant for a class in the division of its team's budget
// among classCount classes.
func (r *Regulator) classClaimant(team *Team, k Key, teamBudget float64, classCount int) claimant {
	d := r.demands[k]
	weight, floor := 1.0, tuning.AdmissionClassFloorShare/float64(classCount)
	for _, c := range team.Classes {
		if c.Name == k.Class {
			weight = weightOf(c.Weight)
			floor = max(floor, c.Floor)
		}
	}
	return claimant{demand: d.rate, reserved: floor * teamBudget, weight: weight * max(1, d.weightedRate/d.rate)}
}
