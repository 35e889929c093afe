// Package drain decides how machines are taken out of service batch by batch (graceful
// eviction), with the disruption of each team's work held within its budget. It is pure: it
// reads no clock and does no I/O; times and snapshots are passed in.
package drain
