package tuning

import "time"

// Admission under overload.
const (
	// AdmissionInterval paces policies: long enough for a rate to be measured, short
	// against the users' patience.
	AdmissionInterval = 1 * time.Second
	// AdmissionPolicyTTL is how long a node applies a policy that is not renewed: a few
	// lost heartbeats; after that everything goes to the leader.
	AdmissionPolicyTTL = 3 * time.Second
	// AdmissionTargetDelay is the wait of an acceptance for the state service that is
	// aimed at: well below what users wait for, and enough to keep transactions full.
	AdmissionTargetDelay = 400 * time.Millisecond
	// AdmissionTargetLag is the same for the leader's periodic work.
	AdmissionTargetLag = 1 * time.Second
	// AdmissionShedPressure is the multiple of those at which shedding begins: below, a
	// short burst is carried more quickly than anyone comes back.
	AdmissionShedPressure = 2.5
	// AdmissionMaxDecrease bounds what one look takes off the budget.
	AdmissionMaxDecrease = 2.0
	// AdmissionGrowth and AdmissionStep (jobs a second) let the budget grow, each
	// interval without pressure.
	AdmissionGrowth = 1.1
	AdmissionStep   = 0.5
	// AdmissionMinBudget is admitted always, in jobs a second: no class waits for ever.
	AdmissionMinBudget = 1.0
	// AdmissionCalmPeriod is how long all that is submitted must fit before shedding ends.
	AdmissionCalmPeriod = 5 * time.Second
	// AdmissionCapacityWeight is the weight of a new reading of what the state service
	// takes.
	AdmissionCapacityWeight = 0.3
	// AdmissionOfferedLoadDecay smooths what is submitted; users come back within about that.
	AdmissionOfferedLoadDecay = 3 * time.Second
	// AdmissionMinOfferRate is the rate, in submissions a second, below which a key is
	// left out of the division.
	AdmissionMinOfferRate = 0.02
	// AdmissionBurst is the time whose part of the budget may come at once.
	AdmissionBurst = 2 * time.Second
	// AdmissionRevisions is how many revisions old the policy may be that a follower has
	// applied: a heartbeat and a call on their way.
	AdmissionRevisions = 3
	// AdmissionReservedShare is the part of the budget given by guarantees and floors; the
	// rest is left to weights, so that teams without a guarantee get a fair part of it.
	AdmissionReservedShare = 0.5
	// AdmissionClassFloorShare is the part of a team's share divided evenly among its classes.
	AdmissionClassFloorShare = 0.2
	// AdmissionLowestRank is the lowest priority; each one above counts twice as much.
	AdmissionLowestRank = 3
	// AdmissionAgingUnit is the wait after which a job that was refused is twice as likely
	// to be admitted, AdmissionRetryWindow how long its user comes back (protocol: 60 s).
	AdmissionAgingUnit   = 10 * time.Second
	AdmissionRetryWindow = 60 * time.Second
	// AdmissionDependentAge is the wait that a job counts with whose needs are
	// accepted: fresh ones must not starve the rest of a chain.
	AdmissionDependentAge = 30 * time.Second
	// AdmissionRetryMinS and AdmissionRetryMaxS bound the time over which those who are
	// refused are spread, in seconds: several returns within the users' patience.
	AdmissionRetryMinS = 2.0
	AdmissionRetryMaxS = 9
	// AdmissionMaxRemembered bounds the ids that a node remembers in each of its two tables
	// (about 150 bytes each): what is refused within a minute at some 300 a second.
	AdmissionMaxRemembered = 20_000
	// AdmissionChecksPerSecond is how many jobs that come back a follower asks the leader about, a
	// second, before it turns them away again: their acceptance may have been lost on its
	// way. A question is one look into the leader's memory; AdmissionCheckTimeout bounds it.
	AdmissionChecksPerSecond = 20
	AdmissionCheckTimeout    = 250 * time.Millisecond
	// AdmissionTaskReserveShare is the part of MaxActiveTasks kept for teams that use less than
	// their share.
	AdmissionTaskReserveShare = 0.2
)
