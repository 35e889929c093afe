package tuning

import "time"

// Drains of machines.
const (
	// DrainStepInterval is the interval between steps of the running drain: machine
	// states change no faster with heartbeats, and a step stores at most one charge.
	DrainStepInterval = time.Second
	// DrainBatchInterval is the interval between attempts to choose a batch while the
	// drain has none; each attempt visits every machine.
	DrainBatchInterval = 3 * time.Second
	// DrainCompletionWait is how long a batch waits for tasks without checkpoints to
	// end: most tasks of current deployments run for less time.
	DrainCompletionWait = 60 * time.Second
	// DrainCheckpointWait is how long a batch waits for tasks with checkpoints to end:
	// a longer wait costs more time than a save and a restart.
	DrainCheckpointWait = 10 * time.Second
	// ReplacementTimeout is how long a batch waits for its replacement machines before
	// the drain is paused: enough for several boots, including slow ones.
	ReplacementTimeout = 10 * time.Minute
	// MaxDrainRecords bounds the number of stored drains, including ended ones. At the
	// limit, a new drain replaces the oldest ended one.
	MaxDrainRecords = 100
	// DrainMachineNameBytes is the length of a machine name, in bytes, that is assumed
	// when batches are sized.
	DrainMachineNameBytes = 32
	// DrainDeliveryLeases is the number of worker leases within which a stop takes
	// effect after its charge: one until the stop is delivered or the agent epoch has
	// ended, and one for a failover in between.
	DrainDeliveryLeases = 2
)

// Disruption budgets.
const (
	// DrainWindow is the default window of the budgets. DrainWindowMin and
	// DrainWindowMax bound the operators' setting, so that the ledger fits in memory.
	DrainWindow    = 10 * time.Minute
	DrainWindowMin = 10 * time.Second
	DrainWindowMax = 24 * time.Hour
	// DrainMaxUnavailable, DrainMaxEvictions and DrainMaxLostTime are the default
	// budget of a team: small, so that first drains disrupt little.
	DrainMaxUnavailable = 10
	DrainMaxEvictions   = 100
	DrainMaxLostTime    = 20 * time.Minute
)
