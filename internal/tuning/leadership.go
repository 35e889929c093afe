package tuning

import "time"

// Clocks and worker leases.
const (
	// ClockDrift is the largest relative drift between two monotonic clocks: twice the
	// error of one clock (protocol: 0.05%), because one may run fast and the other slow.
	ClockDrift = 0.001
	// LeaseSafetyMargin is subtracted from the end of a leader's lease. It covers the
	// time from the check of the lease until the response leaves the process.
	LeaseSafetyMargin = 250 * time.Millisecond
	// LeaseExpiryMargin is how long after the end of a worker's lease the leader treats
	// the lease as expired. It covers timer granularity and scheduling pauses on the
	// worker.
	LeaseExpiryMargin = 1 * time.Second
)

// Leadership.
const (
	// LeaderLeaseTTL is the time to live of the leader's lease in the key-value
	// store: long enough for a few slow renewals, and short enough for a quick failover.
	LeaderLeaseTTL = 2 * time.Second
	// LeaseRenewInterval is the time between renewals: four attempts within one TTL.
	LeaseRenewInterval = 450 * time.Millisecond
	// LeaseRenewTimeout bounds one attempt at a renewal: the store seldom takes more than
	// a few hundred milliseconds, and a second attempt must fit into the TTL.
	LeaseRenewTimeout = 700 * time.Millisecond
	// CampaignJitter bounds the random delay that spreads simultaneous campaigns.
	// Earlier versions delay by up to 60 ms. During an upgrade, the shorter delay lets an
	// upgraded node win most campaigns. A node that isn't upgraded yet would soon be
	// restarted, and the leader would change again.
	CampaignJitter = 5 * time.Millisecond
	// CampaignRetryDelay is the delay after a failed campaign, or a failed read of the
	// leader key.
	CampaignRetryDelay = 300 * time.Millisecond
	// WatchTimeout bounds a follower's watch request on the leader key. If the response
	// is lost, the follower notices a change of the key after at most this time.
	WatchTimeout = 3 * time.Second
	// FencingTokenBlock is the number of fencing tokens beyond those in use that a leader
	// reserves at once. A machine uses at most one token for each response to it, so half a block
	// lasts for a minute or longer.
	FencingTokenBlock = 256
	// GracePeriodReserve limits two times: how long a leader that can't reach the
	// key-value store responds to agent heartbeats, and how long any leader responds to a
	// machine that may still get a late start of an ended job. A lease renewed at the end
	// of either time expires at least this long before cancel_s, the deadline by which the
	// tasks of a cancelled job must end.
	GracePeriodReserve = 5 * time.Second
)
