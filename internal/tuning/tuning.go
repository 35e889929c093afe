// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. What depends on a deployment comes from the
// settings and the machine types instead.
package tuning

import "time"

// Clocks.
const (
	// ClockDrift is the relative error of a steady clock (protocol: 0.05%);
	// doubled, as two machines' clocks may err in opposite directions.
	ClockDrift = 0.001
	// LeaseSafetyMargin is taken off the end of a leader's authority, for the
	// time between a check and the answer leaving the process.
	LeaseSafetyMargin = 250 * time.Millisecond
	// LeaseExpiryMargin is added before a worker's lease is presumed over, for
	// timer steps and scheduling pauses on the worker's side.
	LeaseExpiryMargin = 1 * time.Second
)

// Leadership.
const (
	// LeaderLeaseTTL is the life of the leader's lease in the state service: long
	// enough for a few slow renewals, short enough for a quick succession.
	LeaderLeaseTTL = 2 * time.Second
	// LeaseRenewInterval paces renewals: four tries within one life.
	LeaseRenewInterval = 450 * time.Millisecond
	// LeaseRenewTimeout bounds one renewal; the state service seldom takes more
	// than a few hundred milliseconds, and a second try must fit in.
	LeaseRenewTimeout = 700 * time.Millisecond
	// CampaignJitter spreads simultaneous campaigns of several nodes a little.
	// Previous versions took up to 60 ms, so that during an upgrade mostly a node
	// wins that has been upgraded, and does not end soon.
	CampaignJitter = 5 * time.Millisecond
	// CampaignRetryDelay paces campaigns and reads that failed.
	CampaignRetryDelay = 300 * time.Millisecond
	// WatchTimeout is how long a follower's watch on the leader key may wait;
	// a bound on what a lost answer can hide.
	WatchTimeout = 3 * time.Second
	// GracePeriodReserve is kept free within cancel_s when the time is chosen for
	// which a leader without the state service goes on answering reports, and
	// any leader a machine to which a start may come late: that time + worker
	// lease + reserve stays below cancel_s.
	GracePeriodReserve = 5 * time.Second
)

// State service.
const (
	// StoreTimeout bounds a read or a transaction before its outcome counts
	// as unknown.
	StoreTimeout = 1500 * time.Millisecond
	// StoreTimeoutFactor is the multiple of a transaction's usual time after which
	// a leader sends it again, StoreTimeoutMin the shortest such time: "now and
	// then a few hundred" milliseconds are no reason yet.
	StoreTimeoutFactor = 5
	StoreTimeoutMin    = 250 * time.Millisecond
	// StoreLatencyWindow is the number of transactions over which their usual time is
	// smoothed: about a second of them.
	StoreLatencyWindow = 8
	// StoreRetryDelay is the pause after a refusal (429, 503).
	StoreRetryDelay = 150 * time.Millisecond
	// CorruptRecordRetryDelay is the pause before a leader reads everything again after it
	// has found a record that it can't do without damaged: somebody has to mend
	// it.
	CorruptRecordRetryDelay = 5 * time.Second
	// StoreLeaderShare and StoreFollowerShare divide the request budget: the
	// leader writes, each of the others only watches the leader key.
	StoreLeaderShare   = 0.70
	StoreFollowerShare = 0.20
	// StoreWriteShare is the part of the write budget that the leader uses;
	// the rest is left to campaigns and to a predecessor's last writes.
	StoreWriteShare = 0.85
	// WriteBatchInterval lets changes gather between two transactions.
	WriteBatchInterval = 15 * time.Millisecond
	// MaxTransactionBytes bounds a transaction's values (protocol: 64 KiB altogether).
	MaxTransactionBytes = 48 << 10
	// PageSize is the number of keys asked for at once (protocol: 1,000).
	PageSize = 1000
	// StartRecordValueShare is the part of the value limit that a start record fills; its
	// size is reckoned before it is written.
	StartRecordValueShare = 0.9
	// CompletionChunkTasks is the number of tasks whose completion shares one key at most;
	// CompletionBytesPerTask is the most that a task adds to it: ranges of two take twelve
	// bytes for every three ("10000-10001,").
	CompletionChunkTasks   = 1024
	CompletionBytesPerTask = 4
	// DependentWritesDivisor is the part of a transaction (one over it) that final states
	// which follow from those of other jobs may always take: thousands of them
	// must neither wait for ever nor hold up what users wait for.
	DependentWritesDivisor = 4
	// InteractiveWritesDivisor is the part of a transaction (one over it) that changes which
	// users wait for fill before records of starts; while new jobs are shed, the same part
	// of that goes to completions and deletions before the rest is filled.
	InteractiveWritesDivisor = 2
	// DependencyStepsPerTick bounds the jobs that one look lets go on, cancels or weighs
	// after others have ended: about a millisecond of work.
	DependencyStepsPerTick = 500
	// CompletionFlushDelay lets completions of one job gather before they are written:
	// the worker keeps its memory of them until then, so nothing is lost by it,
	// and many jobs of short tasks are over by then.
	CompletionFlushDelay = 1 * time.Second
)

