package tuning

import "time"

// Scale-out and scale-in.
const (
	// ScalingInterval is the interval between scaling plans, each of which chooses the
	// machines to provision and to release.
	ScalingInterval = 1 * time.Second
	// ScaleInIdleTime is how long an idle machine that no job needs is kept before it is
	// released.
	ScaleInIdleTime = 4 * time.Second
	// StartWithinDefault is the time within which waiting tasks should start if their
	// job has no deadline or can't meet it. The planner provisions machines if the
	// existing ones can't start the tasks in time.
	StartWithinDefault = 60 * time.Second
	// StartWithinSlackShare is the share of a job's slack within which its tasks should
	// start if the job can meet its deadline. The rest of the slack covers boot times and
	// wrong estimates.
	StartWithinSlackShare = 0.5
	// StartWithinMin and StartWithinMax bound the time that StartWithinSlackShare gives:
	// a new machine needs longer than the minimum to boot, and forecasts beyond the
	// maximum are unreliable.
	StartWithinMin = 20 * time.Second
	StartWithinMax = 150 * time.Second
	// ArrivalRateDecay is the time constant of the smoothed arrival rate of work: it
	// covers some dozen jobs of each class, and about two boots of a machine.
	ArrivalRateDecay = 75 * time.Second
	// DemandDecay is the time constant of the smoothed number of CPUs in demand. The
	// smoothing prevents that short dips in demand cause releases.
	DemandDecay = 20 * time.Second
)
