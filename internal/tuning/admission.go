package tuning

import "time"

// Admission control: load measurement, and the budget, which is the number of new jobs
// that the leader admits per second while it sheds load.
const (
	// AdmissionInterval is the interval at which the leader measures its load and
	// publishes a new policy: long enough to measure a rate, and short compared with
	// AdmissionRetryWindow.
	AdmissionInterval = 1 * time.Second
	// AdmissionTargetDelay is the target for the time until an accepted job is durable
	// in the key-value store: well below the users' timeout, and long enough to collect
	// the writes of a full transaction.
	AdmissionTargetDelay = 400 * time.Millisecond
	// AdmissionTargetLag is the target for how late the leader's periodic work runs. It runs
	// late when the leader lacks CPU time.
	AdmissionTargetLag = 1 * time.Second
	// AdmissionShedPressure is the multiple of the targets at which load shedding
	// begins. The jobs of a smaller burst have all been accepted before a rejected user
	// would retry.
	AdmissionShedPressure = 2.5
	// AdmissionMaxDecreaseFactor is the largest factor by which the budget is divided
	// in one interval.
	AdmissionMaxDecreaseFactor = 2.0
	// In each interval in which the load is within the targets, the budget is multiplied
	// by AdmissionGrowthFactor, and then grows by AdmissionGrowthStep jobs per second.
	AdmissionGrowthFactor = 1.1
	AdmissionGrowthStep   = 0.5
	// AdmissionMinBudget is the smallest budget, in jobs per second. Without a minimum,
	// a class could be rejected entirely.
	AdmissionMinBudget = 1.0
	// AdmissionRecoveryPeriod is how long the offered load must stay within the budget,
	// and the leader's load within the targets, before load shedding ends.
	AdmissionRecoveryPeriod = 5 * time.Second
	// AdmissionCapacityWeight is the weight of a new measurement in the smoothed
	// capacity of the key-value store.
	AdmissionCapacityWeight = 0.3
	// AdmissionOfferedLoadDecay is the time constant of the smoothed rates of
	// submissions: about the time after which users retry.
	AdmissionOfferedLoadDecay = 3 * time.Second
	// AdmissionMinOfferedRate is the rate, in submissions per second, below which a
	// class of jobs of a team gets no share of the budget.
	AdmissionMinOfferedRate = 0.02
	// AdmissionBurstTime gives the burst size of the rate limiters: as many jobs may be
	// admitted at once as the rate allows in this time.
	AdmissionBurstTime = 2 * time.Second
)

// Admission control: division of the budget among teams and classes.
const (
	// AdmissionReservedShare is the share of the budget that is reserved for the
	// operators' floors, and for teams with a guaranteed quota in proportion to it. The
	// rest is divided by weight, so that teams without a guarantee get a fair share too.
	AdmissionReservedShare = 0.5
	// AdmissionClassFloorShare is the share of a team's budget that is reserved for its
	// classes in equal parts.
	AdmissionClassFloorShare = 0.2
	// AdmissionLowestPriorityRank is the rank of the lowest priority; 0 is the highest.
	// Each priority has twice the weight of the next lower one.
	AdmissionLowestPriorityRank = 3
	// AdmissionTaskReserveShare is the share of MaxUnfinishedTasks that is reserved for
	// teams whose unfinished tasks are fewer than their part by weight.
	AdmissionTaskReserveShare = 0.2
)

// Admission control: policies at the nodes, and retries by users.
const (
	// AdmissionPolicyTTL is how long a node applies a policy if it gets no newer one:
	// enough for a few lost heartbeats. After that the node forwards every submission
	// to the leader.
	AdmissionPolicyTTL = 3 * time.Second
	// AdmissionMaxRevisionLag is the number of revisions by which a policy that a
	// follower applied may be older than the leader's: policies arrive with heartbeats,
	// and a newer one may be made while the follower's call is in flight.
	AdmissionMaxRevisionLag = 3
	// AdmissionAgingUnit is the time after the first rejection at which a job is twice as
	// likely to be admitted as a new one; the likelihood grows linearly.
	// AdmissionRetryWindow is how long a user retries a rejected job (protocol: 60 s).
	AdmissionAgingUnit   = 10 * time.Second
	AdmissionRetryWindow = 60 * time.Second
	// AdmissionDependentWait is the shortest time since the first rejection that is
	// assumed for a job whose dependencies were accepted. Otherwise new jobs could starve
	// the rest of a chain of dependent jobs.
	AdmissionDependentWait = 30 * time.Second
	// AdmissionRetrySpreadMinS and AdmissionRetrySpreadMaxS bound the time, in seconds,
	// over which the retries of rejected jobs are spread. The maximum lets several
	// retries of a job fit into AdmissionRetryWindow.
	AdmissionRetrySpreadMinS = 2.0
	AdmissionRetrySpreadMaxS = 9
	// AdmissionMaxTrackedJobs bounds the job IDs that a node keeps in its table of
	// rejected jobs, and in that of admitted jobs, at about 150 bytes per ID. It covers
	// the rejections of a minute at some 300 per second.
	AdmissionMaxTrackedJobs = 20_000
	// Before a follower rejects a retried job, it queries the leader whether the job was
	// accepted earlier and only the response was lost. AdmissionLeaderQueriesPerSecond
	// bounds the rate of these queries, and AdmissionLeaderQueryTimeout the wait for a
	// reply, which the leader gives from memory.
	AdmissionLeaderQueriesPerSecond = 20
	AdmissionLeaderQueryTimeout     = 250 * time.Millisecond
)
