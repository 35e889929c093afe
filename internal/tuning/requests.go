package tuning

import "time"

// Requests of users and heartbeats of workers.
const (
	// SubmitTimeout bounds the time that a submission or cancellation waits for the
	// key-value store before it is answered 503 (users give up after 5 s).
	SubmitTimeout = 2500 * time.Millisecond
	// QueryTimeout bounds a forwarded query (users give up after 2 s).
	QueryTimeout = 1500 * time.Millisecond
	// HeartbeatForwardTimeout bounds a forwarded heartbeat (workers give up after 4 s).
	HeartbeatForwardTimeout = 2500 * time.Millisecond
	// RetryAfterS is the Retry-After of refusals, in seconds.
	RetryAfterS = 1
	// MaxActiveTasks bounds the unfinished tasks in memory (a few bytes each);
	// beyond it submissions get 429.
	MaxActiveTasks = 2_000_000
)

// Connections of users and workers.
const (
	// SocketShare is the share of the socket limit for connections of users and
	// workers, WorkerShare that which workers can take: the difference keeps users
	// and health checks answered when all machines connect to this node.
	SocketShare       = 0.6
	WorkerSocketShare = 0.42
	// ConnectionIdleTimeout closes connections that were unused for this long;
	// workers and users send a request every few seconds.
	ConnectionIdleTimeout = 90 * time.Second
	// ReadTimeout bounds the time to read one request.
	ReadTimeout = 10 * time.Second
	// WriteTimeout bounds the time to write one answer.
	WriteTimeout = 5 * time.Second
)

// Go runtime.
const (
	// MemoryShare is the share of the process's memory limit that is set as the
	// garbage collector's limit.
	MemoryShare = 0.6
	// GCPercent is the growth of the heap, in per cent of what is alive, before a
	// collection: there is far more memory than processor time.
	GCPercent = 400
)