// Cloud.
const (
	// CloudTimeout bounds a call; the cloud answers in a fraction of a second.
	CloudTimeout = 5 * time.Second
	// CloudShare is the part of the call budget that the leader uses.
	CloudShare = 0.9
	// ListIntervalFactor paces machine lists, as a multiple of the list's lag.
	ListIntervalFactor = 0.6
	// UrgentListIntervalFactor is the same while machines are silent: a list without them
	// frees their tasks long before their leases would.
	UrgentListIntervalFactor = 0.25
	// ListIntervalMin is the shortest pause between lists.
	ListIntervalMin = 2 * time.Second
	// CatalogueInterval paces price updates.
	CatalogueInterval = 60 * time.Second
	// UnavailableOfferBackoff is how long a type, zone and kind is left alone after it
	// had no capacity; a refusal costs one call.
	UnavailableOfferBackoff = 6 * time.Second
	// CloudRetryDelay paces retries of calls that failed.
	CloudRetryDelay = 1 * time.Second
	// MaxProvisionCount is the largest rental (protocol: 50).
	MaxProvisionCount = 50
	// MaxReleaseCount is the largest release (protocol: 100).
	MaxReleaseCount = 100
	// ProvisionsInFlight bounds the rentals without an answer, in seconds of the
	// leader's call budget: more would queue up in front of lists and releases.
	ProvisionsInFlight = 3.0
	// ReleasesInFlight bounds the releases without an answer in the same way:
	// mostly one is enough for all, but when a zone with several hundred machines
	// is given up, tasks wait for it.
	ReleasesInFlight = 0.5
	// MinimumBillingTime is what a deleted machine costs at least: returning it
	// earlier saves nothing.
	MinimumBillingTime = 60 * time.Second
)

