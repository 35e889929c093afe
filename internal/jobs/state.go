package jobs

// State is how far a job has come.
type State int

// States of a job.
const (
	Accepting State = iota // not durable yet
	Active
	Cancelled // its record stays until no task may be on a machine
	Done
)
