package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// GracePeriod returns how long a leader that can't reach the key-value store keeps responding to
// heartbeats. It is at most the lease time of machines. It is short enough that a machine lease
// renewed at the end of the grace period expires tuning.GracePeriodReserve before the deadline for
// cancellations.
func GracePeriod(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.LeaseS), seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// lateStartLimit returns how long after a job's end the leader keeps responding to a machine that
// may still receive a delayed start of that job. After that, the machine gets no responses, so its
// lease expires and the agent's session ends. The start is then void, even if the machine can't be
// released. The lease expires tuning.GracePeriodReserve before the deadline for cancellations.
func lateStartLimit(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.CancelDeadlineS)/tuning.LateStartFencingDivisor, seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// newTiming returns the timeouts that apply to machines in a term that begins now.
func newTiming(w config.Workers, now time.Time, gracePeriod time.Duration) machines.Timing {
	// The leader waits longer than the duration of the lease, because the clocks of leader and
	// agent may drift apart.
	leaseExpiry := seconds.Duration(w.LeaseS*(1+tuning.ClockDrift)) + tuning.LeaseExpiryMargin
	return machines.Timing{
		HeartbeatTimeout:           seconds.Duration(w.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals),
		LeaseDuration:              seconds.Duration(w.LeaseS),
		LeaseCertainlyExpiredAfter: leaseExpiry,
		TermStart:                  now,
		// The predecessor lost its leader lease before now, and responds to heartbeats for at most
		// the grace period after that. A machine lease that the predecessor renews counts from the
		// time at which the agent sent the heartbeat, so it expires at most leaseExpiry after the
		// grace period.
		InheritedTasksEnd: now.Add(gracePeriod + leaseExpiry),
	}
}
