package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// GracePeriod is how long a leader without the key-value store goes on answering
// heartbeats: as long as possible, but such that an agent's lease added to it is still within
// the time for cancellations.
func GracePeriod(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.LeaseS), seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// lateStartBound is how long after the end of a job a machine may still be
// answered on which a start of that job may come late: the rest of its lease ends
// within the time for cancellations, with the same reserve, and with its session
// the start is void, even if the machine can't be released.
func lateStartBound(w config.Workers) time.Duration {
	return max(0, min(seconds.Duration(w.CancelDeadlineS)/tuning.FencingDivisor, seconds.Duration(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// newTiming returns the times by which machines are judged in a term that begins now.
func newTiming(w config.Workers, now time.Time, grace time.Duration) machines.Timing {
	expiry := seconds.Duration(w.LeaseS*(1+tuning.ClockDrift)) + tuning.LeaseExpiryMargin
	return machines.Timing{
		HeartbeatTimeout: seconds.Duration(w.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals),
		Lease:            seconds.Duration(w.LeaseS),
		LeaseExpiry:      expiry,
		TermStart:        now,
		// A predecessor's last answer comes at the latest a grace after its
		// authority, which ended before now; the agent's lease runs from the
		// sending of the heartbeat answered.
		InheritedTasksEnd: now.Add(grace + expiry),
	}
}
