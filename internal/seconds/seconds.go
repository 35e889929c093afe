// Package seconds converts the seconds of settings and messages, which are floats, into durations.
package seconds

import "time"

// Duration converts seconds into a duration, truncated to nanoseconds.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
