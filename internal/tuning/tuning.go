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
	// AuthorityMargin is taken off the end of a leader's authority, for the
	// time between a check and the answer leaving the process.
	AuthorityMargin = 250 * time.Millisecond
	// ExpiryMargin is added before a worker's lease is presumed over, for
	// timer steps and scheduling pauses on the worker's side.
	ExpiryMargin = 1 * time.Second
)

// Leadership.
const (
	// LeaderTTL is the life of the leader's lease in the state service: long
	// enough for a few slow renewals, short enough for a quick succession.
	LeaderTTL = 2 * time.Second
	// RenewEvery paces renewals: four tries within one life.
	RenewEvery = 450 * time.Millisecond
	// RenewTimeout bounds one renewal; the state service seldom takes more
	// than a few hundred milliseconds, and a second try must fit in.
	RenewTimeout = 700 * time.Millisecond
	// CampaignJitter spreads simultaneous campaigns of several nodes a little.
	// Previous versions took up to 60 ms, so that during an upgrade mostly a node
	// wins that has been upgraded, and does not end soon.
	CampaignJitter = 5 * time.Millisecond
	// CampaignRetry paces campaigns and reads that failed.
	CampaignRetry = 300 * time.Millisecond
	// WatchBlock is how long a follower's watch on the leader key may wait;
	// a bound on what a lost answer can hide.
	WatchBlock = 3 * time.Second
	// GraceReserve is kept free within cancel_s when the time is chosen for
	// which a leader without the state service goes on answering reports, and
	// any leader a machine to which a start may come late: that time + worker
	// lease + reserve stays below cancel_s.
	GraceReserve = 5 * time.Second
)

// State service.
const (
	// StoreTimeout bounds a read or a transaction before its outcome counts
	// as unknown.
	StoreTimeout = 1500 * time.Millisecond
	// StorePatience is the multiple of a transaction's usual time after which
	// a leader sends it again, StorePatienceMin the shortest such time: "now and
	// then a few hundred" milliseconds are no reason yet.
	StorePatience    = 5
	StorePatienceMin = 250 * time.Millisecond
	// StoreUsual is the number of transactions over which their usual time is
	// smoothed: about a second of them.
	StoreUsual = 8
	// StoreRetry is the pause after a refusal (429, 503).
	StoreRetry = 150 * time.Millisecond
	// DamagedRetry is the pause before a leader reads everything again after it
	// has found a record that it can't do without damaged: somebody has to mend
	// it.
	DamagedRetry = 5 * time.Second
	// StoreLeaderShare and StoreFollowerShare divide the request budget: the
	// leader writes, each of the others only watches the leader key.
	StoreLeaderShare   = 0.70
	StoreFollowerShare = 0.20
	// StoreWriteShare is the part of the write budget that the leader uses;
	// the rest is left to campaigns and to a predecessor's last writes.
	StoreWriteShare = 0.85
	// BatchGap lets changes gather between two transactions.
	BatchGap = 15 * time.Millisecond
	// TxnBytes bounds a transaction's values (protocol: 64 KiB altogether).
	TxnBytes = 48 << 10
	// PageSize is the number of keys asked for at once (protocol: 1,000).
	PageSize = 1000
	// ValueShare is the part of the value limit that a start record fills; its
	// size is reckoned before it is written.
	ValueShare = 0.9
	// DoneChunk is the number of tasks whose completion shares one key at most;
	// DoneTaskBytes is the most that a task adds to it: ranges of two take twelve
	// bytes for every three ("10000-10001,").
	DoneChunk     = 1024
	DoneTaskBytes = 4
	// DependentWritesPart is the part of a transaction (one over it) that final states
	// which follow from those of other jobs may always take: thousands of them
	// must neither wait for ever nor hold up what users wait for.
	DependentWritesPart = 4
	// InteractiveWritesPart is the part of a transaction (one over it) that changes which
	// users wait for fill before records of starts; while new jobs are shed, the same part
	// of that goes to completions and deletions before the rest is filled.
	InteractiveWritesPart = 2
	// DependencySteps bounds the jobs that one look lets go on, cancels or weighs
	// after others have ended: about a millisecond of work.
	DependencySteps = 500
	// DoneFlush lets completions of one job gather before they are written:
	// the worker keeps its memory of them until then, so nothing is lost by it,
	// and many jobs of short tasks are over by then.
	DoneFlush = 1 * time.Second
)

