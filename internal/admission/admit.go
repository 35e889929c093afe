package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Admit decides whether a new job is admitted. claim is the report of the node that
// received it, nil from nodes without admission control.
func (r *Regulator) Admit(now time.Time, request *Request, claim *Claim, tasks TaskLoad) Decision {
	if claim == nil {
		countRequest(r.unclaimed, request)
	} else {
		request.Waited = claim.Waited()
	}
	share := r.policy.share(request.Key)
	if !r.hasTaskCapacity(request, tasks) {
		return rejection(request.ID, r.policy.Revision, 0)
	}
	if r.shedding {
		if !r.appliedRecentPolicy(claim) {
			if d := r.policy.Decide(request); !d.Admitted {
				return d
			}
		}
		if !r.limiterFor(now, request.Key).AllowN(now, 1) {
			return rejection(request.ID, r.policy.Revision, share)
		}
	}
	r.admitted++
	return Decision{Admitted: true}
}

// appliedRecentPolicy reports whether the node that received the job has applied a
// recent policy. Applying another revision to it as well would shed the load twice.
func (r *Regulator) appliedRecentPolicy(claim *Claim) bool {
	return claim != nil && claim.Revision > 0 && claim.Revision+tuning.AdmissionMaxRevisionLag >= r.policy.Revision
}

// limiterFor returns the limiter of a key. A key without one gets a new limiter with
// the share of a team of weight 1.
func (r *Regulator) limiterFor(now time.Time, k Key) *rate.Limiter {
	limiter := r.limiters[k]
	if limiter == nil {
		limiter = configureLimiter(now, nil, r.budget/max(r.teamWeightSum, 1))
		r.limiters[k] = limiter
	}
	return limiter
}

// hasTaskCapacity reports whether the unfinished tasks leave room for those of the
// request. Part of MaxActiveTasks is reserved for teams that use less than their
// share: a few huge jobs of one team must not block the others.
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
	return float64(tasks.Team+request.Tasks) <= tuning.MaxActiveTasks*weight/r.teamWeightSum
}

// configureLimiter sets the limiter's rate, or returns a new limiter if it is nil. The
// limiter bounds the admitted jobs of a key, however many the followers forward.
func configureLimiter(now time.Time, limiter *rate.Limiter, perSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(perSecond*tuning.AdmissionBurstTime.Seconds())))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst)
	return limiter
}
