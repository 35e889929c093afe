package tuning

import "time"

// Clocks and worker leases.
const (
	// ClockDrift is the relative error of a monotonic clock (protocol: 0.05%);
	// doubled, as two machines' clocks may err in opposite directions.
	ClockDrift = 0.001
	// LeaseSafetyMargin is subtracted from the end of a leader's authority, for
	// the time between a check of it and the answer leaving the process.
	LeaseSafetyMargin = 250 * time.Millisecond
	// LeaseExpiryMargin is added before a worker's lease is presumed expired, for
	// timer granularity and scheduling pauses on the worker.
	LeaseExpiryMargin = 1 * time.Second
)

// Leadership.
const (
	// LeaderLeaseTTL is the time to live of the leader's lease in the key-value
	// store: long enough for a few slow renewals, short enough for a quick failover.
	LeaderLeaseTTL = 2 * time.Second
	// LeaseRenewInterval is the time between renewals: four tries within one TTL.
	LeaseRenewInterval = 450 * time.Millisecond
	// LeaseRenewTimeout bounds one renewal: the store seldom takes more than a
	// few hundred milliseconds, and a second try must fit into the TTL.
	LeaseRenewTimeout = 700 * time.Millisecond
	// CampaignJitter bounds the random delay that spreads simultaneous campaigns.
	// Earlier versions delayed by up to 60 ms, so that during an upgrade mostly an
	// upgraded node wins, which won't be restarted soon.
	CampaignJitter = 5 * time.Millisecond
	// CampaignRetryDelay is the pause after a campaign or a read that failed.
	CampaignRetryDelay = 300 * time.Millisecond
	// WatchTimeout bounds a follower's watch on the leader key, and so the time
	// for which a lost answer can hide a change.
	WatchTimeout = 3 * time.Second
	// GracePeriodReserve is kept free within cancel_s. It bounds the time for
	// which a leader without the key-value store goes on answering heartbeats, and
	// any leader a machine to which a start may come late: that time + worker
	// lease + reserve stays below cancel_s.
	GracePeriodReserve = 5 * time.Second
)
