package tuning

import "time"

// The leader's event loop, and bounds on the cost of placement passes.
const (
	// PassInterval is the pause between two placement passes, during which changes
	// accumulate: a pass visits every schedulable machine, and its starts share one
	// record.
	PassInterval = 80 * time.Millisecond
	// TickInterval is the longest pause between two ticks of the event loop.
	TickInterval = 200 * time.Millisecond
	// TickIntervalMin is the shortest such pause.
	TickIntervalMin = 20 * time.Millisecond
	// SummaryInterval is the interval between summaries in the log.
	SummaryInterval = 5 * time.Second
	// PassMaxStarts bounds the starts of one pass, as the controller has only a share
	// of a core. The next pass starts the rest.
	PassMaxStarts = 200
	// PassMaxScoredPairs bounds the scored pairs of job and machine: beyond it a pass
	// begins no further job, and at twice the number it ends. That is some milliseconds
	// of work, after which the leader handles lease renewals and responses.
	PassMaxScoredPairs = 20_000
	// PassDelayPerScoredPair is the pause before the next pass for each scored pair.
	// Scoring a pair takes about one microsecond on a whole core of the operators'
	// machines, and four on a controller's share of a core. Passes thus use at most
	// half of that share.
	PassDelayPerScoredPair = 4 * time.Microsecond
	// PassMaxQueuedTasks bounds the tasks that a pass queues on busy machines; with
	// more, the next pass would repeat the same work.
	PassMaxQueuedTasks = 128
	// MaxTasksPerMachine bounds the running and queued tasks of a machine, so that its
	// part of a start record stays far below the value limit.
	MaxTasksPerMachine = 128
)

// The order of jobs.
const (
	// AgingThreshold is how long a job waits without a start before some of its tasks
	// precede all others, regardless of priority and urgency, so that no job starves
	// under a lasting backlog. Operators require that no job that could start waits
	// for 90 s.
	AgingThreshold = 80 * time.Second
	// AgedTaskShare is the share of a job's tasks that precede others after
	// AgingThreshold.
	AgedTaskShare = 0.05
	// UrgencyResolutionS is the difference in slack, in seconds, below which jobs of
	// one priority are equally urgent, so that the speedup determines their order.
	UrgencyResolutionS = 20.0
	// SizeWeight is the penalty, in seconds of slack, for each second that a job would
	// keep all machines busy.
	SizeWeight = 6.0
	// NoDeadlineSlackS is the slack, in seconds, of new jobs without a deadline and
	// of new jobs that can't meet theirs. The slack shrinks with age: these jobs follow
	// most jobs that can meet their deadline, but don't wait forever.
	NoDeadlineSlackS = 400.0
	// ChainedJobDelay is the overhead of each stage in a chain of dependent jobs, on top of
	// run time and image fetch: the last heartbeat, the write of its record, the
	// placement, and the next heartbeat.
	ChainedJobDelay = 3 * time.Second
)

// Estimates of run times.
const (
	// MinRemainingS is the shortest assumed remaining time of a running task, in
	// seconds, however far it has exceeded its estimate.
	MinRemainingS = 1.0
	// MinimumEstimateS replaces shorter estimates, in seconds, so that no task counts
	// as free.
	MinimumEstimateS = 1.0
	// StartDelayWeight is the weight of a new start in the smoothed start delay. The
	// average covers some dozen starts: a second or two under a backlog.
	StartDelayWeight = 0.05
	// EstimateWeight is the weight of a new observation in a job class's smoothed
	// ratio of run time to estimate.
	EstimateWeight = 0.05
)

// Failures of tasks and of machines.
const (
	// FailureBackoffMin and FailureBackoffMax bound the exponential backoff of a job
	// whose tasks fail, so that its retries don't starve other jobs.
	FailureBackoffMin = 2 * time.Second
	FailureBackoffMax = 60 * time.Second
	// UnknownJobBackoff is the delay after a worker reported that a job is not uploaded
	// yet.
	UnknownJobBackoff = 3 * time.Second
	// FullMachineBackoff is how long a machine gets no new starts after it refused one
	// for lack of capacity.
	FullMachineBackoff = 3 * time.Second
	// FaultyMachineJobs is the number of different jobs whose tasks must fail in
	// succession on a machine before it is quarantined as faulty.
	FaultyMachineJobs = 2
	// FaultyJobMachines is the number of machines on which a job must have failed
	// without a success on any before the job itself counts as faulty: a job rarely
	// runs on two faulty machines.
	FaultyJobMachines = 2
)
