package tuning

import "time"

// Drains of machines. A drain evicts the tasks of its machines batch by batch.
const (
	// DrainStepInterval is the interval between steps of the running drain. Shorter steps
	// gain little: heartbeats change the states of machines no faster. In each step, at
	// most one charge of evictions is written.
	DrainStepInterval = time.Second
	// DrainBatchInterval is the interval between attempts to choose the next batch of
	// machines. Each attempt visits every machine.
	DrainBatchInterval = 3 * time.Second
	// DrainCompletionWait is how long a batch waits for tasks without checkpoints to
	// end before they are evicted: most tasks of current deployments run for less time.
	DrainCompletionWait = 60 * time.Second
	// DrainCheckpointWait is how long a batch waits for tasks with checkpoints to end
	// before they are evicted: a longer wait costs more time than a save and a restart.
	DrainCheckpointWait = 10 * time.Second
	// ReplacementTimeout is how long a batch waits for its replacement machines before
	// the drain is paused: enough for several boots, including slow ones.
	ReplacementTimeout = 10 * time.Minute
	// MaxExecutedDrainRequests is the number of operators' requests that a drain's record
	// remembers, so that late copies of them change nothing. MaxDrainRequestIDBytes bounds the
	// ID of one.
	MaxExecutedDrainRequests = 8
	MaxDrainRequestIDBytes   = 16
	// MaxDrainRecords bounds the number of drains in the key-value store, including ended
	// ones. At the limit, a new drain replaces the oldest ended one.
	MaxDrainRecords = 100
	// DrainMachineNameBytes is the assumed length of a machine name, in bytes. It is used
	// to estimate the largest size of a drain's record.
	DrainMachineNameBytes = 32
	// DrainDeliveryLeases is the longest time between the charge of an eviction and the
	// effect of its stop, as a number of worker leases: one until the stop is delivered
	// or the agent epoch has ended, and one for a failover in between.
	DrainDeliveryLeases = 2
)

// Disruption budgets.
const (
	// DrainWindow is the default length of the sliding window in which evictions count
	// towards the budgets. DrainWindowMin and DrainWindowMax bound the operators' setting,
	// so that the ledger of evictions fits in memory.
	DrainWindow    = 10 * time.Minute
	DrainWindowMin = 10 * time.Second
	DrainWindowMax = 24 * time.Hour
	// DrainMaxUnavailable, DrainMaxEvictions and DrainMaxLostTime are the default
	// budget of a team. It is small, so that the first drains of a deployment disrupt
	// little: the number of tasks that are unavailable at a time, and the number of
	// evictions and the lost run time in a window.
	DrainMaxUnavailable = 10
	DrainMaxEvictions   = 100
	DrainMaxLostTime    = 20 * time.Minute
)