// Placement.
const (
	// PassInterval is the pause between two placement passes, to gather changes: a
	// pass looks at every open machine, and its starts share one record.
	PassInterval = 80 * time.Millisecond
	// TickInterval is the longest pause between two looks at what is due.
	TickInterval = 200 * time.Millisecond
	// TickIntervalMin is the shortest.
	TickIntervalMin = 20 * time.Millisecond
	// SummaryInterval paces the summary in the debug log.
	SummaryInterval = 5 * time.Second
	// PassMaxStarts bounds the starts of one pass, for the controller's share of
	// a core; the rest follows in the next pass.
	PassMaxStarts = 200
	// PassMaxScoredPairs bounds the pairs of job and machine that one pass looks at
	// before it takes in no further job; at twice that it ends. Some
	// milliseconds of work, after which renewals and answers get their turn;
	// the rest follows in the next pass.
	PassMaxScoredPairs = 20_000
	// PassDelayPerScoredPair is the pause that each of these pairs adds before the next
	// pass. A score takes about a microsecond of a whole core on the operators'
	// machines and four of a controller's share: passes take half of it at most.
	PassDelayPerScoredPair = 4 * time.Microsecond
	// PassMaxQueuedTasks bounds the tasks that one pass puts in line behind busy
	// machines; more would only repeat the same look at the next pass.
	PassMaxQueuedTasks = 128
	// MaxTasksPerMachine bounds the tasks running and queued on one machine, so
	// that its part of a start record stays far below the value limit.
	MaxTasksPerMachine = 128
	// AgingThreshold is how long a job waits without a start before some of its
	// tasks go first, whatever the priority and urgency of others: no class,
	// team or large job starves behind a lasting backlog. The operators want no job
	// left waiting for 90 s where it could start.
	AgingThreshold = 80 * time.Second
	// AgedTaskShare is the part of a job's tasks that go first then.
	AgedTaskShare = 0.05
	// FailureBackoffMin and FailureBackoffMax bound the exponential pause of a job whose tasks
	// fail, so that it doesn't starve others.
	FailureBackoffMin = 2 * time.Second
	FailureBackoffMax = 60 * time.Second
	// UnknownJobBackoff is the pause after a worker found a job not uploaded yet.
	UnknownJobBackoff = 3 * time.Second
	// MinRemainingS is the least wait behind a running task, in seconds, however
	// long it is over its estimate.
	MinRemainingS = 1.0
	// UrgencyStepS is the difference in slack, in seconds, below which jobs of
	// one priority count as equally urgent and the speedup decides.
	UrgencyStepS = 20.0
	// SizeWeight is what a second of work for all machines counts against a
	// job, in seconds of slack.
	SizeWeight = 6.0
	// NoDeadlineSlackS is the slack, less their age, that jobs without a time to meet
	// and those too late for any count with, in seconds: behind most that can
	// be in time, but not for ever.
	NoDeadlineSlackS = 400.0
	// StageDelay is what each stage of a chain takes beyond its tasks' run time
	// and image: the last report, its record, the placement, the next report.
	StageDelay = 3 * time.Second
	// FullMachineBackoff keeps a machine that refused a start free of new ones.
	FullMachineBackoff = 3 * time.Second
	// QuarantineJobs is the number of different jobs whose tasks must fail on a
	// machine in a row before the machine is taken for faulty and drained.
	QuarantineJobs = 2
	// FailsEverywhereMachines is the number of machines on which a job must have failed, and ended
	// on none, to be taken for one that fails everywhere: hardly two machines that it
	// tries are faulty.
	FailsEverywhereMachines = 2
	// StartDelayWeight is the weight of a new start in the smoothed time that starts take:
	// some dozen starts, a second or two under a backlog.
	StartDelayWeight = 0.05
	// EstimateWeight is the weight of a new observation in the per-class
	// ratio of run time to estimate.
	EstimateWeight = 0.05
	// MinimumEstimateS keeps zero estimates from looking free, in seconds.
	MinimumEstimateS = 1.0
)

// Preemption.
const (
	// PreemptExitWait is how long a waiting task rather waits for a running
	// one to end by itself.
	PreemptExitWait = 3 * time.Second
	// PreemptMaxLoss is the most progress, since its last checkpoint, that a
	// task may lose by being stopped for a higher priority.
	PreemptMaxLoss = 8 * time.Second
	// PreemptDelayCost is what being stopped counts for a task whose job has no
	// other task waiting, on top of lost progress: about what it waits then.
	PreemptDelayCost = 15 * time.Second
	// AgedMinRunTime is how long a task that was placed since its job had waited long is
	// not stopped for others: a start counts to its user once it has run for 30 s,
	// and its image may have to be fetched before.
	AgedMinRunTime = 45 * time.Second
	// PreemptFetchWeight is what a second of image fetch counts against a
	// second of lost progress when room is made.
	PreemptFetchWeight = 4.0
	// PreemptMaxStops bounds the tasks stopped at one look, and PreemptMaxSearches the
	// waiting tasks for which room is looked for on all machines.
	PreemptMaxStops    = 16
	PreemptMaxSearches = 48
	// PreemptReservation is how long room that is being made is kept from lower priorities:
	// a stopped task's exit is reported within half a second, and with the next report
	// if the direct call didn't reach its machine.
	PreemptReservation = 4 * time.Second
	// PreemptInterval paces these looks: a stopped task's room takes about as
	// long to come free, and each looks at every task on every machine.
	PreemptInterval = 250 * time.Millisecond
)

