// Package autoscale decides which machines to provision and which to release.
// It works on a snapshot of demand and machines, reads no clock and does no I/O.
package autoscale