// Cloud.
const (
	// CloudTimeout bounds a call; the cloud answers in a fraction of a second.
	CloudTimeout = 5 * time.Second
	// CloudShare is the part of the call budget that the leader uses.
	CloudShare = 0.9
	// ListEvery paces machine lists, as a multiple of the list's lag.
	ListEvery = 0.6
	// ListUrgent is the same while machines are silent: a list without them
	// frees their tasks long before their leases would.
	ListUrgent = 0.25
	// ListMinimum is the shortest pause between lists.
	ListMinimum = 2 * time.Second
	// TypesEvery paces price updates.
	TypesEvery = 60 * time.Second
	// RefusalPause is how long a type, zone and kind is left alone after it
	// had no capacity; a refusal costs one call.
	RefusalPause = 6 * time.Second
	// CloudRetry paces retries of calls that failed.
	CloudRetry = 1 * time.Second
	// MaxRent is the largest rental (protocol: 50).
	MaxRent = 50
	// MaxRelease is the largest release (protocol: 100).
	MaxRelease = 100
	// RentalsUnderWay bounds the rentals without an answer, in seconds of the
	// leader's call budget: more would queue up in front of lists and releases.
	RentalsUnderWay = 3.0
	// ReleasesUnderWay bounds the releases without an answer in the same way:
	// mostly one is enough for all, but when a zone with several hundred machines
	// is given up, tasks wait for it.
	ReleasesUnderWay = 0.5
	// MinimumBill is what a deleted machine costs at least: returning it
	// earlier saves nothing.
	MinimumBill = 60 * time.Second
)

// Placement.
const (
	// PassGap is the pause between two placement passes, to gather changes: a
	// pass looks at every open machine, and its starts share one record.
	PassGap = 80 * time.Millisecond
	// TickEvery is the longest pause between two looks at what is due.
	TickEvery = 200 * time.Millisecond
	// TickGap is the shortest.
	TickGap = 20 * time.Millisecond
	// SummaryEvery paces the summary in the debug log.
	SummaryEvery = 5 * time.Second
	// PassStarts bounds the starts of one pass, for the controller's share of
	// a core; the rest follows in the next pass.
	PassStarts = 200
	// PassScores bounds the pairs of job and machine that one pass looks at
	// before it takes in no further job; at twice that it ends. Some
	// milliseconds of work, after which renewals and answers get their turn;
	// the rest follows in the next pass.
	PassScores = 20_000
	// ScorePause is the pause that each of these pairs adds before the next
	// pass. A score takes about a microsecond of a whole core on the operators'
	// machines and four of a controller's share: passes take half of it at most.
	ScorePause = 4 * time.Microsecond
	// PassQueues bounds the tasks that one pass puts in line behind busy
	// machines; more would only repeat the same look at the next pass.
	PassQueues = 128
	// MachineTasks bounds the tasks running and queued on one machine, so
	// that its part of a start record stays far below the value limit.
	MachineTasks = 128
	// AgeAfter is how long a job waits without a start before some of its
	// tasks go first, whatever the priority and urgency of others: no class,
	// team or large job starves behind a lasting backlog. The operators want no job
	// left waiting for 90 s where it could start.
	AgeAfter = 80 * time.Second
	// AgedShare is the part of a job's tasks that go first then.
	AgedShare = 0.05
	// RetryMin and RetryMax bound the exponential pause of a job whose tasks
	// fail, so that it doesn't starve others.
	RetryMin = 2 * time.Second
	RetryMax = 60 * time.Second
	// UnknownPause is the pause after a worker found a job not uploaded yet.
	UnknownPause = 3 * time.Second
	// OverdueS is the least wait behind a running task, in seconds, however
	// long it is over its estimate.
	OverdueS = 1.0
	// UrgencyStep is the difference in slack, in seconds, below which jobs of
	// one priority count as equally urgent and the speedup decides.
	UrgencyStep = 20.0
	// SizeWeight is what a second of work for all machines counts against a
	// job, in seconds of slack.
	SizeWeight = 6.0
	// LateSlack is the slack, less their age, that jobs without a time to meet
	// and those too late for any count with, in seconds: behind most that can
	// be in time, but not for ever.
	LateSlack = 400.0
	// StageDelay is what each stage of a chain takes beyond its tasks' run time
	// and image: the last report, its record, the placement, the next report.
	StageDelay = 3 * time.Second
	// FullPause keeps a machine that refused a start free of new ones.
	FullPause = 3 * time.Second
	// FaultyJobs is the number of different jobs whose tasks must fail on a
	// machine in a row before the machine is taken for faulty and drained.
	FaultyJobs = 2
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
	// MinimumEstimate keeps zero estimates from looking free, in seconds.
	MinimumEstimate = 1.0
)

