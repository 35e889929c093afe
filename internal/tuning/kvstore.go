package tuning

import "time"

// Requests to the key-value store.
const (
	// StoreTimeout bounds a read or a transaction. The outcome of a transaction that
	// times out is unknown.
	StoreTimeout = 1500 * time.Millisecond
	// StoreTimeoutFactor is the multiple of the smoothed latency after which a leader
	// sends a transaction again. StoreTimeoutMin is the shortest such timeout, because
	// the store occasionally takes a few hundred milliseconds.
	StoreTimeoutFactor = 5
	StoreTimeoutMin    = 250 * time.Millisecond
	// StoreLatencyWindow is the number of transactions over which the latency is
	// smoothed: about those of one second.
	StoreLatencyWindow = 8
	// StoreRetryDelay is the delay before a request that the store refused (429, 503) is
	// retried.
	StoreRetryDelay = 150 * time.Millisecond
	// CorruptRecordRetryDelay is the delay before a leader that found an essential record
	// to be corrupt reloads its state. It is longer than StoreRetryDelay, because an
	// operator has to repair the record first.
	CorruptRecordRetryDelay = 5 * time.Second
	// StoreLeaderShare is the leader's share of the store's request limit, and
	// StoreFollowerShare that of all followers together. Followers need less: they only
	// watch the leader key, while the leader writes.
	StoreLeaderShare   = 0.70
	StoreFollowerShare = 0.20
	// StoreLeaderWriteShare is the share of the store's write limit that the leader uses. The
	// rest is left for the followers' campaigns and a predecessor's last writes.
	StoreLeaderWriteShare = 0.85
	// StorePageSize is the number of keys in a page of a list (protocol: at most 1,000).
	StorePageSize = 1000
)

// Batching of writes into transactions.
const (
	// WriteBatchInterval is the time between two transactions, during which changes
	// accumulate.
	WriteBatchInterval = 15 * time.Millisecond
	// MaxTransactionBytes bounds the total size of a transaction's keys and values
	// (protocol: 64 KiB for the whole request).
	MaxTransactionBytes = 48 << 10
	// RecordValueShare is the share of the store's value limit that a record of starts or
	// evictions may fill. The rest is a reserve, because the size of the record is
	// estimated before the record is encoded.
	RecordValueShare = 0.9
	// CompletionChunkTasks is the largest number of tasks whose completions are stored
	// under one key. CompletionBytesPerTask is the most bytes per task of that value: in
	// the worst case every third task is missing, and a range of two completed tasks
	// takes twelve bytes ("10000-10001,").
	CompletionChunkTasks   = 1024
	CompletionBytesPerTask = 4
	// MaxUnfencedKeys bounds the keys that the leader remembers between two fences.
	MaxUnfencedKeys = 4096
	// DependentWritesDivisor: one in this many operations of a transaction is reserved
	// for the final states of jobs that were cancelled because a dependency was. Thousands
	// of these writes must neither starve nor delay the writes that users wait for.
	DependentWritesDivisor = 4
	// InteractiveWritesDivisor: one in this many operations of a transaction is reserved
	// for writes that users wait for, ahead of start records. During load shedding,
	// completions and deletions get at least as many operations as this reserved part
	// divided by InteractiveWritesDivisor again.
	InteractiveWritesDivisor = 2
	// DependencyStepsPerTick bounds the steps in one tick that follow from ended jobs:
	// each unblocks or cancels a dependent, or updates the critical path of a job. They
	// take about a millisecond.
	DependencyStepsPerTick = 500
	// CompletionFlushDelay is how long completions of a job accumulate before they are
	// written. Many jobs with short tasks end within this time, and need no such write.
	// No completion is lost, because agents keep completions until they are durable.
	CompletionFlushDelay = 1 * time.Second
)
