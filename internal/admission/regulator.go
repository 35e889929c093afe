package admission

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// LeaderLoad is what a leader has to carry at a moment.
type LeaderLoad struct {
	// Waiting is the number of changes that users wait for and that are not durable.
	Waiting int
	// Written counts such changes sent to the state service in this term.
	Written int64
	// Lag is by how much the leader's periodic work came too late, for want of
	// processor time.
	Lag time.Duration
}

// TaskLoad are the unfinished tasks: of all teams, and of the one that asks.
type TaskLoad struct {
	All, Team int
}

// Regulator is the leader's part in admission, for one term: it measures the load,
// publishes the policy, and has the last word.
type Regulator struct {
	settings   *Settings
	teamFloors map[string]float64 // reserved parts of the budget, by team
	weights    float64            // of all teams

	demands         map[Key]*demand
	lastReported    map[string]NodeOfferedLoad // as last heard of each node
	uncounted       map[Key]*OfferedLoad       // of nodes that don't count their own
	uncountedBefore NodeOfferedLoad            // the same, as of the last update

	policy           Policy
	limiters         map[Key]*rate.Limiter
	shedding         bool
	budget           float64 // jobs to be admitted, a second
	capacity         float64 // changes that the state service takes, a second
	pressure         float64 // as of the last look, and of the one before
	previousPressure float64
	admitted         int
	written          int64

	updatedAt time.Time
	calmSince time.Time
}

// demand is what is submitted under a key, smoothed, a second.
type demand struct {
	count, boosted, weight float64
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
	}
	r.updatedAt = now
	for _, t := range s.Teams {
		r.weights += weightOf(t.Weight)
	}
	return r
}

// reserveFloors divides the reserved part of the budget: what the operators have set, and
// the rest in proportion to the guarantees.
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

func weightOf(set float64) float64 {
	if set > 0 {
		return set
	}
	return 1
}

// Shedding reports whether new jobs are turned away now.
func (r *Regulator) Shedding() bool { return r.shedding }

// Policy is the policy to be published.
func (r *Regulator) Policy() Policy { return r.policy }

// Update looks at the load and the offers of all nodes, and makes the next policy when it
// is time for one. wall is the time of day.
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