// Preemption.
const (
	// PreemptPatience is how long a waiting task rather waits for a running
	// one to end by itself.
	PreemptPatience = 3 * time.Second
	// PreemptLoss is the most progress, since its last checkpoint, that a
	// task may lose by being stopped for a higher priority.
	PreemptLoss = 8 * time.Second
	// PreemptDelay is what being stopped counts for a task whose job has no
	// other task waiting, on top of lost progress: about what it waits then.
	PreemptDelay = 15 * time.Second
	// AgedRun is how long a task that was placed since its job had waited long is
	// not stopped for others: a start counts to its user once it has run for 30 s,
	// and its image may have to be fetched before.
	AgedRun = 45 * time.Second
	// PreemptFetchWeight is what a second of image fetch counts against a
	// second of lost progress when room is made.
	PreemptFetchWeight = 4.0
	// PreemptStops bounds the tasks stopped at one look, and PreemptLooks the
	// waiting tasks for which room is looked for on all machines.
	PreemptStops = 16
	PreemptLooks = 48
	// PreemptReserve is how long room that is being made is kept from lower priorities:
	// a stopped task's exit is reported within half a second, and with the next report
	// if the direct call didn't reach its machine.
	PreemptReserve = 4 * time.Second
	// PreemptEvery paces these looks: a stopped task's room takes about as
	// long to come free, and each looks at every task on every machine.
	PreemptEvery = 250 * time.Millisecond
)

// Emptying machines.
const (
	// MoveEvery paces the looks for machines to be emptied, about the time in
	// which tasks stopped at one look have saved.
	MoveEvery = 3 * time.Second
	// MoveParts bounds the machines emptied at one look, as one part in so many
	// of all: their tasks' images and saves load the others.
	MoveParts = 10
	// MoveAfter is how long a task must have run before it is moved: a start
	// that is stopped earlier counts as none to its user.
	MoveAfter = 32 * time.Second
	// MoveWorth is how long a machine must be expected to stay otherwise; a move
	// costs a save, a start and perhaps a fetch, on a part of the machine.
	MoveWorth = 20 * time.Second
)

// Direct commands.
const (
	// DirectTimeout bounds a direct call; a worker answers at once.
	DirectTimeout = 1 * time.Second
	// DirectPause keeps a machine to answers to reports after a direct call
	// that got no answer.
	DirectPause = 10 * time.Second
	// DirectConnections bounds the connections to one worker: calls to it
	// come one after the other.
	DirectConnections = 1
	// DirectCalls bounds the direct calls under way without a socket limit.
	DirectCalls = 64
	// DirectShare is the part of the socket limit for direct calls.
	DirectShare = 0.25
	// FencePause is how long a machine whose lease is over may be heard of in a
	// new session before it is released for a start that may still run there.
	FencePause = 5 * time.Second
	// FenceParts is the part of cancel_s (one over it) after which a machine is
	// released, and no longer answered, that may still get a late start of an ended
	// job; sooner, if lease and reserve would not fit into the rest of cancel_s.
	FenceParts = 3
)

