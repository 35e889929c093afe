// Package seconds converts the seconds of settings and messages, which are floats, into durations.
package seconds

import "time"

// Duration is a number of seconds as a duration, cut off at nanoseconds.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
