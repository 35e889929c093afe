package tuning

import "time"

// The leader's event loop, and bounds on the cost of placement passes.
const (
	// PlacementInterval is the shortest time between two placement passes. Changes
	// accumulate in the meantime, because a pass is expensive: it visits every schedulable
	// machine, and writes one record of all its starts.
	PlacementInterval = 80 * time.Millisecond
	// TickInterval is the longest time between two ticks of the event loop.
	TickInterval = 200 * time.Millisecond
	// TickIntervalMin is the shortest such time.
	TickIntervalMin = 20 * time.Millisecond
	// SummaryInterval is the interval between the leader's summaries in the log.
	SummaryInterval = 5 * time.Second
	// PlacementMaxStarts bounds the starts of one pass, because the controller has only a
	// share of a core. The next pass starts the rest.
	PlacementMaxStarts = 200
	// PlacementMaxScoredPairs bounds the pairs of job and machine that a pass scores:
	// beyond this number the pass scores no further job, and at twice the number it ends.
	// The limits bound a pass to some milliseconds of work, during which lease renewals
	// and responses wait.
	PlacementMaxScoredPairs = 20_000
	// PlacementDelayPerScoredPair is added to PlacementInterval for each pair that the
	// last pass scored. Scoring a pair takes about one microsecond on a whole core of the
	// operators' machines, and four microseconds on a controller's share of a core. Passes
	// thus use at most half of that share.
	PlacementDelayPerScoredPair = 4 * time.Microsecond
	// PlacementMaxQueuedTasks bounds the tasks that a pass queues on busy machines. The
	// next pass assigns queued tasks anew, so queueing more of them repeats the same work.
	PlacementMaxQueuedTasks = 128
	// MaxTasksPerMachine bounds the running and queued tasks of a machine. A heartbeat lists
	// all of them in a body of at most 64 KiB, in up to 100 bytes each, beside exited ones.
	MaxTasksPerMachine = 400
)

// The order of jobs.
const (
	// AgingThreshold is how long a job waits without a start before some of its tasks
	// precede all others, regardless of priority and urgency. Otherwise a job could starve
	// under a long backlog. Operators require that no job that could start waits for 90 s.
	AgingThreshold = 80 * time.Second
	// AgedTaskShare is the share of a job's tasks that precede all others after
	// AgingThreshold.
	AgedTaskShare = 0.05
	// UrgencyResolutionS is the width, in seconds of slack, of the steps to which urgency
	// is rounded. Jobs of one priority in the same step are equally urgent, and the
	// speedup determines their order.
	UrgencyResolutionS = 20.0
	// SizeWeight is the number of seconds by which the slack of a job is increased for
	// each second that the job would keep all machines busy, so that small jobs precede.
	SizeWeight = 6.0
	// NoDeadlineSlackS is the slack, in seconds, of new jobs that have no deadline or
	// can't meet it. It places them after most jobs that can meet their deadline. The
	// slack decreases while a job waits, and thus no job waits forever.
	NoDeadlineSlackS = 400.0
	// DependentStartDelay is the estimated delay between the end of a job and the start
	// of its dependent, apart from the image fetch: the heartbeat that reports the end, the
	// write of its record, the placement, and the heartbeat that starts the dependent.
	DependentStartDelay = 3 * time.Second
)

// Estimates of run times.
const (
	// MinRemainingS is the shortest assumed remaining time of a running task, in
	// seconds. It applies to tasks that have run for longer than their estimate.
	MinRemainingS = 1.0
	// MinimumEstimateS replaces shorter estimates of a run time, in seconds. Otherwise a
	// task could count as taking no time.
	MinimumEstimateS = 1.0
	// StartDelayWeight is the weight of a new start in the smoothed start delay. The
	// average covers some dozen starts, which take a second or two under a backlog.
	StartDelayWeight = 0.05
	// EstimateWeight is the weight of a new observation in a job class's smoothed
	// ratio of run time to estimate.
	EstimateWeight = 0.05
)

// Failures of tasks and of machines.
const (
	// FailureBackoffMin and FailureBackoffMax bound the exponential backoff of a job
	// whose tasks fail. Without a backoff its retries would starve other jobs.
	FailureBackoffMin = 2 * time.Second
	FailureBackoffMax = 60 * time.Second
	// UnknownJobBackoff is the delay before a job is started again after a worker
	// reported that the job is not uploaded yet.
	UnknownJobBackoff = 3 * time.Second
	// RefusedTaskBackoff is how long a machine gets no new starts after it refused one
	// for lack of capacity.
	RefusedTaskBackoff = 3 * time.Second
	// JobExclusionTime is how long a job whose task has failed on a machine isn't placed
	// there, even if no other machine can run it. Operators require that no job waits for
	// 90 s while a machine that fits has capacity.
	JobExclusionTime = 60 * time.Second
	// QuarantineTime is how long a quarantined machine that still runs tasks gets no new
	// ones. One without tasks is released instead.
	QuarantineTime = 60 * time.Second
	// FaultyMachineJobs is the number of different jobs whose tasks must fail in
	// succession on a machine before it is quarantined as faulty.
	FaultyMachineJobs = 2
	// FaultyJobMachines is the number of machines on which a job's tasks must have
	// failed, while none has completed anywhere, before the job itself counts as faulty:
	// a job rarely runs on two faulty machines.
	FaultyJobMachines = 2
)
