package tuning

import "time"

// Admission: load measurement and the budget of new jobs.
const (
	// AdmissionInterval is the interval of policies: long enough to measure a rate,
	// short against the time for which users retry.
	AdmissionInterval = 1 * time.Second
	// AdmissionTargetDelay is the target for the time that an acceptance waits for
	// the key-value store: well below what users wait, and enough to fill transactions.
	AdmissionTargetDelay = 400 * time.Millisecond
	// AdmissionTargetLag is the same for the leader's periodic work.
	AdmissionTargetLag = 1 * time.Second
	// AdmissionShedPressure is the multiple of the targets at which shedding begins:
	// a shorter burst is served sooner than anybody would retry.
	AdmissionShedPressure = 2.5
	// AdmissionMaxDecreaseFactor is the largest factor by which one update divides the budget.
	AdmissionMaxDecreaseFactor = 2.0
	// AdmissionGrowthFactor is the factor and AdmissionStep the rate, in jobs a second, by
	// which the budget grows in each interval without pressure.
	AdmissionGrowthFactor = 1.1
	AdmissionGrowthStep   = 0.5
	// AdmissionMinBudget is the smallest budget, in jobs a second, so that no class
	// starves.
	AdmissionMinBudget = 1.0
	// AdmissionRecoveryPeriod is how long the offered load must fit into the budget
	// before shedding ends.
	AdmissionRecoveryPeriod = 5 * time.Second
	// AdmissionCapacityWeight is the weight of a new measurement in the smoothed
	// capacity of the key-value store.
	AdmissionCapacityWeight = 0.3
	// AdmissionOfferedLoadDecay is the time constant of the smoothed offered load:
	// about the time after which users retry.
	AdmissionOfferedLoadDecay = 3 * time.Second
	// AdmissionMinOfferedRate is the rate, in submissions a second, below which a key
	// has no part in the division.
	AdmissionMinOfferedRate = 0.02
	// AdmissionBurstTime is the time whose part of the budget may be used at once.
	AdmissionBurstTime = 2 * time.Second
)

// Admission: division of the budget among teams and classes.
const (
	// AdmissionReservedShare is the share of the budget given by guarantees and
	// floors; the rest is divided by weights, so that teams without a guarantee get
	// a fair share of it.
	AdmissionReservedShare = 0.5
	// AdmissionClassFloorShare is the share of a team's part that is divided evenly
	// among its classes.
	AdmissionClassFloorShare = 0.2
	// AdmissionLowestPriorityRank is the rank of the lowest priority; each one above counts
	// twice as much.
	AdmissionLowestPriorityRank = 3
	// AdmissionTaskReserveShare is the share of MaxActiveTasks kept for teams that
	// use less than their share.
	AdmissionTaskReserveShare = 0.2
)

// Admission: policies at the nodes, and retries of users.
const (
	// AdmissionPolicyTTL is how long a node applies a policy that is not renewed: a
	// few lost heartbeats. Afterwards every submission goes to the leader.
	AdmissionPolicyTTL = 3 * time.Second
	// AdmissionMaxRevisionLag is how many revisions old the policy that a follower has
	// applied may be: a heartbeat and a call in flight.
	AdmissionMaxRevisionLag = 3
	// AdmissionAgingUnit is the wait after which a rejected job is twice as likely to
	// be admitted, AdmissionRetryWindow how long its user retries (protocol: 60 s).
	AdmissionAgingUnit   = 10 * time.Second
	AdmissionRetryWindow = 60 * time.Second
	// AdmissionDependentWait is the wait that a job counts with whose dependencies
	// are accepted: new jobs must not starve the rest of a chain.
	AdmissionDependentWait = 30 * time.Second
	// AdmissionRetryMinS and AdmissionRetryMaxS bound the time over which retries are
	// spread, in seconds: several fit into AdmissionRetryWindow.
	AdmissionRetryMinS = 2.0
	AdmissionRetryMaxS = 9
	// AdmissionMaxTrackedJobs bounds the job IDs in each of a node's two tables (about
	// 150 bytes each): what is rejected within a minute at some 300 a second.
	AdmissionMaxTrackedJobs = 20_000
	// AdmissionLeaderQueriesPerSecond is how many retried jobs a follower asks the leader
	// about before it rejects them again, as their acceptance may have been lost. The
	// leader answers from memory; AdmissionCheckTimeout bounds the wait.
	AdmissionLeaderQueriesPerSecond = 20
	AdmissionLeaderQueryTimeout     = 250 * time.Millisecond
)
