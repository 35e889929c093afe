package machines

import (
	"math"
	"time"
)

// UnsavedProgressS is the progress in seconds that stopping an attempt which saves
// checkpoints throws away: all since the last one.
func (a *Attempt) UnsavedProgressS(now time.Time) float64 {
	return math.Mod(now.Sub(a.RunningAt).Seconds(), a.Job.CheckpointIntervalS)
}

// LostProgressS is the run time in seconds that is lost with an attempt that has ended.
func (a *Attempt) LostProgressS(now time.Time) float64 {
	switch {
	case a.CheckpointSaved:
		return 0
	case a.Job.CheckpointIntervalS > 0:
		return a.UnsavedProgressS(now)
	}
	return now.Sub(a.RunningAt).Seconds()
}