// Emptying machines.
const (
	// ConsolidateInterval paces the looks for machines to be emptied, about the time in
	// which tasks stopped at one look have saved.
	ConsolidateInterval = 3 * time.Second
	// ConsolidateDivisor bounds the machines emptied at one look, as one part in so many
	// of all: their tasks' images and saves load the others.
	ConsolidateDivisor = 10
	// ConsolidateMinRunTime is how long a task must have run before it is moved: a start
	// that is stopped earlier counts as none to its user.
	ConsolidateMinRunTime = 32 * time.Second
	// ConsolidateMinLifetime is how long a machine must be expected to stay otherwise; a move
	// costs a save, a start and perhaps a fetch, on a part of the machine.
	ConsolidateMinLifetime = 20 * time.Second
)

// Direct commands.
const (
	// DirectTimeout bounds a direct call; a worker answers at once.
	DirectTimeout = 1 * time.Second
	// DirectBackoff keeps a machine to answers to reports after a direct call
	// that got no answer.
	DirectBackoff = 10 * time.Second
	// DirectConnections bounds the connections to one worker: calls to it
	// come one after the other.
	DirectConnections = 1
	// DirectMaxCalls bounds the direct calls under way without a socket limit.
	DirectMaxCalls = 64
	// DirectShare is the part of the socket limit for direct calls.
	DirectShare = 0.25
	// FencingDelay is how long a machine whose lease is over may be heard of in a
	// new session before it is released for a start that may still run there.
	FencingDelay = 5 * time.Second
	// FencingDivisor is the part of cancel_s (one over it) after which a machine is
	// released, and no longer answered, that may still get a late start of an ended
	// job; sooner, if lease and reserve would not fit into the rest of cancel_s.
	FencingDivisor = 3
)

// Machines.
const (
	// HeartbeatTimeoutIntervals is how many report intervals without a report make a
	// machine silent: no new starts there.
	HeartbeatTimeoutIntervals = 2.5
	// ReachableShare is the part of the machines outside a silent zone that must be
	// heard for silence to be taken for the machines' own: hardly more than a
	// tenth fail at once, but a new leader with all reports waiting misses many.
	ReachableShare = 0.75
	// PartitionedShare is the part of a zone's machines that may still be heard, and
	// DarkMachines the number that must be missed, for the zone to be taken for
	// cut off: far more than fail by chance.
	PartitionedShare    = 0.25
	PartitionedMachines = 4
	// MaxIgnoredResponses is the number of answers in a row whose starts had no
	// effect after which a machine takes no more work: one may be lost.
	MaxIgnoredResponses = 3
	// MaxStaleHeartbeats is the number of reports older than the newest, with none
	// newer between them, that a machine whose lease is over may send before
	// it is replaced: a few late copies come after every cut.
	MaxStaleHeartbeats = 3
	// LateHeartbeatIntervals is how many report intervals without a report make the next
	// machine list urgent.
	LateHeartbeatIntervals = 1.5
	// UnreachableReleaseDelay is how long after its lease ran out a silent machine is
	// kept before it is returned.
	UnreachableReleaseDelay = 20 * time.Second
	// BootTimeoutFactor is the multiple of the nominal boot time after which a
	// machine that never reported is returned.
	BootTimeoutFactor = 3.5
	// ScaleInIdleTime is how long an idle machine is kept when it isn't needed.
	ScaleInIdleTime = 4 * time.Second
	// ScalingInterval paces the provisioning plan.
	ScalingInterval = 1 * time.Second
	// StartWithinDefault is the time within which waiting work should begin on the
	// machines at hand; work beyond it makes the planner rent. It holds for
	// jobs without a time to meet, and for those too late for any.
	StartWithinDefault = 60 * time.Second
	// StartWithinSlackShare is the part of a job's slack taken as its horizon; the rest
	// is for boots and wrong estimates.
	StartWithinSlackShare = 0.5
	// StartWithinMin and StartWithinMax bound that horizon: below, no boot
	// would help in time; above, the forecast is worth little.
	StartWithinMin = 20 * time.Second
	StartWithinMax = 150 * time.Second
	// InflowDecay is the time constant of the smoothed work of new jobs: some
	// dozen jobs of each class, and about two boots.
	InflowDecay = 75 * time.Second
	// DemandDecay is the time constant of the smoothed demand that keeps
	// machines through short lulls.
	DemandDecay = 20 * time.Second
	// ReclaimNoticeMargin is added to a task's save time when a spot notice leaves
	// only just enough.
	ReclaimNoticeMargin = 5 * time.Second
)

