package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Admit decides on a new job. claim is what the node that has received it reports,
// nil from nodes without admission.
func (r *Regulator) Admit(now time.Time, request *Request, claim *Claim, tasks TaskLoad) Decision {
	if claim == nil {
		countRequest(r.uncounted, request)
	} else {
		request.Waited = claim.Waited()
	}
	share := r.policy.share(request.Key)
	if !r.hasTaskCapacity(request, tasks) {
		return rejection(request.ID, r.policy.Revision, 0)
	}
	if r.shedding {
		if !r.wasFiltered(claim) {
			if d := r.policy.Decide(request); !d.Admitted {
				return d
			}
		}
		if !r.limiterOf(now, request.Key).AllowN(now, 1) {
			return rejection(request.ID, r.policy.Revision, share)
		}
	}
	r.admitted++
	return Decision{Admitted: true}
}

// wasFiltered reports whether the node that has received the job has applied a
// recent policy: to apply another revision here would shed twice.
func (r *Regulator) wasFiltered(claim *Claim) bool {
	return claim != nil && claim.Revision > 0 && claim.Revision+tuning.AdmissionMaxRevisionLag >= r.policy.Revision
}

// limiterOf returns the limiter of a key; a key without one gets the part of one team
// among all.
func (r *Regulator) limiterOf(now time.Time, k Key) *rate.Limiter {
	limiter := r.limiters[k]
	if limiter == nil {
		limiter = setLimiter(now, nil, r.budget/max(r.weights, 1))
		r.limiters[k] = limiter
	}
	return limiter
}

// hasTaskCapacity reserves a part of the unfinished tasks for teams that use less than
// their share of them: a few huge jobs of one team must not block the others.
func (r *Regulator) hasTaskCapacity(request *Request, tasks TaskLoad) bool {
	if float64(tasks.Total+request.Tasks) <= tuning.MaxActiveTasks*(1-tuning.AdmissionTaskReserveShare) {
		return true
	}
	weight := 0.0
	for _, t := range r.settings.Teams {
		if t.Name == request.Key.Team {
			weight = weightOf(t.Weight)
		}
	}
	return float64(tasks.Team+request.Tasks) <= tuning.MaxActiveTasks*weight/r.weights
}

// setLimiter returns the limiter, or a new one for nil, with the rate at which jobs of
// a key may be admitted, whatever the followers forward.
func setLimiter(now time.Time, limiter *rate.Limiter, perSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(perSecond*tuning.AdmissionBurstTime.Seconds())))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst)
	return limiter
}
