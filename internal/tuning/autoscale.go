package tuning

import "time"

// Scaling out and in.
const (
	// ScalingInterval is the interval of the scaling plan.
	ScalingInterval = 1 * time.Second
	// ScaleInIdleTime is how long an idle machine without demand is kept.
	ScaleInIdleTime = 4 * time.Second
	// StartWithinDefault is the time within which waiting work should start on the
	// existing machines; work beyond that makes the planner scale out. It holds for
	// jobs without a deadline, and for those that can't meet theirs.
	StartWithinDefault = 60 * time.Second
	// StartWithinSlackShare is the share of a job's slack taken as that time; the
	// rest is for boots and wrong estimates.
	StartWithinSlackShare = 0.5
	// StartWithinMin and StartWithinMax bound that time: below, no boot would help
	// in time; above, the forecast is worth little.
	StartWithinMin = 20 * time.Second
	StartWithinMax = 150 * time.Second
	// InflowDecay is the time constant of the smoothed work of new jobs: some
	// dozen jobs of each class, and about two boots.
	InflowDecay = 75 * time.Second
	// DemandDecay is the time constant of the smoothed demand that keeps machines
	// through short lulls.
	DemandDecay = 20 * time.Second
)
