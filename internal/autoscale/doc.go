// Package autoscale decides which machines to provision and which to release.
// It is pure: it works on a snapshot of demand and machines, and reads no clock.
package autoscale