// Machines.
const (
	// SilentReports is how many report intervals without a report make a
	// machine silent: no new starts there.
	SilentReports = 2.5
	// ReachableShare is the part of the machines outside a silent zone that must be
	// heard for silence to be taken for the machines' own: hardly more than a
	// tenth fail at once, but a new leader with all reports waiting misses many.
	ReachableShare = 0.75
	// PartitionedShare is the part of a zone's machines that may still be heard, and
	// DarkMachines the number that must be missed, for the zone to be taken for
	// cut off: far more than fail by chance.
	PartitionedShare    = 0.25
	PartitionedMachines = 4
	// IgnoredAnswers is the number of answers in a row whose starts had no
	// effect after which a machine takes no more work: one may be lost.
	IgnoredAnswers = 3
	// StaleReports is the number of reports older than the newest, with none
	// newer between them, that a machine whose lease is over may send before
	// it is replaced: a few late copies come after every cut.
	StaleReports = 3
	// LateReports is how many report intervals without a report make the next
	// machine list urgent.
	LateReports = 1.5
	// AbandonAfter is how long after its lease ran out a silent machine is
	// kept before it is returned.
	AbandonAfter = 20 * time.Second
	// BootPatience is the multiple of the nominal boot time after which a
	// machine that never reported is returned.
	BootPatience = 3.5
	// IdleKeep is how long an idle machine is kept when it isn't needed.
	IdleKeep = 4 * time.Second
	// PlanEvery paces the provisioning plan.
	PlanEvery = 1 * time.Second
	// PlanHorizon is the time within which waiting work should begin on the
	// machines at hand; work beyond it makes the planner rent. It holds for
	// jobs without a time to meet, and for those too late for any.
	PlanHorizon = 60 * time.Second
	// PlanSlack is the part of a job's slack taken as its horizon; the rest
	// is for boots and wrong estimates.
	PlanSlack = 0.5
	// PlanHorizonMin and PlanHorizonMax bound that horizon: below, no boot
	// would help in time; above, the forecast is worth little.
	PlanHorizonMin = 20 * time.Second
	PlanHorizonMax = 150 * time.Second
	// InflowDecay is the time constant of the smoothed work of new jobs: some
	// dozen jobs of each class, and about two boots.
	InflowDecay = 75 * time.Second
	// DemandDecay is the time constant of the smoothed demand that keeps
	// machines through short lulls.
	DemandDecay = 20 * time.Second
	// NoticeSlack is added to a task's save time when a spot notice leaves
	// only just enough.
	NoticeSlack = 5 * time.Second
)

// Users and workers.
const (
	// SubmitWait bounds how long a submission or cancellation waits for the
	// state service before 503 (users give up after 5 s).
	SubmitWait = 2500 * time.Millisecond
	// QueryWait bounds a forwarded query (users give up after 2 s).
	QueryWait = 1500 * time.Millisecond
	// ReportWait bounds a forwarded report (workers give up after 4 s).
	ReportWait = 2500 * time.Millisecond
	// RetryAfter is what refused users are told, in seconds.
	RetryAfter = 1
	// ActiveTasks bounds the unfinished tasks in memory (a few bytes each);
	// beyond it submissions get 429.
	ActiveTasks = 2_000_000
	// AnswerCommands bounds the commands in one answer, which must stay on a
	// line of 64 KiB.
	AnswerCommands = 300
	// SocketShare is the part of the socket limit given to user and worker
	// connections, WorkerShare that which workers can take of it: what is left
	// keeps users and health checks answered when all machines report here.
	SocketShare = 0.6
	WorkerShare = 0.42
	// WorkerIdle closes connections for direct calls unused for this long: about
	// two report intervals. The client under them keeps a goroutine for as long,
	// also for a connection that has given way to another: 90 s of them were
	// 10,000 at 2,000 machines.
	WorkerIdle = 10 * time.Second
	// IdleConnection closes connections unused for this long; workers report
	// every few seconds and users poll about as often.
	IdleConnection = 90 * time.Second
	// ReadLimit bounds the time to read one request.
	ReadLimit = 10 * time.Second
	// WriteLimit bounds the time to write one answer.
	WriteLimit = 5 * time.Second
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
	// PeerSilence is how long a silent peer still counts as reachable.
	PeerSilence = 1500 * time.Millisecond
	// PeerRedial paces dials.
	PeerRedial = 300 * time.Millisecond
	// PeerDialTimeout bounds a dial.
	PeerDialTimeout = 1 * time.Second
	// PeerCalls bounds the calls in flight on one link. A worker has one report in
	// flight, and all of a fleet of some thousand may report through one follower
	// right after a succession; what really bounds them is that node's sockets.
	PeerCalls = 8192
	// PeerLine bounds a line between nodes: a body with its envelope.
	PeerLine = 160 << 10
	// PeerBuffer is read at once, PeerPending may wait to be written: a report of
	// each of some thousand machines, with a dozen tasks on each.
	PeerBuffer  = 32 << 10
	PeerPending = 16 << 20
	// PeerGather lets lines gather between two writes on a link.
	PeerGather = 2 * time.Millisecond
	// HealthPatience is how long a node without a leader within reach still
	// calls itself healthy, as a succession takes a few seconds and being
	// marked unhealthy costs more.
	HealthPatience = 8 * time.Second
	// ReachPatience is the same while the leader key is held by a node out of
	// reach: longer than the key outlives a leader that has crashed, and than
	// the links to its successor take to tell of it.
	ReachPatience = 4500 * time.Millisecond
	// OperatorWait is how long an operator's command waits for the node that it asks, longer
	// than a node waits for the leader and the leader for the state service.
	OperatorWait = 15 * time.Second
)