// measureDemand takes in what was submitted since the last look.
func (r *Regulator) measureDemand(passed time.Duration, nodes []NodeOfferedLoad) {
	decay := math.Exp(-passed.Seconds() / tuning.AdmissionOfferedLoadDecay.Seconds())
	for k, d := range r.demands {
		d.count *= decay
		d.boosted *= decay
		d.weight *= decay
		if d.count < tuning.AdmissionMinOfferRate {
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

// addDemand adds the difference between two counts of a node. A process that has started
// since counts from zero.
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
		d.boosted += max(0, o.Boosted-was.Boosted) * perSecond
		d.weight += max(0, o.Weight-was.Weight) * perSecond
	}
}

// measurePressure relates the load to what is wanted: above 1 there is too much of it.
func (r *Regulator) measurePressure(passed time.Duration, load LeaderLoad) {
	if written := load.Written - r.written; load.Waiting > 0 && written > 0 && passed > 0 {
		// Only a queue shows what the state service takes; during an outage it tells
		// nothing.
		drained := float64(written) / passed.Seconds()
		r.capacity += (min(drained, r.settings.WritesPerSecond) - r.capacity) * tuning.AdmissionCapacityWeight
	}
	r.written = load.Written
	r.previousPressure = r.pressure
	delay := float64(load.Waiting) / max(r.capacity, 1)
	r.pressure = max(delay/tuning.AdmissionTargetDelay.Seconds(), load.Lag.Seconds()/tuning.AdmissionTargetLag.Seconds())
}

// adjustBudget lets the budget grow slowly while there is room and shrink quickly when
// there is too much: like the congestion windows of TCP.
func (r *Regulator) adjustBudget(now time.Time, passed time.Duration) {
	admitted := float64(r.admitted) / max(passed.Seconds(), tuning.AdmissionInterval.Seconds())
	r.admitted = 0
	switch {
	case !r.shedding:
		// One look alone may come after a process that stood still, or in a short burst.
		if min(r.pressure, r.previousPressure) < tuning.AdmissionShedPressure {
			return
		}
		r.shedding = true
		r.budget = admitted / min(r.pressure, tuning.AdmissionMaxDecrease)
		r.calmSince = now
	case r.pressure > 1:
		r.budget = min(r.budget, max(admitted, 1)) / min(r.pressure, tuning.AdmissionMaxDecrease)
	default:
		r.budget = r.budget*tuning.AdmissionGrowth + tuning.AdmissionStep
	}
	r.budget = min(max(r.budget, tuning.AdmissionMinBudget), r.settings.WritesPerSecond)
	if r.pressure > 1 || r.offeredRate() > r.budget {
		r.calmSince = now
	}
	if now.Sub(r.calmSince) >= tuning.AdmissionCalmPeriod {
		r.shedding = false
	}
}

// divideBudget shares the budget among teams, and each team's part among its classes.
func (r *Regulator) divideBudget(now time.Time) {
	claims := make([]claimant, len(r.settings.Teams))
	for i, t := range r.settings.Teams {
		claims[i] = claimant{reserved: r.teamFloors[t.Name] * r.budget, weight: weightOf(t.Weight)}
		for k, d := range r.demands {
			if k.Team == t.Name {
				claims[i].demand += d.count
			}
		}
	}
	old := r.limiters
	r.limiters = map[Key]*rate.Limiter{}
	for i, granted := range divide(r.budget, claims) {
		r.divideTeam(now, &r.settings.Teams[i], granted, old)
	}
}

// divideTeam shares a team's part among its classes: a floor each, and the rest by the
// weights of classes and priorities.
func (r *Regulator) divideTeam(now time.Time, t *Team, granted float64, old map[Key]*rate.Limiter) {
	var keys []Key
	for _, name := range append(slices.Clip(r.settings.Classes), OtherClass) {
		if k := (Key{t.Name, name}); r.demands[k] != nil {
			keys = append(keys, k)
		}
	}
	claims := make([]claimant, len(keys))
	for i, k := range keys {
		d := r.demands[k]
		weight, floor := 1.0, tuning.AdmissionClassFloorShare/float64(len(keys))
		for _, c := range t.Classes {
			if c.Name == k.Class {
				weight = weightOf(c.Weight)
				floor = max(floor, c.Floor)
			}
		}
		claims[i] = claimant{demand: d.count, reserved: floor * granted, weight: weight * max(1, d.weight/d.count)}
	}
	for i, part := range divide(granted, claims) {
		k := keys[i]
		r.limiters[k] = r.setLimiter(now, old[k], part)
		if part < claims[i].demand {
			r.policy.Shares = append(r.policy.Shares, Share{k, min(1, part/r.demands[k].boosted)})
		}
	}
}

// setLimiter sets how many jobs of a key may be admitted a second, whatever the followers let
// through.
func (r *Regulator) setLimiter(now time.Time, b *rate.Limiter, perSecond float64) *rate.Limiter {
	burst := max(1, int(math.Ceil(perSecond*tuning.AdmissionBurst.Seconds())))
	if b == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	b.SetLimitAt(now, rate.Limit(perSecond))
	b.SetBurstAt(now, burst)
	return b
}

// Admit decides on a job that is new. claim is what the node that the user has reached
// says, nil from nodes without admission.
func (r *Regulator) Admit(now time.Time, q *Request, claim *Claim, tasks TaskLoad) Decision {
	if claim == nil {
		countRequest(r.uncounted, q)
	} else {
		q.Waited = claim.Waited()
	}
	share := r.policy.share(q.Key)
	if !r.hasTaskCapacity(q, tasks) {
		return rejection(q.ID, r.policy.Revision, 0)
	}
	if r.shedding {
		if !r.wasFiltered(claim) {
			if d := r.policy.Decide(q); !d.Admitted {
				return d
			}
		}
		if !r.limiterOf(now, q.Key).AllowN(now, 1) {
			return rejection(q.ID, r.policy.Revision, share)
		}
	}
	r.admitted++
	return Decision{Admitted: true}
}

// wasFiltered reports whether the node that the user has reached has applied a recent
// policy: to apply another revision here would shed twice.
func (r *Regulator) wasFiltered(claim *Claim) bool {
	return claim != nil && claim.Revision > 0 && claim.Revision+tuning.AdmissionRevisions >= r.policy.Revision
}

// limiterOf is the bucket of a key; one that nobody has asked under so far gets the part of
// one team among all.
func (r *Regulator) limiterOf(now time.Time, k Key) *rate.Limiter {
	b := r.limiters[k]
	if b == nil {
		b = r.setLimiter(now, nil, r.budget/max(r.weights, 1))
		r.limiters[k] = b
	}
	return b
}

// hasTaskCapacity keeps a part of the room for unfinished tasks to those teams that use less
// than their share of it: a few huge jobs of one team must not shut the others out.
func (r *Regulator) hasTaskCapacity(q *Request, tasks TaskLoad) bool {
	if float64(tasks.All+q.Tasks) <= tuning.MaxActiveTasks*(1-tuning.AdmissionTaskReserveShare) {
		return true
	}
	weight := 0.0
	for _, t := range r.settings.Teams {
		if t.Name == q.Key.Team {
			weight = weightOf(t.Weight)
		}
	}
	return float64(tasks.Team+q.Tasks) <= tuning.MaxActiveTasks*weight/r.weights
}

// Summary are the figures that operators look at.
type Summary struct {
	Shedding         bool
	Pressure, Budget float64
	// Offered is what is submitted a second, returns included; Shed are the keys of
	// which not everything is admitted.
	Offered float64
	Shed    []Share
}

// Summary returns them as of the last update.
func (r *Regulator) Summary() Summary {
	return Summary{Shedding: r.shedding, Pressure: r.pressure, Budget: r.budget, Offered: r.offeredRate(), Shed: r.policy.Shares}
}

// offeredRate is what is submitted under all keys, a second.
func (r *Regulator) offeredRate() float64 {
	total := 0.0
	for _, d := range r.demands {
		total += d.count
	}
	return total
}