// Users and workers.
const (
	// SubmitTimeout bounds how long a submission or cancellation waits for the
	// state service before 503 (users give up after 5 s).
	SubmitTimeout = 2500 * time.Millisecond
	// QueryTimeout bounds a forwarded query (users give up after 2 s).
	QueryTimeout = 1500 * time.Millisecond
	// HeartbeatForwardTimeout bounds a forwarded report (workers give up after 4 s).
	HeartbeatForwardTimeout = 2500 * time.Millisecond
	// RetryAfterS is what refused users are told, in seconds.
	RetryAfterS = 1
	// MaxActiveTasks bounds the unfinished tasks in memory (a few bytes each);
	// beyond it submissions get 429.
	MaxActiveTasks = 2_000_000
	// MaxCommandsPerResponse bounds the commands in one answer, which must stay on a
	// line of 64 KiB.
	MaxCommandsPerResponse = 300
	// SocketShare is the part of the socket limit given to user and worker
	// connections, WorkerShare that which workers can take of it: what is left
	// keeps users and health checks answered when all machines report here.
	SocketShare = 0.6
	WorkerShare = 0.42
	// WorkerIdleTimeout closes connections for direct calls unused for this long: about
	// two report intervals. The client under them keeps a goroutine for as long,
	// also for a connection that has given way to another: 90 s of them were
	// 10,000 at 2,000 machines.
	WorkerIdleTimeout = 10 * time.Second
	// ConnectionIdleTimeout closes connections unused for this long; workers report
	// every few seconds and users poll about as often.
	ConnectionIdleTimeout = 90 * time.Second
	// ReadTimeout bounds the time to read one request.
	ReadTimeout = 10 * time.Second
	// WriteTimeout bounds the time to write one answer.
	WriteTimeout = 5 * time.Second
	// MemoryShare is the part of the memory limit at which the collector
	// works harder.
	MemoryShare = 0.6
	// GCPercent lets the heap grow to this many per cent over what is alive
	// before it is collected: there is far more memory than processor time.
	GCPercent = 400
)

// Peers.
const (
	// HeartbeatInterval paces the heartbeats between nodes.
	HeartbeatInterval = 400 * time.Millisecond
	// PeerTimeout is how long a silent peer still counts as reachable.
	PeerTimeout = 1500 * time.Millisecond
	// PeerRedialDelay paces dials.
	PeerRedialDelay = 300 * time.Millisecond
	// PeerDialTimeout bounds a dial.
	PeerDialTimeout = 1 * time.Second
	// PeerMaxCalls bounds the calls in flight on one link. A worker has one report in
	// flight, and all of a fleet of some thousand may report through one follower
	// right after a succession; what really bounds them is that node's sockets.
	PeerMaxCalls = 8192
	// PeerMaxLine bounds a line between nodes: a body with its envelope.
	PeerMaxLine = 160 << 10
	// PeerBuffer is read at once, PeerMaxPending may wait to be written: a report of
	// each of some thousand machines, with a dozen tasks on each.
	PeerBuffer     = 32 << 10
	PeerMaxPending = 16 << 20
	// PeerFlushDelay lets lines gather between two writes on a link.
	PeerFlushDelay = 2 * time.Millisecond
	// HealthGracePeriod is how long a node without a leader within reach still
	// calls itself healthy, as a succession takes a few seconds and being
	// marked unhealthy costs more.
	HealthGracePeriod = 8 * time.Second
	// HealthGracePeriodLeaderKnown is the same while the leader key is held by a node out of
	// reach: longer than the key outlives a leader that has crashed, and than
	// the links to its successor take to tell of it.
	HealthGracePeriodLeaderKnown = 4500 * time.Millisecond
	// OperatorTimeout is how long an operator's command waits for the node that it asks, longer
	// than a node waits for the leader and the leader for the state service.
	OperatorTimeout = 15 * time.Second
)
