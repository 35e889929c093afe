package tuning

import "time"

// Preemption.
const (
	// PreemptExitWait is the remaining time below which a running task is left to end
	// instead of being preempted.
	PreemptExitWait = 3 * time.Second
	// PreemptMaxLostProgress is the most progress since its last checkpoint that a task
	// may lose by preemption.
	PreemptMaxLostProgress = 8 * time.Second
	// PreemptDelayCost is the cost of preempting a task whose job has no other waiting
	// task, in addition to the lost progress: about the time until it restarts.
	PreemptDelayCost = 15 * time.Second
	// AgedMinRunTime is how long a task that was placed because of its job's age is
	// protected from preemption: a start counts for its user only after 30 s of run
	// time, and an image fetch may precede it.
	AgedMinRunTime = 45 * time.Second
	// PreemptFetchWeight is the cost of a second of image fetch, in seconds of lost
	// progress.
	PreemptFetchWeight = 4.0
	// PreemptMaxStops bounds the tasks preempted at a time. PreemptMaxSearches bounds
	// the waiting tasks for which all machines are searched.
	PreemptMaxStops    = 16
	PreemptMaxSearches = 48
	// PreemptReservationTime is how long capacity that is being freed is reserved
	// against lower priorities: the worker reports a stopped task's exit within half a
	// second, or with the next heartbeat if the direct call failed.
	PreemptReservationTime = 4 * time.Second
	// PreemptInterval is the interval between preemption passes: stopped tasks take
	// about as long to exit, and each search visits every task on every machine.
	PreemptInterval = 250 * time.Millisecond
)

// Consolidation of the tasks of underused machines, so that these can be released.
const (
	// ConsolidateInterval is the interval between consolidation steps: about the time
	// that the tasks of one step take to save their checkpoints.
	ConsolidateInterval = 3 * time.Second
	// ConsolidateDivisor: at most one in this many machines is consolidated at a time,
	// as the images and checkpoints of the moved tasks load the other machines.
	ConsolidateDivisor = 10
	// ConsolidateMinRunTime is how long a task must have run before it is moved: a
	// start that is stopped earlier doesn't count for its user.
	ConsolidateMinRunTime = 32 * time.Second
	// ConsolidateMinLifetime is how long a machine must be expected to stay busy for
	// consolidation to pay off: a move costs a save, a start and perhaps a fetch.
	ConsolidateMinLifetime = 20 * time.Second
)
