package tuning

import "time"

// Calls to the cloud.
const (
	// CloudTimeout bounds a call; the cloud answers in a fraction of a second.
	CloudTimeout = 5 * time.Second
	// CloudCallShare is the share of the call budget that the leader uses.
	CloudCallShare = 0.9
	// ListIntervalFactor is the interval of machine lists, as a multiple of the
	// list's lag.
	ListIntervalFactor = 0.6
	// UrgentListIntervalFactor is the same while heartbeats are missing: a list
	// without the machines frees their tasks long before their leases expire.
	UrgentListIntervalFactor = 0.25
	// ListIntervalMin is the shortest interval of lists.
	ListIntervalMin = 2 * time.Second
	// CatalogueInterval is the interval of price updates.
	CatalogueInterval = 60 * time.Second
	// UnavailableOfferingBackoff is how long an offer is not asked for after it had
	// no capacity; a refusal costs one call.
	UnavailableOfferingBackoff = 6 * time.Second
	// CloudRetryDelay is the pause after a call that failed.
	CloudRetryDelay = 1 * time.Second
	// MaxProvisionCount bounds the machines of a provision call (protocol: 50).
	MaxProvisionCount = 50
	// MaxReleaseCount bounds the machines of a release call (protocol: 100).
	MaxReleaseCount = 100
	// ProvisionsInFlight bounds the provision calls without an answer, in seconds
	// of the leader's call budget: more would delay lists and releases.
	ProvisionsInFlight = 3.0
	// ReleasesInFlight bounds the release calls without an answer in the same way.
	// One call mostly covers all, but when a zone with several hundred machines is
	// given up, tasks wait for their release.
	ReleasesInFlight = 0.5
	// MinimumBillingTime is the time for which a machine is charged at least:
	// releasing it earlier saves nothing.
	MinimumBillingTime = 60 * time.Second
)
