package tuning

import "time"

// Requests to the key-value store.
const (
	// StoreTimeout bounds a read or a transaction; after that its outcome is unknown.
	StoreTimeout = 1500 * time.Millisecond
	// StoreTimeoutFactor is the multiple of the usual latency after which a leader
	// sends a transaction again. StoreTimeoutMin is the shortest such timeout, as the
	// store occasionally takes a few hundred milliseconds.
	StoreTimeoutFactor = 5
	StoreTimeoutMin    = 250 * time.Millisecond
	// StoreLatencyWindow is the number of transactions over which the usual
	// latency is smoothed: about a second's worth.
	StoreLatencyWindow = 8
	// StoreRetryDelay is the delay after the store refuses a request (429, 503).
	StoreRetryDelay = 150 * time.Millisecond
	// CorruptRecordRetryDelay is the delay before a leader reloads its state after an
	// essential record was corrupt: an operator has to repair the record.
	CorruptRecordRetryDelay = 5 * time.Second
	// StoreLeaderShare and StoreFollowerShare divide the request limit of the store:
	// the leader writes, and followers only watch the leader key.
	StoreLeaderShare   = 0.70
	StoreFollowerShare = 0.20
	// StoreWriteShare is the share of the write limit that the leader uses; the
	// rest is left for campaigns and a predecessor's last writes.
	StoreWriteShare = 0.85
	// PageSize is the number of keys in a page (protocol: at most 1,000).
	PageSize = 1000
)

// Batching of writes into transactions.
const (
	// WriteBatchInterval is the time between two transactions, during which changes
	// accumulate.
	WriteBatchInterval = 15 * time.Millisecond
	// MaxTransactionBytes bounds the total size of a transaction's values (protocol:
	// 64 KiB for the whole transaction).
	MaxTransactionBytes = 48 << 10
	// RecordValueShare is the share of the value limit that a record of starts or
	// evictions may fill, because its size is estimated before it is encoded.
	RecordValueShare = 0.9
	// CompletionChunkTasks is the largest number of tasks whose completions are stored
	// under one key. CompletionBytesPerTask is the most bytes that a task adds to the
	// value: ranges of two take twelve bytes for every three tasks ("10000-10001,").
	CompletionChunkTasks   = 1024
	CompletionBytesPerTask = 4
	// DependentWritesDivisor: one in this many operations of a transaction goes to
	// final states of jobs that follow from their dependencies' final states.
	// Thousands of these must neither starve nor delay the writes that users wait for.
	DependentWritesDivisor = 4
	// InteractiveWritesDivisor: one in this many operations of a transaction goes to
	// writes that users wait for, ahead of start records. While new jobs are shed, one
	// in this many of those goes to completions and deletions first.
	InteractiveWritesDivisor = 2
	// DependencyStepsPerTick bounds the dependents that one tick unblocks, cancels or
	// updates after their dependencies have ended: about a millisecond of work.
	DependencyStepsPerTick = 500
	// CompletionFlushDelay is how long completions of a job accumulate before they are
	// written. Many jobs with short tasks have ended by then. None is lost, as workers
	// keep completions until they are durable.
	CompletionFlushDelay = 1 * time.Second
)
