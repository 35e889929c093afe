package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// GracePeriod returns how long a leader that can't reach the key-value store keeps responding to
// heartbeats. It is at most the lease time, and short enough that a lease renewed at its end
// expires before the deadline for cancellations, with a reserve.
func GracePeriod(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.LeaseS), seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// lateStartLimit returns how long after a job's end the leader keeps responding to a machine
// that may still receive a delayed start of that job. The machine's lease then expires before
// the deadline for cancellations, with the same reserve as in GracePeriod. The start is void
// once the session has ended, even if the machine can't be released.
func lateStartLimit(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.CancelDeadlineS)/tuning.LateStartFencingDivisor, seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// newTiming returns the timeouts that apply to machines in a term that begins now.
func newTiming(w config.Workers, now time.Time, grace time.Duration) machines.Timing {
	expiry := seconds.Duration(w.LeaseS*(1+tuning.ClockDrift)) + tuning.LeaseExpiryMargin
	return machines.Timing{
		HeartbeatTimeout: seconds.Duration(w.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals),
		Lease:            seconds.Duration(w.LeaseS),
		LeaseExpiry:      expiry,
		TermStart:        now,
		// A predecessor's authority ended before now, and it responds to heartbeats for at most
		// the grace period after that. The agent's lease runs from the time at which it sent the
		// heartbeat.
		InheritedTasksEnd: now.Add(grace + expiry),
	}
}
