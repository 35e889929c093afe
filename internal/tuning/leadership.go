package tuning

import "time"

// Clocks and worker leases.
const (
	// ClockDrift is the relative drift between two monotonic clocks: twice the error
	// of one clock (protocol: 0.05%), as two clocks may err in opposite directions.
	ClockDrift = 0.001
	// LeaseSafetyMargin is subtracted from the end of a leader's lease, to cover the
	// time between the check of the lease and the response leaving the process.
	LeaseSafetyMargin = 250 * time.Millisecond
	// LeaseExpiryMargin is added to the end of a worker's lease before the leader
	// presumes it expired, to cover timer granularity and scheduling pauses on the
	// worker.
	LeaseExpiryMargin = 1 * time.Second
)

// Leadership.
const (
	// LeaderLeaseTTL is the time to live of the leader's lease in the key-value
	// store: long enough for a few slow renewals, short enough for a quick failover.
	LeaderLeaseTTL = 2 * time.Second
	// LeaseRenewInterval is the time between renewals: four attempts within one TTL.
	LeaseRenewInterval = 450 * time.Millisecond
	// LeaseRenewTimeout bounds one renewal: the store seldom takes more than a
	// few hundred milliseconds, and a second attempt must fit into the TTL.
	LeaseRenewTimeout = 700 * time.Millisecond
	// CampaignJitter bounds the random delay that spreads simultaneous campaigns.
	// Earlier versions delay by up to 60 ms. During an upgrade, the shorter delay lets
	// an upgraded node win most campaigns, so that the leader isn't restarted soon.
	CampaignJitter = 5 * time.Millisecond
	// CampaignRetryDelay is the delay after a failed campaign or read.
	CampaignRetryDelay = 300 * time.Millisecond
	// WatchTimeout bounds a follower's watch request on the leader key, and thus how
	// long a lost response can hide a change.
	WatchTimeout = 3 * time.Second
	// GracePeriodReserve is the reserve within cancel_s that limits two times: how long
	// a leader without the key-value store responds to heartbeats, and how long any
	// leader responds to a machine that may get a late start. Each of them + worker
	// lease + reserve stays below cancel_s.
	GracePeriodReserve = 5 * time.Second
)
