package tuning

import "time"

// Drains of machines.
const (
	// DrainStepInterval is the interval of the running drain's steps: heartbeats
	// bring no more news than that, and each step stores one charge at most.
	DrainStepInterval = time.Second
	// DrainBatchInterval is how often the next batch is chosen while there is none,
	// as that visits every machine.
	DrainBatchInterval = 3 * time.Second
	// DrainCompletionWait is how long a batch waits for tasks without checkpoints to
	// end: most tasks of today's deployments run for less than that.
	DrainCompletionWait = 60 * time.Second
	// DrainCheckpointWait is the same for tasks with checkpoints: waiting longer than
	// a save and a new start take gains nothing.
	DrainCheckpointWait = 10 * time.Second
	// ReplacementTimeout is how long a batch waits for its replacements before the
	// drain is paused: several boots, late ones included.
	ReplacementTimeout = 10 * time.Minute
	// MaxDrainRecords bounds the drains that are kept, ended ones included: beyond
	// it, a new drain replaces the oldest of those.
	MaxDrainRecords = 100
	// DrainMachineNameBytes is the length of a machine's name assumed for the size
	// of batches, in bytes.
	DrainMachineNameBytes = 32
	// DrainDeliveryLeases is the number of worker leases within which a stop takes
	// effect after its charge: one until it is delivered or the epoch over, and one
	// for a failover in between.
	DrainDeliveryLeases = 2
)

// Disruption budgets.
const (
	// DrainWindow is the window of the budgets unless the operators set another;
	// DrainWindowMin and DrainWindowMax bound what they may set, so that a ledger in
	// memory suffices.
	DrainWindow    = 10 * time.Minute
	DrainWindowMin = 10 * time.Second
	DrainWindowMax = 24 * time.Hour
	// DrainMaxUnavailable, DrainMaxEvictions and DrainMaxLostTime are a team's budget
	// unless the operators set another: small, so that first drains are careful.
	DrainMaxUnavailable = 10
	DrainMaxEvictions   = 100
	DrainMaxLostTime    = 20 * time.Minute
)
