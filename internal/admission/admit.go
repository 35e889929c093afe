package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Admit decides whether a new job is admitted. claim comes from the node that received
// the submission; it is nil if that node has no admission control. tasks are the
// unfinished tasks before the job is admitted.
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
// recent policy to it. If the leader then applied another revision as well, too many jobs
// would be rejected.
func (r *Regulator) appliedRecentPolicy(claim *Claim) bool {
	return claim != nil && claim.Revision > 0 && claim.Revision+tuning.AdmissionMaxRevisionLag >= r.policy.Revision
}

// limiterFor returns the rate limiter of a key. A key without one had no submissions when
// the budget was divided; it gets a new limiter with the rate of a team of weight 1.
func (r *Regulator) limiterFor(now time.Time, k Key) *rate.Limiter {
	limiter := r.limiters[k]
	if limiter == nil {
		limiter = configureLimiter(now, nil, r.budget/max(r.teamWeightSum, 1))
		r.limiters[k] = limiter
	}
	return limiter
}

// hasTaskCapacity reports whether the tasks of the request can be added to the unfinished
// tasks. While the reserved part of MaxUnfinishedTasks is in use, a team may add tasks
// only up to its part by weight. Otherwise a few huge jobs of one team could block the
// others.
func (r *Regulator) hasTaskCapacity(request *Request, tasks TaskLoad) bool {
	if float64(tasks.Total+request.Tasks) <= tuning.MaxUnfinishedTasks*(1-tuning.AdmissionTaskReserveShare) {
		return true
	}
	weight := 0.0
	for _, t := range r.settings.Teams {
		if t.Name == request.Key.Team {
			weight = weightOf(t.Weight)
		}
	}
	return float64(tasks.Team+request.Tasks) <= tuning.MaxUnfinishedTasks*weight/r.teamWeightSum
}

// configureLimiter sets the rate of a limiter and returns it; if limiter is nil, it returns
// a new one. The limiter bounds the admitted jobs of a key, even if the followers forward
// more.
func configureLimiter(now time.Time, limiter *rate.Limiter, perSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(perSecond*tuning.AdmissionBurstTime.Seconds())))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst)
	return limiter
}
