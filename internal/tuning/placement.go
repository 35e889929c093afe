package tuning

import "time"

// The leader's event loop and the cost of placement passes.
const (
	// PassInterval is the pause between two placement passes, in which changes
	// accumulate: a pass visits every schedulable machine, and its starts share one record.
	PassInterval = 80 * time.Millisecond
	// TickInterval is the longest pause between two ticks, which do what is due.
	TickInterval = 200 * time.Millisecond
	// TickIntervalMin is the shortest such pause.
	TickIntervalMin = 20 * time.Millisecond
	// SummaryInterval is the interval of the summary in the debug log.
	SummaryInterval = 5 * time.Second
	// PassMaxStarts bounds the starts of one pass, as the controller has a share
	// of a core only; the rest follows in the next pass.
	PassMaxStarts = 200
	// PassMaxScoredPairs bounds the pairs of job and machine that a pass scores
	// before it scores no further job; at twice that it ends. It is some
	// milliseconds of work, after which renewals and answers get their turn.
	PassMaxScoredPairs = 20_000
	// PassDelayPerScoredPair is the pause that each scored pair adds before the
	// next pass. A score takes about a microsecond of a whole core on the operators'
	// machines and four of a controller's share, so passes take at most half of it.
	PassDelayPerScoredPair = 4 * time.Microsecond
	// PassMaxQueuedTasks bounds the tasks that a pass queues behind busy machines;
	// more would only repeat the same work in the next pass.
	PassMaxQueuedTasks = 128
	// MaxTasksPerMachine bounds the tasks running and queued on a machine, so that
	// its part of a start record stays far below the value limit.
	MaxTasksPerMachine = 128
)

// The order of jobs.
const (
	// AgingThreshold is how long a job waits without a start before some of its
	// tasks go first, whatever the priority and urgency of others, so that none
	// starves under a lasting backlog. The operators want no job that could start
	// to wait for 90 s.
	AgingThreshold = 80 * time.Second
	// AgedTaskShare is the share of a job's tasks that go first then.
	AgedTaskShare = 0.05
	// UrgencyStepS is the difference in slack, in seconds, below which jobs of one
	// priority count as equally urgent and the speedup decides.
	UrgencyStepS = 20.0
	// SizeWeight is the cost in slack, in seconds, of each second that a job would
	// keep all machines busy.
	SizeWeight = 6.0
	// NoDeadlineSlackS is the slack, in seconds, of new jobs without a deadline and
	// of those that can't meet theirs. It shrinks with their age: they come after
	// most jobs that can be in time, but don't wait forever.
	NoDeadlineSlackS = 400.0
	// ChainedJobDelay is what each stage of a chain of dependent jobs takes beyond its
	// tasks' run time and image fetch: the last heartbeat, its record, the
	// placement, the next heartbeat.
	ChainedJobDelay = 3 * time.Second
)

// Estimates of run times.
const (
	// MinRemainingS is the shortest remaining time of a running task, in seconds,
	// however far it is beyond its estimate.
	MinRemainingS = 1.0
	// MinimumEstimateS replaces shorter estimates, in seconds, so that none counts
	// as free of cost.
	MinimumEstimateS = 1.0
	// StartDelayWeight is the weight of a new start in the smoothed time that
	// starts take: some dozen starts, a second or two under a backlog.
	StartDelayWeight = 0.05
	// EstimateWeight is the weight of a new observation in the ratio of run time
	// to estimate of a job class.
	EstimateWeight = 0.05
)

// Failures of tasks and of machines.
const (
	// FailureBackoffMin and FailureBackoffMax bound the exponential backoff of a
	// job whose tasks fail, so that it doesn't starve others.
	FailureBackoffMin = 2 * time.Second
	FailureBackoffMax = 60 * time.Second
	// UnknownJobBackoff is the pause after a worker found a job not uploaded yet.
	UnknownJobBackoff = 3 * time.Second
	// FullMachineBackoff is how long a machine that refused a start for want of
	// capacity gets no new ones.
	FullMachineBackoff = 3 * time.Second
	// QuarantineJobs is the number of different jobs whose tasks must fail on a
	// machine in a row before it is quarantined as faulty.
	QuarantineJobs = 2
	// FailsEverywhereMachines is the number of machines on which a job must have
	// failed, and succeeded on none, to be at fault itself: it hardly meets two
	// faulty machines.
	FailsEverywhereMachines = 2
)
