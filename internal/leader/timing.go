package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// GracePeriod returns how long a leader that can't reach the key-value store keeps responding to
// heartbeats. It is at most the lease time of machines. A lease that is renewed at the end of the
// grace period expires before the deadline for cancellations, with a reserve.
func GracePeriod(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.LeaseS), seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// lateStartLimit returns how long after a job's end the leader keeps responding to a machine that
// may still receive a delayed start of that job. Without responses the machine's lease expires, and
// its session ends: the start is then void, even if the machine can't be released. The lease
// expires before the deadline for cancellations, with the same reserve as in GracePeriod.
func lateStartLimit(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.CancelDeadlineS)/tuning.FencingDivisor, seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// newTiming returns the timeouts that apply to machines in a term that begins now.
func newTiming(w config.Workers, now time.Time, grace time.Duration) machines.Timing {
	leaseExpiry := seconds.Duration(w.LeaseS*(1+tuning.ClockDrift)) + tuning.LeaseExpiryMargin
	return machines.Timing{
		HeartbeatTimeout: seconds.Duration(w.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals),
		LeaseDuration:    seconds.Duration(w.LeaseS),
		LeaseExpiry:      leaseExpiry,
		TermStart:        now,
		// The predecessor lost its authority before now, and responds to heartbeats for at most the
		// grace period after that. A lease that it renews counts from the time at which the agent
		// sent the heartbeat.
		InheritedTasksEnd: now.Add(grace + leaseExpiry),
	}
}
