package tuning

import "time"

// Admission control: load measurement and the budget for new jobs.
const (
	// AdmissionInterval is the interval between policies: long enough to measure a
	// rate, and short compared with AdmissionRetryWindow.
	AdmissionInterval = 1 * time.Second
	// AdmissionTargetDelay is the target for the time that an accepted job waits for
	// the key-value store: well below the users' timeout, and long enough to fill
	// transactions.
	AdmissionTargetDelay = 400 * time.Millisecond
	// AdmissionTargetLag is the target for the delay of the leader's periodic work.
	AdmissionTargetLag = 1 * time.Second
	// AdmissionShedPressure is the multiple of the targets at which load shedding
	// begins: a smaller burst is served before a rejected user would retry.
	AdmissionShedPressure = 2.5
	// AdmissionMaxDecreaseFactor is the largest factor by which one update divides the
	// budget.
	AdmissionMaxDecreaseFactor = 2.0
	// In each interval without pressure the budget is multiplied by
	// AdmissionGrowthFactor, and then grows by AdmissionGrowthStep jobs per second.
	AdmissionGrowthFactor = 1.1
	AdmissionGrowthStep   = 0.5
	// AdmissionMinBudget is the smallest budget, in jobs per second, so that no class
	// starves.
	AdmissionMinBudget = 1.0
	// AdmissionRecoveryPeriod is how long the offered load must stay within the budget
	// before shedding ends.
	AdmissionRecoveryPeriod = 5 * time.Second
	// AdmissionCapacityWeight is the weight of a new measurement in the smoothed
	// capacity of the key-value store.
	AdmissionCapacityWeight = 0.3
	// AdmissionOfferedLoadDecay is the time constant of the smoothed offered load:
	// about the time after which users retry.
	AdmissionOfferedLoadDecay = 3 * time.Second
	// AdmissionMinOfferedRate is the rate, in submissions per second, below which a
	// key gets no share of the budget.
	AdmissionMinOfferedRate = 0.02
	// AdmissionBurstTime is the burst size of the rate limiters: the jobs of this
	// much time may be admitted at once.
	AdmissionBurstTime = 2 * time.Second
)

// Admission control: division of the budget among teams and classes.
const (
	// AdmissionReservedShare is the share of the budget that is reserved for
	// guarantees and floors. The rest is divided by weight, so that teams without a
	// guarantee get a fair share of it.
	AdmissionReservedShare = 0.5
	// AdmissionClassFloorShare is the share of a team's budget that is divided evenly
	// among its classes.
	AdmissionClassFloorShare = 0.2
	// AdmissionLowestPriorityRank is the rank of the lowest priority. Each higher
	// priority has twice the weight of the one below.
	AdmissionLowestPriorityRank = 3
	// AdmissionTaskReserveShare is the share of MaxActiveTasks that is reserved for
	// teams that use less than their share.
	AdmissionTaskReserveShare = 0.2
)

// Admission control: policies at the nodes, and retries by users.
const (
	// AdmissionPolicyTTL is how long a node applies a policy that is not renewed:
	// enough for a few lost heartbeats. After that the node forwards every submission
	// to the leader.
	AdmissionPolicyTTL = 3 * time.Second
	// AdmissionMaxRevisionLag is how many revisions the policy that a follower has
	// applied may be behind the leader's: enough for a heartbeat and a call in flight.
	AdmissionMaxRevisionLag = 3
	// AdmissionAgingUnit is the wait after which a rejected job is twice as likely to
	// be admitted. AdmissionRetryWindow is how long its user retries (protocol: 60 s).
	AdmissionAgingUnit   = 10 * time.Second
	AdmissionRetryWindow = 60 * time.Second
	// AdmissionDependentWait is the minimum wait that a job is credited with if its
	// dependencies are accepted: new jobs must not starve the rest of a chain.
	AdmissionDependentWait = 30 * time.Second
	// AdmissionRetryMinS and AdmissionRetryMaxS bound the time over which retries are
	// spread, in seconds: several retries fit into AdmissionRetryWindow.
	AdmissionRetryMinS = 2.0
	AdmissionRetryMaxS = 9
	// AdmissionMaxTrackedJobs bounds the job IDs in each of a node's two tables, at
	// about 150 bytes each: the rejections of a minute at some 300 per second.
	AdmissionMaxTrackedJobs = 20_000
	// AdmissionLeaderQueriesPerSecond bounds the rate at which a follower asks the
	// leader about retried jobs before it rejects them again: the response to an
	// earlier acceptance may have been lost. The leader replies from memory;
	// AdmissionLeaderQueryTimeout bounds the wait.
	AdmissionLeaderQueriesPerSecond = 20
	AdmissionLeaderQueryTimeout     = 250 * time.Millisecond
)
