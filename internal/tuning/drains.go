package tuning

import "time"

// Drains of machines.
const (
	// DrainStepInterval is how often the running drain takes a step: a report interval brings no
	// more news than that, and each step stores one charge at most.
	DrainStepInterval = time.Second
	// DrainBatchInterval is how often all machines are looked at for the next batch, while there is
	// none: it costs a look at each.
	DrainBatchInterval = 3 * time.Second
	// DrainCompletionWait is how long a batch waits for tasks that save nothing to end by
	// themselves: most tasks of today's deployments run for less than that.
	DrainCompletionWait = 60 * time.Second
	// DrainCheckpointWait is the same for tasks that save: waiting longer than a save and
	// a new start take gains nothing.
	DrainCheckpointWait = 10 * time.Second
	// ReplacementTimeout is how long a batch waits for its replacements, before the drain
	// is paused: several boots, late ones included.
	ReplacementTimeout = 10 * time.Minute
	// MaxDrainRecords bounds the drains that are kept, those that are over included: beyond,
	// the oldest of those goes when another one comes.
	MaxDrainRecords = 100
	// DrainMachineNameBytes is the length of a machine's name that batches are planned with.
	DrainMachineNameBytes = 32
	// DrainDeliveryLeases is, in leases, how long after its charge a stop may come into effect:
	// a lease until it is told or the session over, and one for a succession in between.
	DrainDeliveryLeases = 2
	// DrainWindow is the window of the budgets unless the operators say otherwise, DrainWindowMin
	// and DrainWindowMax bound what they may say, in line with what a ledger in memory keeps.
	DrainWindow    = 10 * time.Minute
	DrainWindowMin = 10 * time.Second
	DrainWindowMax = 24 * time.Hour
	// DrainMaxUnavailable, DrainMaxEvictions and DrainMaxLostTime are a team's budget unless the
	// operators say otherwise: a handful of tasks, as a start for careful drains.
	DrainMaxUnavailable = 10
	DrainMaxEvictions   = 100
	DrainMaxLostTime    = 20 * time.Minute
)
