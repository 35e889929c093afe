package tuning

import "time"

// Requests from users and heartbeats from workers.
const (
	// SubmitTimeout bounds how long a submission or cancellation waits until it is
	// durable in the key-value store. After that, the response is 503 (users abandon
	// the request after 5 s).
	SubmitTimeout = 2500 * time.Millisecond
	// QueryTimeout bounds a query for a job that a follower forwards to the leader (users
	// abandon it after 2 s).
	QueryTimeout = 1500 * time.Millisecond
	// HeartbeatForwardTimeout bounds an agent's heartbeat that a follower forwards to the
	// leader (agents abandon it after 4 s).
	HeartbeatForwardTimeout = 2500 * time.Millisecond
	// MinRetryAfterS is the shortest Retry-After of rejected requests, in seconds.
	MinRetryAfterS = 1
	// MaxUnfinishedTasks bounds the unfinished tasks of all jobs, which take a few bytes of
	// memory each. A submission beyond it is rejected: with 429 by admission control, and
	// otherwise with 503.
	MaxUnfinishedTasks = 2_000_000
)

// Connections of users and workers.
const (
	// ConnectionShare is the share of the process's connection limit for connections from users
	// and workers together. WorkerConnectionShare is the largest share of the limit for
	// workers. The difference is left for users and health checks when all machines
	// connect to this node.
	ConnectionShare       = 0.6
	WorkerConnectionShare = 0.42
	// ConnectionIdleTimeout is how long an unused connection stays open. It is long
	// compared with the few seconds between the requests of a worker or user.
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
