package tuning

import "time"

// Scale-out and scale-in.
const (
	// ScalingInterval is the interval between scaling plans.
	ScalingInterval = 1 * time.Second
	// ScaleInIdleTime is how long an idle machine without demand is kept.
	ScaleInIdleTime = 4 * time.Second
	// StartWithinDefault is the time within which waiting tasks should start. The
	// planner scales out if the existing machines can't start them in time. It applies
	// to jobs without a deadline and to jobs that can't meet their deadline.
	StartWithinDefault = 60 * time.Second
	// StartWithinSlackShare is the share of a job's slack within which its tasks
	// should start; the rest covers boots and wrong estimates.
	StartWithinSlackShare = 0.5
	// StartWithinMin and StartWithinMax bound the time derived from the slack: below
	// the minimum a new machine would boot too late, and forecasts beyond the maximum
	// are unreliable.
	StartWithinMin = 20 * time.Second
	StartWithinMax = 150 * time.Second
	// InflowDecay is the time constant of the smoothed rate of new work: it covers
	// some dozen jobs of each class, and about two boots.
	InflowDecay = 75 * time.Second
	// DemandDecay is the time constant of the smoothed demand, which keeps machines
	// from being released during short dips in demand.
	DemandDecay = 20 * time.Second
)
