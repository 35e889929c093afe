package tuning

import "time"

// Preemption.
const (
	// PreemptExitWait is the expected remaining time below which a running task is not
	// preempted: it ends soon anyway.
	PreemptExitWait = 3 * time.Second
	// PreemptMaxLostProgress bounds the run time since its last checkpoint that a task
	// may lose by preemption. Tasks that would lose more are not preempted.
	PreemptMaxLostProgress = 8 * time.Second
	// PreemptDelayCost is added to the lost progress when the cost of a preemption is
	// computed, if the task's job has no other waiting task: the preemption then delays
	// the job's end, by about the time until the task restarts.
	PreemptDelayCost = 15 * time.Second
	// AgedMinRunTime is how long a task that was placed because of its job's age is not
	// preempted. A start counts for its user only after 30 s of run time, and an image
	// fetch may precede the run.
	AgedMinRunTime = 45 * time.Second
	// PreemptFetchWeight is the cost of one second of image fetch by the preempting task,
	// in seconds of lost progress.
	PreemptFetchWeight = 4.0
	// PreemptMaxStops bounds the tasks that one pass preempts. PreemptMaxSearches bounds
	// the waiting tasks for which one pass searches all machines.
	PreemptMaxStops    = 16
	PreemptMaxSearches = 48
	// PreemptReservationTime is how long tasks of lower priority get no capacity on a
	// machine after one of its tasks was preempted. The agent reports the exit of the
	// preempted task within half a second, or with the next heartbeat if the direct call
	// failed.
	PreemptReservationTime = 4 * time.Second
	// PreemptInterval is the interval between preemption passes. Preempted tasks take
	// about as long to exit, and each search of a pass visits every task on every machine.
	PreemptInterval = 250 * time.Millisecond
)

// Consolidation: the tasks of underused machines are moved to other machines, so that
// the underused ones can be released.
const (
	// ConsolidateInterval is the interval between consolidation passes: about the time
	// that the tasks stopped by one pass take to save their checkpoints.
	ConsolidateInterval = 3 * time.Second
	// ConsolidateDivisor: at most one in this many machines is consolidated at a time,
	// because the images and checkpoints of the moved tasks put load on the other machines.
	ConsolidateDivisor = 10
	// ConsolidateMinRunTime is how long a task must have run before it is moved: if it
	// is stopped earlier, its start doesn't count for its user.
	ConsolidateMinRunTime = 32 * time.Second
	// ConsolidateMinLifetime is how long a machine's tasks must be expected to keep
	// running for a consolidation to pay off: each move costs a checkpoint save, a start
	// and perhaps an image fetch.
	ConsolidateMinLifetime = 20 * time.Second
)
