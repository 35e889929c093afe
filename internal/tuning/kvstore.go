package tuning

import "time"

// Requests to the key-value store.
const (
	// StoreTimeout bounds a read or a transaction before its outcome counts as
	// unknown.
	StoreTimeout = 1500 * time.Millisecond
	// StoreTimeoutFactor is the multiple of a transaction's usual latency after
	// which a leader sends it again, and StoreTimeoutMin the shortest such time:
	// the store takes a few hundred milliseconds now and then.
	StoreTimeoutFactor = 5
	StoreTimeoutMin    = 250 * time.Millisecond
	// StoreLatencyWindow is the number of transactions over which the usual
	// latency is smoothed: those of about a second.
	StoreLatencyWindow = 8
	// StoreRetryDelay is the pause after a refusal (429, 503).
	StoreRetryDelay = 150 * time.Millisecond
	// CorruptRecordRetryDelay is the pause before a leader loads everything again
	// after it has found an indispensable record damaged: a person has to repair it.
	CorruptRecordRetryDelay = 5 * time.Second
	// StoreLeaderShare and StoreFollowerShare divide the request budget: the
	// leader writes, each of the others only watches the leader key.
	StoreLeaderShare   = 0.70
	StoreFollowerShare = 0.20
	// StoreWriteShare is the share of the write budget that the leader uses; the
	// rest is left to campaigns and to a predecessor's last writes.
	StoreWriteShare = 0.85
	// PageSize is the number of keys in a page (protocol: 1,000 at most).
	PageSize = 1000
)

// Batching of writes into transactions.
const (
	// WriteBatchInterval is the time between two transactions in which changes
	// accumulate.
	WriteBatchInterval = 15 * time.Millisecond
	// MaxTransactionBytes bounds the values of a transaction (protocol: 64 KiB
	// altogether).
	MaxTransactionBytes = 48 << 10
	// RecordValueShare is the share of the value limit that a record of starts or
	// evictions fills, as its size is estimated before it is encoded.
	RecordValueShare = 0.9
	// CompletionChunkTasks is the largest number of tasks whose completion shares
	// one key. CompletionBytesPerTask is the most that a task adds to its value:
	// ranges of two take twelve bytes for every three tasks ("10000-10001,").
	CompletionChunkTasks   = 1024
	CompletionBytesPerTask = 4
	// DependentWritesDivisor gives one in so many operations of a transaction to
	// final states that follow from those of other jobs: thousands of them must
	// neither starve nor delay the writes that users wait for.
	DependentWritesDivisor = 4
	// InteractiveWritesDivisor gives one in so many operations of a transaction to
	// writes that users wait for, before start records; while new jobs are shed,
	// one in so many of those goes to completions and deletions first.
	InteractiveWritesDivisor = 2
	// DependencyStepsPerTick bounds the jobs that one tick releases, cancels or
	// updates after those that they depend on have ended: about a millisecond of work.
	DependencyStepsPerTick = 500
	// CompletionFlushDelay lets completions of a job accumulate before they are
	// written. Workers remember completions until then, so none is lost, and many
	// jobs of short tasks are over by then.
	CompletionFlushDelay = 1 * time.Second
)
