package tuning

import "time"

// Calls to the cloud.
const (
	// CloudTimeout bounds a call; the cloud usually responds in a fraction of a second.
	CloudTimeout = 5 * time.Second
	// CloudCallShare is the share of the cloud's limit on calls per second that the
	// leader uses.
	CloudCallShare = 0.9
	// ListIntervalFactor is the interval between requests for the machine list, as a
	// multiple of the list's lag, facts.cloud.list_lag_s.
	ListIntervalFactor = 0.6
	// UrgentListIntervalFactor replaces ListIntervalFactor while heartbeats are
	// missing: when a list shows that a machine is gone, the leader can restart its tasks
	// long before its lease expires.
	UrgentListIntervalFactor = 0.25
	// ListIntervalMin is the shortest interval between requests for the machine list.
	ListIntervalMin = 2 * time.Second
	// MachineTypesInterval is the interval between requests for the offered machine types
	// and their prices.
	MachineTypesInterval = 60 * time.Second
	// UnavailableOfferingBackoff is how long the leader doesn't request an offering (a
	// machine type in a zone) again after the cloud refused it for lack of capacity: each
	// refusal costs one call.
	UnavailableOfferingBackoff = 6 * time.Second
	// CloudRetryDelay is the pause after a call that failed.
	CloudRetryDelay = 1 * time.Second
	// MaxProvisionCount bounds the number of machines in a provision call (protocol: 50).
	MaxProvisionCount = 50
	// MaxReleaseCount bounds the number of machines in a release call (protocol: 100).
	MaxReleaseCount = 100
	// MaxProvisionsInFlightS bounds the provision calls in flight. It is the time, in
	// seconds, in which the leader may make that many calls. More of them would delay
	// machine lists and releases.
	MaxProvisionsInFlightS = 3.0
	// MaxReleasesInFlightS bounds the release calls in flight in the same way. Usually
	// one call releases all machines, but when a zone with several hundred machines is
	// abandoned, their tasks can only restart after the machines are released.
	MaxReleasesInFlightS = 0.5
	// MinimumBillingTime is the shortest time that the cloud bills for a machine.
	// Releasing a machine earlier saves nothing.
	MinimumBillingTime = 60 * time.Second
)
