package tuning

import "time"

// Requests from users and heartbeats from workers.
const (
	// SubmitTimeout bounds how long a submission or cancellation waits for the
	// key-value store before the response is 503 (users give up after 5 s).
	SubmitTimeout = 2500 * time.Millisecond
	// QueryTimeout bounds a forwarded query (users give up after 2 s).
	QueryTimeout = 1500 * time.Millisecond
	// HeartbeatForwardTimeout bounds a forwarded heartbeat (workers give up after 4 s).
	HeartbeatForwardTimeout = 2500 * time.Millisecond
	// RetryAfterS is the shortest Retry-After of refused requests, in seconds.
	RetryAfterS = 1
	// MaxActiveTasks bounds the unfinished tasks in memory (a few bytes each); beyond
	// it, submissions are rejected with 429.
	MaxActiveTasks = 2_000_000
)

// Connections of users and workers.
const (
	// SocketShare is the share of the socket limit for connections from users and
	// workers. WorkerSocketShare is the share that workers may use: the difference is
	// left for users and health checks when all machines connect to this node.
	SocketShare       = 0.6
	WorkerSocketShare = 0.42
	// ConnectionIdleTimeout is how long an unused connection stays open; workers and
	// users send a request every few seconds.
	ConnectionIdleTimeout = 90 * time.Second
	// ReadTimeout bounds the time to read one request.
	ReadTimeout = 10 * time.Second
	// WriteTimeout bounds the time to write one response.
	WriteTimeout = 5 * time.Second
)

// Go runtime.
const (
	// MemoryShare is the garbage collector's memory limit as a share of the process's
	// memory limit.
	MemoryShare = 0.6
	// GCPercent is the heap growth that triggers a collection, in percent of the live
	// heap: memory is far less scarce than CPU time.
	GCPercent = 400
)
