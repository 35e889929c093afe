package tuning

import "time"

// Calls to the cloud.
const (
	// CloudTimeout bounds a call; the cloud usually responds in a fraction of a second.
	CloudTimeout = 5 * time.Second
	// CloudCallShare is the share of the cloud's call limit that the leader uses.
	CloudCallShare = 0.9
	// ListIntervalFactor is the interval between machine lists, as a multiple of the
	// list's lag.
	ListIntervalFactor = 0.6
	// UrgentListIntervalFactor replaces ListIntervalFactor while heartbeats are
	// missing: once a list shows that a machine is gone, its tasks can be restarted
	// long before its lease expires.
	UrgentListIntervalFactor = 0.25
	// ListIntervalMin is the shortest interval between lists.
	ListIntervalMin = 2 * time.Second
	// CatalogueInterval is the interval between price updates.
	CatalogueInterval = 60 * time.Second
	// UnavailableOfferingBackoff is how long an offering that had no capacity is not
	// requested again; each refusal costs one call.
	UnavailableOfferingBackoff = 6 * time.Second
	// CloudRetryDelay is the pause after a call that failed.
	CloudRetryDelay = 1 * time.Second
	// MaxProvisionCount bounds the number of machines in a provision call (protocol: 50).
	MaxProvisionCount = 50
	// MaxReleaseCount bounds the number of machines in a release call (protocol: 100).
	MaxReleaseCount = 100
	// ProvisionsInFlight bounds the provision calls in flight, in seconds of the
	// leader's call budget: more would delay lists and releases.
	ProvisionsInFlight = 3.0
	// ReleasesInFlight bounds the release calls in flight, in the same unit. One call
	// usually covers all machines to release, but when a zone with several hundred
	// machines is abandoned, their tasks wait until the machines are released.
	ReleasesInFlight = 0.5
	// MinimumBillingTime is the shortest time that the cloud bills for a machine:
	// releasing it earlier saves nothing.
	MinimumBillingTime = 60 * time.Second
)
