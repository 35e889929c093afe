package tuning

import "time"

// Preemption.
const (
	// PreemptExitWait is the remaining time below which a running task is waited
	// for rather than preempted.
	PreemptExitWait = 3 * time.Second
	// PreemptMaxLostProgress is the most progress since its last checkpoint that a task may
	// lose by preemption.
	PreemptMaxLostProgress = 8 * time.Second
	// PreemptDelayCost is the cost of preempting a task whose job has no other task
	// waiting, on top of the lost progress: about the time that it waits then.
	PreemptDelayCost = 15 * time.Second
	// AgedMinRunTime is how long a task that was placed by its job's age is not
	// preempted: a start counts to its user once it has run for 30 s, and its image
	// may have to be fetched before.
	AgedMinRunTime = 45 * time.Second
	// PreemptFetchWeight is the cost of a second of image fetch, in seconds of lost
	// progress.
	PreemptFetchWeight = 4.0
	// PreemptMaxStops bounds the tasks preempted at a time, and PreemptMaxSearches
	// the waiting tasks for which all machines are searched.
	PreemptMaxStops    = 16
	PreemptMaxSearches = 48
	// PreemptReservationTime is how long capacity that is being freed is reserved
	// against lower priorities: a stopped task's exit is reported within half a
	// second, or with the next heartbeat if the direct call failed.
	PreemptReservationTime = 4 * time.Second
	// PreemptInterval is the interval of preemption: stopped tasks take about as
	// long to exit, and each search visits every task on every machine.
	PreemptInterval = 250 * time.Millisecond
)

// Consolidation: machines with low utilisation are emptied, to be released.
const (
	// ConsolidateInterval is the interval of consolidation: about the time that
	// the tasks of one step take to save their checkpoints.
	ConsolidateInterval = 3 * time.Second
	// ConsolidateDivisor allows one in so many machines to be emptied at a time:
	// their tasks' images and checkpoints load the others.
	ConsolidateDivisor = 10
	// ConsolidateMinRunTime is how long a task must have run before it is moved: a
	// start that is stopped earlier counts as none to its user.
	ConsolidateMinRunTime = 32 * time.Second
	// ConsolidateMinLifetime is how long a machine must be expected to stay busy
	// otherwise: a move costs a save, a start and perhaps a fetch.
	ConsolidateMinLifetime = 20 * time.Second
)
